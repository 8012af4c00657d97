#pragma once

#include <chrono>
#include <cstdint>

namespace Hibiscus {

/// The unit of all durations inside the system.
using Duration = std::chrono::microseconds;

/// Clock tag of the monotonic time of one process. Time points of different processes are not
/// comparable.
struct MonotonicTime
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// A point in time. Functions that decide receive the current time as an argument.
using TimePoint = std::chrono::time_point<MonotonicTime, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest duration that is taken from outside. Sums of thousands of them, and of one and a point
/// in time, stay within the range of Duration.
inline constexpr Duration maxDuration = std::chrono::years(100);

/// Converts to whole milliseconds, the unit of durations in records, logs and protocols.
constexpr std::int64_t toMs(Duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

/// Converts to seconds with their fraction, for sums of work.
constexpr double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace Hibiscus
