#pragma once

#include <Core/Time.h>
#include <Wire/PeerFrame.h>
#include <Wire/PeerFrameAuthenticator.h>
#include <Wire/PeerHandshake.h>
#include <Wire/PeerMessage.h>

#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

struct PeerConnectionSettings
{
    PeerHandshakeSettings handshake;
    std::size_t largestFrame = 0; ///< Limit of a frame's body, in bytes.
    std::size_t largestBacklog = 0; ///< Limit of unwritten bytes.
    /// Time limit from the connection's start to the end of its handshake.
    Duration handshakeTimeout{};
    Duration keepAlive{}; ///< An empty frame is sent after this long without a sent frame.
    Duration silenceTimeout{}; ///< A peer that sends nothing for this long counts as dead.
};

/// Result of processing received bytes.
struct PeerInput
{
    std::vector<std::uint8_t> reply; ///< Bytes to send at once.
    std::vector<PeerMessage> messages;
    std::vector<std::string> ignored; ///< Reasons why frames of an authenticated peer were ignored.
    bool established = false; ///< The handshake was completed by these bytes.
    std::string closeReason; ///< If not empty, the connection has to be closed.
};

/// A connection to a peer as a state machine that turns received bytes into messages and bytes to
/// send. The owner of the socket sends the returned bytes in order, and closes the socket when a
/// close reason is returned.
class PeerConnection
{
public:
    PeerConnection(PeerConnectionSettings settings, TimePoint now);

    /// Returns the first bytes to send, or none.
    std::vector<std::uint8_t> start();

    /// Processes received bytes.
    PeerInput receive(std::span<const std::uint8_t> bytes, TimePoint now);

    /// Returns the signed frame of one encoded message and adds its size to the backlog, or nothing
    /// if the message exceeds the largest frame. Call it only once the connection is established.
    std::optional<std::vector<std::uint8_t>> send(std::span<const std::uint8_t> body,
                                                  TimePoint now);

    /// Returns a keep-alive frame if one is due, or nothing, so that the peer does not treat an
    /// idle connection as dead.
    std::vector<std::uint8_t> keepAlive(TimePoint now);

    /// Removes bytes that were written to the socket from the backlog.
    void recordWritten(std::size_t bytes);

    /// Returns the reason why the connection has to be closed at this time, or an empty text.
    std::string closeReason(TimePoint now) const;

    bool hasBacklog() const { return this->backlog > 0; }

    bool isEstablished() const { return this->handshake.isDone(); }

    /// Returns the authenticated name of the peer once established. Before that, a dialer returns
    /// the name that it called and a listener an empty text.
    const std::string &peer() const;

private:
    void receiveHandshake(std::span<const std::uint8_t> body, PeerInput &input);
    void receiveFrame(std::span<const std::uint8_t> body, PeerInput &input);
    void establish();
    std::vector<std::uint8_t> countedFrame(std::span<const std::uint8_t> body);
    std::vector<std::uint8_t> seal(std::span<const std::uint8_t> body, TimePoint now);

    PeerConnectionSettings settings;
    PeerHandshake handshake;
    PeerFrameSplitter splitter;
    std::optional<PeerFrameAuthenticator> sender;
    std::optional<PeerFrameAuthenticator> receiver;
    std::size_t backlog = 0;
    TimePoint openedAt;
    TimePoint receivedAt;
    TimePoint sentAt;
};

} // namespace Hibiscus
