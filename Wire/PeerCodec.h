#pragma once

#include <Core/Findings.h>
#include <Wire/PeerMessage.h>

#include <cstdint>
#include <span>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// Encodes a message as one FlatBuffers table, without the length prefix of a frame.
std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &message);

/// Verifies and decodes one message. Malformed input yields findings and never a crash.
tl::expected<PeerMessage, Findings> decodePeerMessage(std::span<const std::uint8_t> bytes);

} // namespace Hibiscus
