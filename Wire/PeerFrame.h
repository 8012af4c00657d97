#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// Size in bytes of the little-endian length that precedes each frame's body.
inline constexpr std::size_t frameLengthSize = 4;

/// Appends the length prefix of a body of `size` bytes to `out`; the caller appends the body.
void appendFrameLength(std::vector<std::uint8_t> &out, std::size_t size);

/// Returns a whole frame, which is the length followed by the body.
std::vector<std::uint8_t> makeFrame(std::span<const std::uint8_t> body);

/// Splits a byte stream into the bodies of frames. Pass received bytes to `feed`, then call `next`
/// until it returns nothing. The stream is permanently broken once a frame announces more than the
/// largest size.
class PeerFrameSplitter
{
public:
    explicit PeerFrameSplitter(std::size_t largestFrame);

    /// Sets the size limit, which applies from the next frame that `next` returns.
    void setLargestFrame(std::size_t bytes);

    void feed(std::span<const std::uint8_t> bytes);

    /// Returns the next complete body, valid until the next call of `feed`, or nothing.
    std::optional<std::span<const std::uint8_t>> next();

    bool isBroken() const { return this->broken; }

private:
    std::size_t largest;
    std::vector<std::uint8_t> buffer;
    std::size_t consumed = 0;
    bool broken = false;
};

} // namespace Hibiscus
