#include <Wire/PeerFrame.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

using Bytes = std::vector<std::uint8_t>;
constexpr std::size_t largestFrame = 300;

Bytes streamOf(const std::vector<Bytes> &bodies)
{
    Bytes stream;
    for (const Bytes &body : bodies) {
        const Bytes frame = makeFrame(body);
        stream.insert(stream.end(), frame.begin(), frame.end());
    }
    return stream;
}

void feedAndCollect(PeerFrameSplitter &splitter, std::span<const std::uint8_t> part,
                    std::vector<Bytes> &out)
{
    splitter.feed(part);
    while (const auto body = splitter.next())
        out.emplace_back(body->begin(), body->end());
}

TEST(PeerFrame, FramesAreReassembledHoweverTheStreamIsSplit)
{
    const std::vector<Bytes> bodies{Bytes{}, Bytes(1, 7), Bytes(largestFrame, 9), Bytes(3, 255)};
    const Bytes stream = streamOf(bodies);
    const std::span<const std::uint8_t> all(stream);
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        for (std::size_t second = first; second <= stream.size(); ++second) {
            PeerFrameSplitter splitter(largestFrame);
            std::vector<Bytes> collected;
            feedAndCollect(splitter, all.first(first), collected);
            feedAndCollect(splitter, all.subspan(first, second - first), collected);
            feedAndCollect(splitter, all.subspan(second), collected);
            ASSERT_EQ(collected, bodies) << first << ", " << second;
        }
    }
}

TEST(PeerFrame, OversizedFrameBreaksTheStreamPermanently)
{
    PeerFrameSplitter splitter(largestFrame);
    std::vector<Bytes> collected;
    feedAndCollect(splitter, streamOf({Bytes(2, 1), Bytes(largestFrame + 1, 2), Bytes(2, 3)}),
                   collected);
    EXPECT_EQ(collected, std::vector<Bytes>{Bytes(2, 1)});
    EXPECT_TRUE(splitter.isBroken());
    feedAndCollect(splitter, streamOf({Bytes(2, 3)}), collected);
    EXPECT_EQ(collected.size(), 1U);
}

TEST(PeerFrame, RaisedSizeLimitAppliesFromTheNextFrame)
{
    PeerFrameSplitter splitter(2);
    splitter.feed(streamOf({Bytes(2, 1), Bytes(3, 2)}));
    ASSERT_TRUE(splitter.next());
    splitter.setLargestFrame(3);
    const auto body = splitter.next();
    ASSERT_TRUE(body);
    EXPECT_EQ(body->size(), 3U);
}

} // namespace
} // namespace Hibiscus
