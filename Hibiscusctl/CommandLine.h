#pragma once

#include <Core/Findings.h>
#include <Hibiscusctl/Command.h>

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

/// Reads a command line (with the program's name first). `environmentKey` is used when no key is
/// given. All that is wrong with it comes back together; places are the options' names.
tl::expected<Command, Findings> parseCommandLine(std::span<const char *const> arguments,
                                                 std::string_view environmentKey);

/// The text of --help.
std::string commandLineHelp();

} // namespace Hibiscus
