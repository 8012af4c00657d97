#pragma once

#include <Config/InstanceSettings.h>

#include <string>
#include <string_view>

namespace Hibiscus {

/// Sets up the process's log once, before any line is written.
void setUpLog(const LogSettings &settings, std::string_view instance);

/// Writes one line: the part's fixed prefix, a short sentence, and the job's key if there is one.
/// Safe for many threads.
void writeLog(LogLevel level, const char *part, const std::string &text,
              const std::string &key = {});

} // namespace Hibiscus
