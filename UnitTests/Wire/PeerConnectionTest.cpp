#include <Wire/PeerCodec.h>
#include <Wire/PeerConnection.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

using Bytes = std::vector<std::uint8_t>;

const std::string key = "0123456789abcdef";
const TimePoint start{seconds(100)};
constexpr std::size_t largestFrame = 1000;
constexpr std::size_t largestBacklog = 3000;

PeerConnection connection(PeerSide side)
{
    PeerConnectionSettings settings;
    const bool isDialer = side == PeerSide::Dialer;
    settings.handshake = {side, isDialer ? "a" : "b", isDialer ? "b" : "", key, {}};
    settings.handshake.nonce.fill(isDialer ? 1 : 2);
    settings.largestFrame = largestFrame;
    settings.largestBacklog = largestBacklog;
    settings.handshakeTimeout = seconds(5);
    settings.keepAlive = seconds(1);
    settings.silenceTimeout = seconds(4);
    return {settings, start};
}

/// Both ends of one established connection.
struct EstablishedPair
{
    PeerConnection a = connection(PeerSide::Dialer);
    PeerConnection b = connection(PeerSide::Listener);

    EstablishedPair()
    {
        const Bytes hello = this->b.receive(this->a.start(), start).reply;
        const Bytes proof = this->a.receive(hello, start).reply;
        const PeerInput last = this->b.receive(proof, start);
        EXPECT_TRUE(last.established);
        EXPECT_TRUE(this->a.receive(last.reply, start).established);
    }
};

Bytes encoded(std::uint64_t revision)
{
    return encodePeerMessage(ConfigPull{revision});
}

Bytes operator+(Bytes left, const Bytes &right)
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

TEST(PeerConnection, MessagesArriveInOrder)
{
    EstablishedPair pair;
    const Bytes first = *pair.a.send(encoded(1), start);
    const Bytes second = *pair.a.send(encoded(2), start);
    const PeerInput input = pair.b.receive(first + second, start);
    EXPECT_EQ(input.closeReason, "");
    EXPECT_EQ(input.messages, (std::vector<PeerMessage>{ConfigPull{1}, ConfigPull{2}}));
}

TEST(PeerConnection, InjectedRepeatedReorderedOrReflectedFramesCloseTheConnection)
{
    const auto closes = [](auto makeStream) {
        EstablishedPair pair;
        const PeerInput input = pair.b.receive(makeStream(pair), start);
        return input.messages.empty() && !input.closeReason.empty();
    };
    EXPECT_TRUE(closes([](EstablishedPair &) { return makeFrame(encoded(1) + Bytes(16, 0)); }));
    EXPECT_TRUE(closes([](EstablishedPair &) { return makeFrame(Bytes(3, 0)); }));
    EXPECT_TRUE(closes([](EstablishedPair &pair) { return *pair.b.send(encoded(1), start); }));
    EXPECT_TRUE(closes([](EstablishedPair &pair) {
        const Bytes first = *pair.a.send(encoded(1), start);
        const Bytes second = *pair.a.send(encoded(2), start);
        return second + first;
    }));
    EstablishedPair pair;
    const Bytes frame = *pair.a.send(encoded(1), start);
    const PeerInput input = pair.b.receive(frame + frame, start);
    EXPECT_EQ(input.messages.size(), 1U);
    EXPECT_NE(input.closeReason, "");
}

TEST(PeerConnection, NoMessageIsAcceptedBeforeAuthentication)
{
    PeerConnection b = connection(PeerSide::Listener);
    const PeerInput message = b.receive(makeFrame(encoded(1)), start);
    EXPECT_TRUE(message.messages.empty() && message.reply.empty());
    EXPECT_NE(message.closeReason, "");

    PeerConnection flooded = connection(PeerSide::Listener);
    const PeerInput tooLarge = flooded.receive(makeFrame(Bytes(largestHandshakeFrame + 1)), start);
    EXPECT_TRUE(tooLarge.reply.empty());
    EXPECT_NE(tooLarge.closeReason, "");
}

TEST(PeerConnection, FramesDirectlyAfterTheProofAreRead)
{
    PeerConnection a = connection(PeerSide::Dialer);
    PeerConnection b = connection(PeerSide::Listener);
    const Bytes hello = b.receive(a.start(), start).reply;
    const Bytes proof = b.receive(a.receive(hello, start).reply, start).reply;
    const PeerInput input = a.receive(proof + *b.send(encoded(7), start), start);
    EXPECT_TRUE(input.established);
    EXPECT_EQ(input.messages, (std::vector<PeerMessage>{ConfigPull{7}}));
}

TEST(PeerConnection, UndecodableMessageOfAnAuthenticatedPeerIsIgnored)
{
    EstablishedPair pair;
    const Bytes unreadable = *pair.a.send(Bytes(40, 1), start);
    const Bytes readable = *pair.a.send(encoded(2), start);
    const PeerInput input = pair.b.receive(unreadable + readable, start);
    EXPECT_EQ(input.closeReason, "");
    EXPECT_EQ(input.ignored.size(), 1U);
    EXPECT_EQ(input.messages, (std::vector<PeerMessage>{ConfigPull{2}}));
}

TEST(PeerConnection, PeerThatDoesNotReadItsFramesIsDropped)
{
    EstablishedPair pair;
    const Bytes body(largestFrame - PeerFrameAuthenticator::tagSize, 1);
    EXPECT_FALSE(pair.a.send(Bytes(body.size() + 1), start))
        << "a frame above the size limit must not be sent";
    std::size_t sent = 0;
    while (pair.a.closeReason(start).empty() && sent <= 2 * largestBacklog)
        sent += pair.a.send(body, start)->size();
    EXPECT_GT(sent, largestBacklog);
    EXPECT_LE(sent, largestBacklog + largestFrame + frameLengthSize);
    pair.a.recordWritten(sent);
    EXPECT_EQ(pair.a.closeReason(start), "");
}

TEST(PeerConnection, UnauthenticatedAndSilentPeersTimeOut)
{
    const PeerConnection unauthenticated = connection(PeerSide::Listener);
    EXPECT_EQ(unauthenticated.closeReason(start + seconds(5) - Duration(1)), "");
    EXPECT_NE(unauthenticated.closeReason(start + seconds(5)), "");

    EstablishedPair pair;
    EXPECT_EQ(pair.a.keepAlive(start + seconds(1) - Duration(1)), Bytes{});
    const Bytes keepAlive = pair.a.keepAlive(start + seconds(1));
    EXPECT_EQ(pair.a.keepAlive(start + seconds(1)), Bytes{}) << "only one keep-alive frame is due";
    const PeerInput input = pair.b.receive(keepAlive, start + seconds(1));
    EXPECT_TRUE(input.messages.empty() && input.closeReason.empty());
    EXPECT_EQ(pair.b.closeReason(start + seconds(5) - Duration(1)), "");
    EXPECT_NE(pair.b.closeReason(start + seconds(5)), "");
}

} // namespace
} // namespace Hibiscus
