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
    std::size_t largestFrame = 0; ///< Bytes.
    std::size_t largestBacklog = 0; ///< Bytes.
    Duration handshakeTimeout{}; ///< From the connection's start to the end of its handshake.
    Duration keepAlive{}; ///< An empty frame is due after this long without one.
    Duration silenceTimeout{}; ///< Without any byte for this long the peer counts as gone.
};

/// What one read of a connection's bytes led to.
struct PeerInput
{
    std::vector<std::uint8_t> reply; ///< To send at once.
    std::vector<PeerMessage> messages;
    std::vector<std::string> ignored; ///< Why frames of a proven peer were passed over.
    bool established = false; ///< The handshake ended in this read.
    std::string closeReason; ///< Not empty: close the connection.
};

/// One connection to a peer as a state machine: bytes in, bytes and messages out. Whoever owns
/// the socket sends what it returns, in order, and closes it when it says so.
class PeerConnection
{
public:
    PeerConnection(PeerConnectionSettings settings, TimePoint now);

    /// The first bytes to send, maybe none.
    std::vector<std::uint8_t> start();

    /// Takes bytes as they arrive.
    PeerInput receive(std::span<const std::uint8_t> bytes, TimePoint now);

    /// The bytes of one encoded message, counted into the backlog; only once established.
    /// Nothing if the message is larger than a frame may be.
    std::optional<std::vector<std::uint8_t>> send(std::span<const std::uint8_t> body,
                                                  TimePoint now);

    /// Bytes to send so that an idle connection is not taken for a dead one; maybe none.
    std::vector<std::uint8_t> keepAlive(TimePoint now);

    /// The socket took so many bytes.
    void recordWritten(std::size_t bytes);

    /// Why the connection has to be closed by now, or an empty text.
    std::string closeReason(TimePoint now) const;

    bool hasBacklog() const { return this->backlog > 0; }

    bool isEstablished() const { return this->handshake.isDone(); }

    /// The proven name once established; before that whom the dialer called, or nothing.
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
