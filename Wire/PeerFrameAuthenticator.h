#pragma once

#include <Wire/PeerMac.h>

#include <cstddef>
#include <cstdint>
#include <span>

namespace Hibiscus {

/// Signs or verifies the frames of one direction of a connection. Each tag covers a frame counter,
/// so that injected, replayed, dropped or reordered frames fail verification.
class PeerFrameAuthenticator
{
public:
    static constexpr std::size_t tagSize = 16;
    using Tag = std::array<std::uint8_t, tagSize>;

    explicit PeerFrameAuthenticator(const PeerMac &key);

    /// Returns the tag of the direction's next frame.
    Tag sign(std::span<const std::uint8_t> body);

    /// Returns true if `tag` is valid for the direction's next frame. Otherwise the connection has
    /// to be closed.
    bool verify(std::span<const std::uint8_t> body, std::span<const std::uint8_t> tag);

private:
    PeerMac key;
    std::uint64_t counter = 0;
};

} // namespace Hibiscus
