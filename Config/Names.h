#pragma once

#include <Core/Findings.h>

#include <string_view>

namespace Hibiscus {

/// Longest name of a customer, preset, key, data centre, request, kind or change.
inline constexpr std::size_t maxNameLength = 128;

/// True for 1 to 128 characters of [A-Za-z0-9._:-].
bool isName(std::string_view text);
/// True for an even number of hexadecimal digits.
bool isHex(std::string_view text);
/// True for an IPv4 or IPv6 number.
bool isIpAddress(std::string_view text);

void checkName(std::string_view text, std::string_view place, Findings &findings);

} // namespace Hibiscus
