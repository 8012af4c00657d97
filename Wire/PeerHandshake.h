#pragma once

#include <Wire/PeerMac.h>

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// Random bytes that are used for a single handshake only.
using PeerNonce = std::array<std::uint8_t, 32>;

enum class PeerSide : std::uint8_t {
    Dialer, ///< Opened the connection; the instance with the lower name.
    Listener,
};

/// Limit of a handshake frame's body, in bytes.
inline constexpr std::size_t largestHandshakeFrame = 256;

struct PeerHandshakeSettings
{
    PeerSide side = PeerSide::Listener;
    std::string instance; ///< Name of this instance.
    std::string expectedPeer; ///< For a dialer, the name of the instance that it called.
    std::string clusterKey;
    PeerNonce nonce{};
};

/// Signing keys of the two directions of a connection.
struct PeerSessionKeys
{
    PeerMac send{};
    PeerMac receive{};
};

/// Mutual challenge-response authentication at the start of a connection between two instances.
/// Each side proves that it holds the cluster key by an HMAC over both nonces, both names and its
/// side. The dialer sends its hello and its proof first. If the handshake returns an error, the
/// connection has to be closed.
class PeerHandshake
{
public:
    explicit PeerHandshake(PeerHandshakeSettings settings);

    /// Returns the body of the first frame to send, which is empty for a listener: it sends nothing
    /// before the dialer's hello.
    std::vector<std::uint8_t> start();

    /// Processes the body of a received frame. Returns the body of the frame to send in reply,
    /// empty for none, or the reason to close the connection.
    tl::expected<std::vector<std::uint8_t>, std::string>
    receive(std::span<const std::uint8_t> body);

    bool isDone() const { return this->state == State::Done; }

    /// Name of the other instance, which is authenticated once `isDone`.
    const std::string &peer() const { return this->peerName; }

    /// Returns the connection's signing keys. Call it only once `isDone`.
    PeerSessionKeys sessionKeys() const;

private:
    enum class State : std::uint8_t {
        AwaitHello,
        AwaitProof,
        Done,
        Failed,
    };
    using Reply = tl::expected<std::vector<std::uint8_t>, std::string>;

    Reply receiveHello(std::span<const std::uint8_t> body);
    Reply receiveProof(std::span<const std::uint8_t> body);
    bool isAcceptable(const std::string &name) const;
    std::vector<std::uint8_t> hello() const;
    std::vector<std::uint8_t> proof() const;
    PeerMac macOf(std::string_view purpose, PeerSide side) const;
    Reply fail(std::string reason);

    PeerHandshakeSettings settings;
    State state = State::AwaitHello;
    PeerNonce peerNonce{};
    std::string peerName;
};

} // namespace Hibiscus
