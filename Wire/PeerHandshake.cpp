#include <Wire/PeerHandshake.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {
namespace {

constexpr std::string_view helloMark = "HIB1";
constexpr std::string_view proofMark = "HIB2";
constexpr std::size_t longestName = 128;
constexpr std::string_view proofPurpose = "hibiscus peer proof 1";
constexpr std::string_view framesPurpose = "hibiscus peer frames 1";

bool startsWith(std::span<const std::uint8_t> body, std::string_view mark)
{
    return body.size() >= mark.size() && std::ranges::equal(body.first(mark.size()), bytesOf(mark));
}

void append(std::vector<std::uint8_t> &out, std::span<const std::uint8_t> bytes)
{
    out.insert(out.end(), bytes.begin(), bytes.end());
}

PeerSide otherSide(PeerSide side)
{
    return side == PeerSide::Dialer ? PeerSide::Listener : PeerSide::Dialer;
}

} // namespace

PeerHandshake::PeerHandshake(PeerHandshakeSettings settings)
    : settings(std::move(settings))
{}

std::vector<std::uint8_t> PeerHandshake::start()
{
    if (this->settings.side == PeerSide::Listener)
        return {};
    return this->hello();
}

PeerHandshake::Reply PeerHandshake::receive(std::span<const std::uint8_t> body)
{
    switch (this->state) {
    case State::AwaitHello:
        return this->receiveHello(body);
    case State::AwaitProof:
        return this->receiveProof(body);
    case State::Done:
    case State::Failed:
        break;
    }
    return this->fail("the handshake has already ended");
}

PeerHandshake::Reply PeerHandshake::receiveHello(std::span<const std::uint8_t> body)
{
    const std::size_t fixedSize = helloMark.size() + this->peerNonce.size();
    if (!startsWith(body, helloMark) || body.size() <= fixedSize
        || body.size() > fixedSize + longestName)
        return this->fail("the peer did not send a valid hello");
    const auto nonce = body.subspan(helloMark.size(), this->peerNonce.size());
    const auto name = body.subspan(fixedSize);
    std::ranges::copy(nonce, this->peerNonce.begin());
    this->peerName.assign(name.begin(), name.end());
    if (!this->isAcceptable(this->peerName))
        return this->fail("the peer's name is not the expected one");
    if (this->peerNonce == this->settings.nonce)
        return this->fail("the peer returned this instance's own challenge");
    this->state = State::AwaitProof;
    // The listener sends its proof last, so that an unauthenticated client never receives an HMAC
    // under the cluster key.
    return this->settings.side == PeerSide::Dialer ? this->proof() : this->hello();
}

PeerHandshake::Reply PeerHandshake::receiveProof(std::span<const std::uint8_t> body)
{
    if (!startsWith(body, proofMark))
        return this->fail("the peer sent another frame instead of its proof");
    const PeerMac expected = this->macOf(proofPurpose, otherSide(this->settings.side));
    if (!isEqualInConstantTime(body.subspan(proofMark.size()), expected))
        return this->fail("the peer does not hold the cluster key");
    this->state = State::Done;
    if (this->settings.side == PeerSide::Dialer)
        return std::vector<std::uint8_t>{};
    return this->proof();
}

// The instance with the lower name dials, so that each pair has one connection and no peer can
// claim this instance's own name.
bool PeerHandshake::isAcceptable(const std::string &name) const
{
    if (this->settings.side == PeerSide::Dialer)
        return name == this->settings.expectedPeer;
    return name < this->settings.instance;
}

std::vector<std::uint8_t> PeerHandshake::hello() const
{
    std::vector<std::uint8_t> body;
    append(body, bytesOf(helloMark));
    append(body, this->settings.nonce);
    append(body, bytesOf(this->settings.instance));
    return body;
}

std::vector<std::uint8_t> PeerHandshake::proof() const
{
    std::vector<std::uint8_t> body;
    append(body, bytesOf(proofMark));
    append(body, this->macOf(proofPurpose, this->settings.side));
    return body;
}

PeerSessionKeys PeerHandshake::sessionKeys() const
{
    assert(this->isDone());
    return {this->macOf(framesPurpose, this->settings.side),
            this->macOf(framesPurpose, otherSide(this->settings.side))};
}

// All inputs but the two names have a fixed size, and the size of the first name is included, so
// that the concatenation is unambiguous.
PeerMac PeerHandshake::macOf(std::string_view purpose, PeerSide side) const
{
    const bool isDialer = this->settings.side == PeerSide::Dialer;
    const PeerNonce &dialerNonce = isDialer ? this->settings.nonce : this->peerNonce;
    const PeerNonce &listenerNonce = isDialer ? this->peerNonce : this->settings.nonce;
    const std::string &dialer = isDialer ? this->settings.instance : this->peerName;
    const std::string &listener = isDialer ? this->peerName : this->settings.instance;
    const std::uint8_t sideAndSize[]
        = {static_cast<std::uint8_t>(side), static_cast<std::uint8_t>(dialer.size())};
    return hmacSha256(bytesOf(this->settings.clusterKey),
                      {bytesOf(purpose), sideAndSize, dialerNonce, listenerNonce, bytesOf(dialer),
                       bytesOf(listener)});
}

PeerHandshake::Reply PeerHandshake::fail(std::string reason)
{
    this->state = State::Failed;
    return tl::unexpected(std::move(reason));
}

} // namespace Hibiscus
