#pragma once

#include <Wire/PeerMessage.h>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Hibiscus {

/// Where a peer listens.
struct PeerAddress
{
    std::string instance;
    std::string host; ///< IP number.
    std::uint16_t port = 0;

    bool operator==(const PeerAddress &) const = default;
};

/// Links this instance with its peers over TCP through one CAF broker: frames of a length and a
/// FlatBuffers table, bounded and verified before use. Both sides prove that they hold the
/// cluster key (a challenge each way, HMAC-SHA-256) before any other frame counts. A peer that
/// does not drain its frames is dropped; sending never blocks.
struct PeerLinkSettings
{
    std::string instance; ///< Own name.
    std::string host; ///< Own listener.
    std::uint16_t port = 0; ///< 0: an ephemeral one, given to `listening`.
    std::string clusterKey; ///< At least 16 bytes.
    std::size_t largestFrame = std::size_t(4) * 1024 * 1024; ///< Bytes.
    std::size_t largestBacklog = std::size_t(16) * 1024 * 1024; ///< Bytes waiting for one peer.
    Duration reconnect = milliseconds(250); ///< Between two tries to reach a peer.
};

/// Called from the broker's thread; must not block.
struct PeerLinkHandlers
{
    std::function<void(std::uint16_t port)> listening;
    std::function<void(const std::string &instance, PeerMessage message)> received;
    std::function<void(const std::string &text)> log; ///< One short sentence.
};

/// Starts the broker. Send it PeerLinkSend, PeerLinkPeers or PeerLinkStop as CAF messages.
caf::actor startPeerLink(caf::actor_system &system, const PeerLinkSettings &settings,
                         PeerLinkHandlers handlers);

/// Helpers that send the broker its messages, from any thread.
void sendToPeer(caf::actor_system &system, const caf::actor &link, PeerSend send);
void setPeers(caf::actor_system &system, const caf::actor &link, std::vector<PeerAddress> peers);
void stopPeerLink(caf::actor_system &system, const caf::actor &link);

} // namespace Hibiscus
