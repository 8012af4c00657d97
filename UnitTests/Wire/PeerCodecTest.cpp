#include <Wire/PeerCodec.h>
#include <Wire/PeerMessage_generated.h>

#include "PeerMessageGenerators.h"

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

constexpr std::uint64_t seed = 20260704;
constexpr int messagesOfEachType = 200;
constexpr int bitsPerByte = 8;

/// Calls `check` with `count` generated messages of each type, which are the same in every run.
template <class Check>
void forEachMessage(int count, Check check)
{
    const auto generators = PeerMessageGenerators::all();
    ASSERT_EQ(generators.size(), std::variant_size_v<PeerMessage>);
    rc::Random random(seed);
    for (std::size_t type = 0; type < generators.size(); ++type) {
        for (int i = 0; i < count; ++i) {
            const PeerMessage message = generators[type](random.split(), i % 100).value();
            ASSERT_EQ(message.index(), type);
            check(message);
        }
    }
}

TEST(PeerCodec, EveryMessageSurvivesEncodingAndDecoding)
{
    forEachMessage(messagesOfEachType, [](const PeerMessage &message) {
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        ASSERT_TRUE(decoded) << decoded.error().toString();
        EXPECT_EQ(*decoded, message);
    });
}

TEST(PeerCodec, MessagesAreDecodedFromUnalignedBuffers)
{
    forEachMessage(10, [](const PeerMessage &message) {
        std::vector<std::uint8_t> bytes = encodePeerMessage(message);
        bytes.insert(bytes.begin(), 0);
        const auto decoded = decodePeerMessage(std::span<const std::uint8_t>(bytes).subspan(1));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, message);
    });
}

TEST(PeerCodec, TruncatedMessagesAreRejectedWithFindings)
{
    forEachMessage(10, [](const PeerMessage &message) {
        const std::vector<std::uint8_t> bytes = encodePeerMessage(message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const std::vector<std::uint8_t> part(bytes.begin(),
                                                 bytes.begin() + std::ptrdiff_t(size));
            const auto decoded = decodePeerMessage(part);
            // Truncation that removes only trailing padding leaves a complete message.
            if (decoded)
                EXPECT_EQ(*decoded, message);
            else
                EXPECT_FALSE(decoded.error().isEmpty());
        }
        EXPECT_FALSE(decodePeerMessage(std::span(bytes).first(bytes.size() / 2)));
    });
}

TEST(PeerCodec, FlippedBitsDecodeToAMessageOrFindings)
{
    std::size_t findings = 0;
    forEachMessage(10, [&findings](const PeerMessage &message) {
        std::vector<std::uint8_t> bytes = encodePeerMessage(message);
        for (std::size_t bit = 0; bit < bytes.size() * bitsPerByte; ++bit) {
            const auto mask = static_cast<std::uint8_t>(1U << (bit % bitsPerByte));
            bytes[bit / bitsPerByte] ^= mask;
            const auto decoded = decodePeerMessage(bytes);
            if (!decoded) {
                ++findings;
                EXPECT_FALSE(decoded.error().isEmpty());
            }
            bytes[bit / bitsPerByte] ^= mask;
        }
    });
    EXPECT_GT(findings, 0U);
}

std::vector<std::uint8_t> finish(flatbuffers::FlatBufferBuilder &builder, Flat::Body type,
                                 flatbuffers::Offset<void> body)
{
    builder.Finish(Flat::CreateEnvelope(builder, type, body));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

TEST(PeerCodec, EveryOutOfRangeEnumValueIsReported)
{
    constexpr std::uint8_t outOfRange = 200;
    flatbuffers::FlatBufferBuilder builder;
    const auto spec = Flat::CreateJobSpecDirect(builder, "id", "customer", "caller", "kind",
                                                outOfRange, true, true, 0, outOfRange);
    const auto job = Flat::CreateSubmitJob(builder, 1, outOfRange, 0, spec);
    const auto decoded = decodePeerMessage(finish(builder, Flat::Body::SubmitJob, job.Union()));
    ASSERT_FALSE(decoded);
    const std::vector<Finding> expected{{"/body/role", "is out of range"},
                                        {"/body/spec/urgency", "is out of range"},
                                        {"/body/spec/adjacency", "is out of range"}};
    EXPECT_EQ(decoded.error().all(), expected);
}

TEST(PeerCodec, UnknownMessageTypesAreReported)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto pull = Flat::CreateConfigPull(builder, 1);
    const auto unknown = static_cast<Flat::Body>(static_cast<int>(Flat::Body::MAX) + 1);
    const auto decoded = decodePeerMessage(finish(builder, unknown, pull.Union()));
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().all().front().location, "/body_type");
}

TEST(PeerCodec, RepeatedReferencesToOneStringAreRejected)
{
    constexpr std::size_t textSize = 100'000;
    constexpr std::size_t repetitions = 20'000;
    flatbuffers::FlatBufferBuilder builder;
    const auto text = builder.CreateString(std::string(textSize, 'x'));
    const std::vector<flatbuffers::Offset<flatbuffers::String>> offsets(repetitions, text);
    const auto changes = builder.CreateVector(offsets);
    const auto push = Flat::CreateConfigPush(builder, 0, 0, 1, changes);
    const auto bytes = finish(builder, Flat::Body::ConfigPush, push.Union());
    EXPECT_FALSE(decodePeerMessage(bytes));
}

} // namespace
} // namespace Hibiscus
