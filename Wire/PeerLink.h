#pragma once

#include <Wire/PeerMessage.h>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Hibiscus {

/// Address on which a peer listens.
struct PeerAddress
{
    std::string instance;
    std::string host; ///< IP address.
    std::uint16_t port = 0;

    bool operator==(const PeerAddress &) const = default;
};

/// Settings of the link between this instance and its peers, which one CAF broker runs over TCP.
/// Each frame holds a length and a FlatBuffers table, which is bounded and verified before use.
/// Both sides prove that they hold the cluster key (mutual challenge, HMAC-SHA-256) before any
/// other frame is accepted, and each later frame is signed. The instance with the lower name dials.
/// Sending never blocks; a peer that does not read its frames is dropped. Messages to a peer that
/// is not linked are lost, so their senders have to retry.
struct PeerLinkSettings
{
    std::string instance; ///< Name of this instance.
    std::string host; ///< Address of this instance's listener.
    std::uint16_t port = 0; ///< 0: an ephemeral port, which is passed to `listening`.
    std::string clusterKey; ///< At least 16 bytes.
    std::size_t largestFrame = std::size_t(4) * 1024 * 1024; ///< Bytes.
    std::size_t largestBacklog = std::size_t(16) * 1024 * 1024; ///< Unwritten bytes for one peer.
    Duration reconnect = milliseconds(250); ///< Time between two attempts to reach a peer.
    Duration handshakeTimeout = seconds(5);
    Duration keepAlive = seconds(1); ///< Interval of empty frames on an idle connection.
    Duration silenceTimeout = seconds(4); ///< A peer that sends nothing for this long is dropped.
};

/// Callbacks that the broker calls from its own thread; they must not block.
struct PeerLinkHandlers
{
    std::function<void(std::uint16_t port)> listening;
    std::function<void(const std::string &instance, PeerMessage message)> received;
    std::function<void(const std::string &text)> log; ///< One short sentence.
};

/// Starts the broker, which the functions below control. `system` must have loaded
/// caf::io::middleman. It has to be destroyed in the thread that created it, after `stopPeerLink`;
/// otherwise CAF waits forever.
caf::actor startPeerLink(caf::actor_system &system, const PeerLinkSettings &settings,
                         PeerLinkHandlers handlers);

/// These functions may be called from any thread. `setPeers` replaces the list of peers to stay
/// connected to; an open connection to a peer that left the list stays open. `stopPeerLink` first
/// sends pending frames, for at most one second.
void sendToPeer(caf::actor_system &system, const caf::actor &link, PeerSend send);
void setPeers(caf::actor_system &system, const caf::actor &link, std::vector<PeerAddress> peers);
void stopPeerLink(caf::actor_system &system, const caf::actor &link);

} // namespace Hibiscus
