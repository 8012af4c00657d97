#pragma once

#include <Coordination/TimerService.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace Hibiscus::Coordination::Test {

/// Simulated time with an event queue. Events run in the order of their times; events of the same
/// time run in the order of insertion.
class SimClock final : public WallClock
{
public:
    TimePoint now() const { return this->time; }
    std::int64_t nowMs() const override
    {
        return wallStart
            + std::chrono::duration_cast<milliseconds>(this->time - TimePoint{}).count();
    }

    void at(TimePoint when, std::function<void()> event)
    {
        this->events.emplace(std::max(when, this->time), std::move(event));
    }
    void in(Duration delay, std::function<void()> event)
    {
        this->at(this->time + delay, std::move(event));
    }

    /// Runs an event of a process: drops it if the process is dead by then, and defers it while the
    /// process is suspended.
    void inProcess(Duration delay, const std::shared_ptr<const bool> &alive,
                   const std::shared_ptr<const std::optional<TimePoint>> &suspendedUntil,
                   std::function<void()> event)
    {
        this->in(delay, [this, alive, suspendedUntil, event = std::move(event)] {
            if (!*alive)
                return;
            const bool suspended
                = suspendedUntil && *suspendedUntil && this->time < **suspendedUntil;
            if (suspended)
                this->inProcess(**suspendedUntil - this->time, alive, suspendedUntil, event);
            else
                event();
        });
    }

    void run(Duration span)
    {
        const TimePoint until = this->time + span;
        while (!this->events.empty() && this->events.begin()->first <= until) {
            auto next = this->events.extract(this->events.begin());
            this->time = next.key();
            next.mapped()();
        }
        this->time = until;
    }

private:
    /// Milliseconds since the Unix epoch.
    static constexpr std::int64_t wallStart = 1'700'000'000'000;

    TimePoint time{seconds(1000)};
    std::multimap<TimePoint, std::function<void()>> events;
};

} // namespace Hibiscus::Coordination::Test
