#pragma once

#include <Core/Findings.h>
#include <Wire/PeerMessage.h>

#include <cstdint>
#include <span>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// A message as the bytes of one FlatBuffers table (without the frame's length).
std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &message);

/// Verifies and reads one message; anything malformed is a finding, never a crash.
tl::expected<PeerMessage, Findings> decodePeerMessage(std::span<const std::uint8_t> bytes);

} // namespace Hibiscus
