#pragma once

#include <chrono>
#include <cstdint>

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

/// Whole milliseconds, as records, logs and protocols hold spans of time.
constexpr std::int64_t toMs(Duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

/// With its fraction, for sums of work.
constexpr double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace Hibiscus
