#pragma once

#include <Core/Findings.h>

#include <string_view>

namespace Hibiscus {

/// Maximum length of the name of a customer, preset, key, data centre, request, kind or change.
inline constexpr std::size_t maxNameLength = 128;

/// Returns true for 1 to 128 characters of [A-Za-z0-9._:-].
bool isName(std::string_view text);
/// Returns true for an even number of hexadecimal digits.
bool isHex(std::string_view text);
/// Returns true for a numeric IPv4 or IPv6 address.
bool isIpAddress(std::string_view text);

/// Adds a finding at `place` if `text` is not a valid name.
void checkName(std::string_view text, std::string_view place, Findings &findings);

} // namespace Hibiscus
