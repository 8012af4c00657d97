#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus {

/// Standard base64 with padding, as the store's gateway carries keys and values.
std::string toBase64(std::string_view bytes);

/// The bytes, or nothing if the text is not whole base64.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace Hibiscus
