#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string_view>

namespace Hibiscus {

/// An HMAC-SHA-256 value.
using PeerMac = std::array<std::uint8_t, 32>;

std::span<const std::uint8_t> bytesOf(std::string_view text);

/// Computes the HMAC-SHA-256 over the concatenated parts without copying them.
PeerMac hmacSha256(std::span<const std::uint8_t> key,
                   std::initializer_list<std::span<const std::uint8_t>> parts);

/// Compares two byte sequences in a time that depends only on their sizes.
bool isEqualInConstantTime(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right);

} // namespace Hibiscus
