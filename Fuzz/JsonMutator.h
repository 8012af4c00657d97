#pragma once

#include <string>
#include <string_view>

namespace Hibiscus {

/// Changes one value or key of a JSON text, so that inputs stay JSON and get past the parser. The
/// seed alone decides what is changed. A text that is no JSON comes back as it is.
std::string mutateJson(std::string_view text, unsigned int seed);

} // namespace Hibiscus
