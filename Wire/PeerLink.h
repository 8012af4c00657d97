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
/// cluster key (a challenge each way, HMAC-SHA-256) before any other frame counts; each later
/// frame is signed. The instance with the lower name dials. A peer that does not drain its frames
/// is dropped; sending never blocks. What is sent to a peer that is not linked is lost: callers
/// ask again.
struct PeerLinkSettings
{
    std::string instance; ///< Own name.
    std::string host; ///< Own listener.
    std::uint16_t port = 0; ///< 0: an ephemeral one, given to `listening`.
    std::string clusterKey; ///< At least 16 bytes.
    std::size_t largestFrame = std::size_t(4) * 1024 * 1024; ///< Bytes.
    std::size_t largestBacklog = std::size_t(16) * 1024 * 1024; ///< Bytes waiting for one peer.
    Duration reconnect = milliseconds(250); ///< Between two tries to reach a peer.
    Duration handshakeTimeout = seconds(5);
    Duration keepAlive = seconds(1); ///< An idle connection sends an empty frame this often.
    Duration silenceTimeout = seconds(4); ///< A peer that sends nothing for so long is dropped.
};

/// Called from the broker's thread; must not block.
struct PeerLinkHandlers
{
    std::function<void(std::uint16_t port)> listening;
    std::function<void(const std::string &instance, PeerMessage message)> received;
    std::function<void(const std::string &text)> log; ///< One short sentence.
};

/// Starts the broker, to be driven by the functions below. The system has to have loaded
/// caf::io::middleman, and must end in the thread that made it, after `stopPeerLink`: else CAF
/// waits for ever.
caf::actor startPeerLink(caf::actor_system &system, const PeerLinkSettings &settings,
                         PeerLinkHandlers handlers);

/// Any thread may call these. `setPeers` replaces the list of peers to keep a connection to; a
/// live connection to a peer that left the list stays. `stopPeerLink` first sends what waits,
/// for at most a second.
void sendToPeer(caf::actor_system &system, const caf::actor &link, PeerSend send);
void setPeers(caf::actor_system &system, const caf::actor &link, std::vector<PeerAddress> peers);
void stopPeerLink(caf::actor_system &system, const caf::actor &link);

} // namespace Hibiscus
