#pragma once

#include <Wire/PeerMac.h>

#include <cstddef>
#include <cstdint>
#include <span>

namespace Hibiscus {

/// Signs, or checks, the frames of one direction of a connection. Each tag covers a running
/// counter, so that a frame which is injected, repeated, left out or moved does not pass.
class PeerFrameAuthenticator
{
public:
    static constexpr std::size_t tagSize = 16;
    using Tag = std::array<std::uint8_t, tagSize>;

    explicit PeerFrameAuthenticator(const PeerMac &key);

    /// Tag of the direction's next frame.
    Tag sign(std::span<const std::uint8_t> body);

    /// True if it is the tag of the direction's next frame. Close the connection otherwise.
    bool verify(std::span<const std::uint8_t> body, std::span<const std::uint8_t> tag);

private:
    PeerMac key;
    std::uint64_t counter = 0;
};

} // namespace Hibiscus
