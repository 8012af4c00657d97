#pragma once

#include <Wire/PeerMac.h>

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// Fresh random bytes, never used twice.
using PeerNonce = std::array<std::uint8_t, 32>;

enum class PeerSide : std::uint8_t {
    Dialer, ///< Opened the connection; has the lower name of the two.
    Listener,
};

/// Largest frame of a handshake, in bytes.
inline constexpr std::size_t largestHandshakeFrame = 256;

struct PeerHandshakeSettings
{
    PeerSide side = PeerSide::Listener;
    std::string instance; ///< Own name.
    std::string expectedPeer; ///< Dialer: whom it called.
    std::string clusterKey;
    PeerNonce nonce{};
};

/// Keys of one connection's two directions.
struct PeerSessionKeys
{
    PeerMac send{};
    PeerMac receive{};
};

/// The mutual challenge at the start of a connection between two instances. Both prove that they
/// hold the cluster key by an HMAC over both nonces, both names and their side; the dialer says
/// hello and proves first. A connection whose handshake returns an error has to be closed.
class PeerHandshake
{
public:
    explicit PeerHandshake(PeerHandshakeSettings settings);

    /// Body of the first frame to send; empty for a listener, which stays silent until greeted.
    std::vector<std::uint8_t> start();

    /// Takes the body of a frame. Returns the body to answer, empty for none, or why to close.
    tl::expected<std::vector<std::uint8_t>, std::string>
    receive(std::span<const std::uint8_t> body);

    bool isDone() const { return this->state == State::Done; }

    /// The other instance's name; proven once `isDone`.
    const std::string &peer() const { return this->peerName; }

    /// Only once `isDone`.
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
