#pragma once

#include <Config/InstanceSettings.h>

#include <string>
#include <string_view>

namespace Hibiscus {

/// Sets up the log of the process. Call it once, before the first line is written.
void setUpLog(const LogSettings &settings, std::string_view instance);

/// Writes one line with the component's fixed prefix, a short sentence, and the job's key if there
/// is one. Thread-safe.
void writeLog(LogLevel level, const char *component, const std::string &text,
              const std::string &key = {});

} // namespace Hibiscus
