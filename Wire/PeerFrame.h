#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// Bytes of the little-endian length that stands before each frame's body.
inline constexpr std::size_t frameLengthSize = 4;

/// Adds the length of a body of `size` bytes to `out`; the caller adds the body itself.
void appendFrameLength(std::vector<std::uint8_t> &out, std::size_t size);

/// A whole frame: length and body.
std::vector<std::uint8_t> makeFrame(std::span<const std::uint8_t> body);

/// Cuts a stream of bytes into frames' bodies. Feed it what arrives, then take frames until there
/// is none. It is broken for good once a frame announces more than the largest size.
class PeerFrameSplitter
{
public:
    explicit PeerFrameSplitter(std::size_t largestFrame);

    /// Holds from the next frame that is taken on.
    void setLargestFrame(std::size_t bytes);

    void feed(std::span<const std::uint8_t> bytes);

    /// The next whole body; valid until the next call of `feed`.
    std::optional<std::span<const std::uint8_t>> next();

    bool isBroken() const { return this->broken; }

private:
    std::size_t largest;
    std::vector<std::uint8_t> buffer;
    std::size_t consumed = 0;
    bool broken = false;
};

} // namespace Hibiscus
