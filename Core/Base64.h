#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus {

/// Standard base64 with padding, the encoding of keys and values in the store's HTTP gateway.
std::string toBase64(std::string_view bytes);

/// The decoded bytes, or nothing if the text is not complete base64.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace Hibiscus
