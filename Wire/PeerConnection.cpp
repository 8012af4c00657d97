#include <Wire/PeerConnection.h>

#include <Wire/PeerCodec.h>

#include <cassert>

namespace Hibiscus {

PeerConnection::PeerConnection(PeerConnectionSettings settings, TimePoint now)
    : settings(std::move(settings))
    , handshake(this->settings.handshake)
    , splitter(largestHandshakeFrame)
    , openedAt(now)
    , receivedAt(now)
    , sentAt(now)
{}

std::vector<std::uint8_t> PeerConnection::start()
{
    const std::vector<std::uint8_t> body = this->handshake.start();
    return body.empty() ? body : this->countedFrame(body);
}

PeerInput PeerConnection::receive(std::span<const std::uint8_t> bytes, TimePoint now)
{
    PeerInput input;
    this->receivedAt = now;
    this->splitter.feed(bytes);
    while (const auto body = this->splitter.next()) {
        if (this->isEstablished())
            this->receiveFrame(*body, input);
        else
            this->receiveHandshake(*body, input);
        if (!input.closeReason.empty())
            return input;
    }
    if (this->splitter.isBroken())
        input.closeReason = "the peer announced a frame above the size limit";
    return input;
}

void PeerConnection::receiveHandshake(std::span<const std::uint8_t> body, PeerInput &input)
{
    const auto reply = this->handshake.receive(body);
    if (!reply) {
        input.closeReason = reply.error();
        return;
    }
    if (!reply->empty())
        input.reply = this->countedFrame(*reply);
    if (!this->handshake.isDone())
        return;
    this->establish();
    input.established = true;
}

std::vector<std::uint8_t> PeerConnection::countedFrame(std::span<const std::uint8_t> body)
{
    std::vector<std::uint8_t> frame = makeFrame(body);
    this->backlog += frame.size();
    return frame;
}

void PeerConnection::establish()
{
    const PeerSessionKeys keys = this->handshake.sessionKeys();
    this->sender.emplace(keys.send);
    this->receiver.emplace(keys.receive);
    this->splitter.setLargestFrame(this->settings.largestFrame);
}

void PeerConnection::receiveFrame(std::span<const std::uint8_t> body, PeerInput &input)
{
    constexpr std::size_t tagSize = PeerFrameAuthenticator::tagSize;
    const std::size_t contentSize = body.size() < tagSize ? 0 : body.size() - tagSize;
    const auto content = body.first(contentSize);
    if (!this->receiver->verify(content, body.subspan(contentSize))) {
        input.closeReason = "a frame has an invalid signature";
        return;
    }
    if (content.empty())
        return;
    auto message = decodePeerMessage(content);
    // A peer of another version may send messages that this version does not know, so the
    // connection stays open.
    if (message)
        input.messages.push_back(std::move(*message));
    else
        input.ignored.push_back(message.error().all().front().message);
}

std::optional<std::vector<std::uint8_t>> PeerConnection::send(std::span<const std::uint8_t> body,
                                                              TimePoint now)
{
    if (body.size() + PeerFrameAuthenticator::tagSize > this->settings.largestFrame)
        return std::nullopt;
    return this->seal(body, now);
}

std::vector<std::uint8_t> PeerConnection::keepAlive(TimePoint now)
{
    if (!this->isEstablished() || now - this->sentAt < this->settings.keepAlive)
        return {};
    return this->seal({}, now);
}

std::vector<std::uint8_t> PeerConnection::seal(std::span<const std::uint8_t> body, TimePoint now)
{
    assert(this->isEstablished());
    const PeerFrameAuthenticator::Tag tag = this->sender->sign(body);
    std::vector<std::uint8_t> frame;
    frame.reserve(frameLengthSize + body.size() + tag.size());
    appendFrameLength(frame, body.size() + tag.size());
    frame.insert(frame.end(), body.begin(), body.end());
    frame.insert(frame.end(), tag.begin(), tag.end());
    this->backlog += frame.size();
    this->sentAt = now;
    return frame;
}

void PeerConnection::recordWritten(std::size_t bytes)
{
    assert(bytes <= this->backlog);
    this->backlog -= bytes;
}

std::string PeerConnection::closeReason(TimePoint now) const
{
    if (this->backlog > this->settings.largestBacklog)
        return "the peer does not read its frames";
    if (!this->isEstablished() && now - this->openedAt >= this->settings.handshakeTimeout)
        return "the peer did not authenticate in time";
    if (this->isEstablished() && now - this->receivedAt >= this->settings.silenceTimeout)
        return "the peer has sent nothing for too long";
    return {};
}

const std::string &PeerConnection::peer() const
{
    if (this->isEstablished())
        return this->handshake.peer();
    return this->settings.handshake.expectedPeer;
}

} // namespace Hibiscus
