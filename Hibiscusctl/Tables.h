#pragma once

#include <Hibiscusctl/Command.h>

#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// Renders rows of cells in aligned columns; the first row is the heading.
std::string renderTable(const std::vector<std::vector<std::string>> &rows);

/// Renders a reply's JSON body in human-readable form. A body that is not a JSON object is returned
/// unchanged.
std::string renderReply(CommandKind kind, std::string_view body);

} // namespace Hibiscus
