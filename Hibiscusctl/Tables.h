#pragma once

#include <Hibiscusctl/Command.h>

#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// Lines of cells in aligned columns; the first row is the heading.
std::string renderTable(const std::vector<std::vector<std::string>> &rows);

/// A reply's JSON body as a person reads it; a body that is no JSON comes back as it is.
std::string renderReply(CommandKind kind, std::string_view body);

} // namespace Hibiscus
