#pragma once

#include <chrono>

namespace Hibiscus {

/// All spans of time inside the system, in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the monotonic time line of one process. Points of different processes never compare.
struct MonotonicTime
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// The present time as it is handed to every function that decides.
using TimePoint = std::chrono::time_point<MonotonicTime, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace Hibiscus
