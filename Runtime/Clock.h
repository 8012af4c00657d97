#pragma once

#include <Core/Time.h>

#include <cstdint>

namespace Hibiscus::Runtime {

/// The process's time line. It goes on while the machine is suspended, so that a lease which ended
/// meanwhile is seen as ended on waking.
TimePoint monotonicNow();

/// The time of day in milliseconds since 1970. It may jump either way.
std::int64_t wallClockMs();

} // namespace Hibiscus::Runtime
