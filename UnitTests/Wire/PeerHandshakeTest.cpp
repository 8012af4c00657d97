#include <Wire/PeerHandshake.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

using Bytes = std::vector<std::uint8_t>;

const std::string key = "0123456789abcdef0123456789abcdef";

PeerNonce nonceOf(std::uint8_t value)
{
    PeerNonce nonce;
    nonce.fill(value);
    return nonce;
}

PeerHandshake dialer(const std::string &clusterKey = key, std::uint8_t nonce = 1)
{
    return PeerHandshake({PeerSide::Dialer, "a", "b", clusterKey, nonceOf(nonce)});
}

PeerHandshake listener(const std::string &clusterKey = key, std::uint8_t nonce = 2)
{
    return PeerHandshake({PeerSide::Listener, "b", "", clusterKey, nonceOf(nonce)});
}

/// All frames of one successful handshake.
struct Transcript
{
    Bytes dialerHello;
    Bytes listenerHello;
    Bytes dialerProof;
    Bytes listenerProof;
};

Transcript run(PeerHandshake &a, PeerHandshake &b)
{
    Transcript transcript;
    transcript.dialerHello = a.start();
    transcript.listenerHello = b.receive(transcript.dialerHello).value();
    transcript.dialerProof = a.receive(transcript.listenerHello).value();
    transcript.listenerProof = b.receive(transcript.dialerProof).value();
    EXPECT_EQ(a.receive(transcript.listenerProof).value(), Bytes{});
    return transcript;
}

TEST(PeerHandshake, BothSidesProveTheKeyAndDeriveTheSameSessionKeys)
{
    PeerHandshake a = dialer();
    PeerHandshake b = listener();
    EXPECT_TRUE(b.start().empty());
    run(a, b);
    ASSERT_TRUE(a.isDone() && b.isDone());
    EXPECT_EQ(a.peer(), "b");
    EXPECT_EQ(b.peer(), "a");
    EXPECT_EQ(a.sessionKeys().send, b.sessionKeys().receive);
    EXPECT_EQ(a.sessionKeys().receive, b.sessionKeys().send);
    EXPECT_NE(a.sessionKeys().send, a.sessionKeys().receive);
}

TEST(PeerHandshake, WrongKeyIsRefusedByBothSides)
{
    PeerHandshake wrongKeyDialer = dialer("another key of the same size....");
    PeerHandshake b = listener();
    const Bytes hello = b.receive(wrongKeyDialer.start()).value();
    EXPECT_FALSE(b.receive(wrongKeyDialer.receive(hello).value()));
    EXPECT_FALSE(b.isDone());

    PeerHandshake a = dialer();
    PeerHandshake wrongKeyListener = listener("another key of the same size....");
    const Bytes proof = a.receive(wrongKeyListener.receive(a.start()).value()).value();
    EXPECT_FALSE(wrongKeyListener.receive(proof));
    EXPECT_FALSE(a.receive(proof)) << "the dialer's own proof must not be accepted as its peer's";
    EXPECT_FALSE(a.isDone());
}

TEST(PeerHandshake, ReflectedFramesAreRefused)
{
    PeerHandshake a = dialer();
    EXPECT_FALSE(a.receive(a.start())) << "the dialer's own hello";

    PeerHandshake again = dialer();
    PeerHandshake b = listener(key, 1);
    EXPECT_FALSE(b.receive(again.start())) << "the listener's own nonce under another name";

    PeerHandshake third = dialer();
    PeerHandshake fourth = listener();
    const Bytes proof = third.receive(fourth.receive(third.start()).value()).value();
    EXPECT_FALSE(third.receive(proof)) << "the dialer's own proof";
}

TEST(PeerHandshake, ReplayedHandshakeIsRefused)
{
    PeerHandshake a = dialer();
    PeerHandshake b = listener();
    const Transcript old = run(a, b);

    PeerHandshake laterListener = listener(key, 3);
    ASSERT_TRUE(laterListener.receive(old.dialerHello));
    EXPECT_FALSE(laterListener.receive(old.dialerProof));

    PeerHandshake laterDialer = dialer(key, 4);
    ASSERT_TRUE(laterDialer.receive(old.listenerHello));
    EXPECT_FALSE(laterDialer.receive(old.listenerProof));
}

TEST(PeerHandshake, DialerAcceptsOnlyTheExpectedNameAndListenerOnlyLowerNames)
{
    PeerHandshake a = dialer();
    PeerHandshake other({PeerSide::Listener, "c", "", key, nonceOf(2)});
    EXPECT_FALSE(a.receive(other.receive(a.start()).value()));

    PeerHandshake higher({PeerSide::Dialer, "c", "b", key, nonceOf(1)});
    EXPECT_FALSE(listener().receive(higher.start()));
    PeerHandshake same({PeerSide::Dialer, "b", "b", key, nonceOf(1)});
    EXPECT_FALSE(listener().receive(same.start()));
}

TEST(PeerHandshake, UnexpectedFramesFailTheHandshakePermanently)
{
    PeerHandshake a = dialer();
    const Bytes hello = a.start();
    for (std::size_t size = 0; size < hello.size(); ++size) {
        PeerHandshake b = listener();
        const auto reply = b.receive(std::span(hello).first(size));
        EXPECT_FALSE(reply) << size;
        EXPECT_FALSE(b.receive(hello)) << "a failed handshake must not continue";
    }
    Bytes longName = hello;
    longName.resize(largestHandshakeFrame, 'a');
    EXPECT_FALSE(listener().receive(longName));

    PeerHandshake b = listener();
    ASSERT_TRUE(b.receive(hello));
    EXPECT_FALSE(b.receive(hello)) << "a second hello";
}

TEST(PeerHandshake, ProofWithAnyFlippedBitIsRefused)
{
    PeerHandshake a = dialer();
    PeerHandshake b = listener();
    const Transcript transcript = run(a, b);
    for (std::size_t bit = 0; bit < transcript.dialerProof.size() * 8; ++bit) {
        Bytes proof = transcript.dialerProof;
        proof[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
        PeerHandshake fresh = listener();
        ASSERT_TRUE(fresh.receive(transcript.dialerHello));
        EXPECT_FALSE(fresh.receive(proof)) << bit;
    }
}

} // namespace
} // namespace Hibiscus
