#include <Wire/PeerFrame.h>

namespace Hibiscus {
namespace {

constexpr unsigned bitsPerByte = 8;
constexpr std::size_t largestIdleBuffer = std::size_t(64) * 1024; // Bytes.

std::size_t readLength(std::span<const std::uint8_t> bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frameLengthSize; ++i)
        length |= std::size_t(bytes[i]) << (bitsPerByte * i);
    return length;
}

} // namespace

void appendFrameLength(std::vector<std::uint8_t> &out, std::size_t size)
{
    for (std::size_t i = 0; i < frameLengthSize; ++i)
        out.push_back(static_cast<std::uint8_t>(size >> (bitsPerByte * i)));
}

std::vector<std::uint8_t> makeFrame(std::span<const std::uint8_t> body)
{
    std::vector<std::uint8_t> frame;
    frame.reserve(frameLengthSize + body.size());
    appendFrameLength(frame, body.size());
    frame.insert(frame.end(), body.begin(), body.end());
    return frame;
}

PeerFrameSplitter::PeerFrameSplitter(std::size_t largestFrame)
    : largest(largestFrame)
{}

void PeerFrameSplitter::setLargestFrame(std::size_t bytes)
{
    this->largest = bytes;
}

void PeerFrameSplitter::feed(std::span<const std::uint8_t> bytes)
{
    // Consumed frames are erased here and not in next(), as the spans that next() returned are
    // valid until this call.
    this->buffer.erase(this->buffer.begin(),
                       this->buffer.begin() + static_cast<std::ptrdiff_t>(this->consumed));
    this->consumed = 0;
    // Release the memory of a single large frame, which would otherwise be held for the lifetime of
    // the connection.
    if (this->buffer.empty() && this->buffer.capacity() > largestIdleBuffer)
        this->buffer = {};
    this->buffer.insert(this->buffer.end(), bytes.begin(), bytes.end());
}

std::optional<std::span<const std::uint8_t>> PeerFrameSplitter::next()
{
    const auto rest = std::span<const std::uint8_t>(this->buffer).subspan(this->consumed);
    if (this->broken || rest.size() < frameLengthSize)
        return std::nullopt;
    const std::size_t length = readLength(rest);
    if (length > this->largest) {
        this->broken = true;
        return std::nullopt;
    }
    if (rest.size() < frameLengthSize + length)
        return std::nullopt;
    this->consumed += frameLengthSize + length;
    return rest.subspan(frameLengthSize, length);
}

} // namespace Hibiscus
