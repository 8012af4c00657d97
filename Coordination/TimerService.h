#pragma once

#include <Core/Time.h>

#include <functional>

namespace Hibiscus::Coordination {

/// One-shot timers, whose handlers run on the caller's thread.
class TimerService
{
public:
    virtual ~TimerService() = default;
    virtual void after(Duration delay, std::function<void(TimePoint now)> handler) = 0;
};

/// The system's time of day, which may jump. Used for due times and ages of jobs, never for leases.
class WallClock
{
public:
    virtual ~WallClock() = default;
    /// Milliseconds since the Unix epoch.
    virtual std::int64_t nowMs() const = 0;
};

} // namespace Hibiscus::Coordination
