#pragma once

#include <Core/Time.h>

#include <functional>

namespace Hibiscus::Coordination {

/// Calls back once after a delay, on the thread of the caller.
class TimerService
{
public:
    virtual ~TimerService() = default;
    virtual void after(Duration delay, std::function<void(TimePoint now)> handler) = 0;
};

/// The time of day, which may jump; for due times of jobs only.
class WallClock
{
public:
    virtual ~WallClock() = default;
    /// Milliseconds since 1970.
    virtual std::int64_t nowMs() const = 0;
};

} // namespace Hibiscus::Coordination
