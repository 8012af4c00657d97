#pragma once

#include <Core/Findings.h>
#include <Hibiscusctl/Command.h>

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

/// Parses a command line, whose first argument is the program's name. `environmentKey` is used if
/// no key is given. All errors are returned together, with the options' names as places.
tl::expected<Command, Findings> parseCommandLine(std::span<const char *const> arguments,
                                                 std::string_view environmentKey);

/// Returns the text of --help.
std::string commandLineHelp();

} // namespace Hibiscus
