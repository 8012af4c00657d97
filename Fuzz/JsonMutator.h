#pragma once

#include <string>
#include <string_view>

namespace Hibiscus {

/// Changes one value or key of a JSON text, so that mutated inputs are still valid JSON and reach
/// the code behind the parser. The change depends on the text and the seed only. Returns a text
/// that is not valid JSON unchanged.
std::string mutateJson(std::string_view text, unsigned int seed);

} // namespace Hibiscus
