#pragma once

#include <Core/Time.h>

#include <cstdint>

namespace Hibiscus::Runtime {

/// Monotonic time. The clock keeps running while the machine is suspended, so that a lease that
/// expired during a suspension counts as expired after it.
TimePoint monotonicNow();

/// Wall-clock time in milliseconds since 1970. It may jump forwards or backwards.
std::int64_t wallClockMs();

} // namespace Hibiscus::Runtime
