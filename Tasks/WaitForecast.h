#pragma once

#include <Tasks/TaskJob.h>

#include <array>
#include <map>
#include <span>
#include <string>

namespace Hibiscus::Tasks {

/// Work of one service at one moment, in accelerator-seconds by the callers' estimates.
struct ServiceLoad
{
    static constexpr std::size_t priorities = 3; ///< Lower urgencies count as the last.

    std::array<double, priorities> waiting{}; ///< By priority.
    std::array<double, priorities> running{}; ///< What is left of running tasks, by priority.
    double accelerators = 0.0; ///< Of the workers that may be given work.
};

/// How long new work of each priority would wait for its turn. Answers floods: work that could only
/// be started when nobody is served by it any more is refused at once instead of being kept.
///
/// Urgent work displaces the rest, so it waits behind its own kind only; other work waits behind
/// all that is as urgent or more.
class WaitForecast
{
public:
    struct Settings
    {
        /// Estimates are rough and work overlaps; shorter waits than this are not told.
        Duration minReportedWait = seconds(5);
        Duration granularity = seconds(1); ///< Told waits are whole multiples.
    };

    explicit WaitForecast(const Settings &settings)
        : settings(settings)
    {}

    /// Zero: work starts soon, or nothing can be told.
    Duration expectedWait(const ServiceLoad &load, std::int32_t priority) const;

private:
    Settings settings;
};

/// A wait that was told, and what a caller's job can bear.
struct AdmissionDecision
{
    bool admitted = true;
    Duration retryAfter{}; ///< If not admitted: by then the job could be served in time.
};

/// What is told of one queue.
struct QueueForecast
{
    Duration wait{};
    /// Mean of its jobs' longest chains: one job's estimate may be far too low, and would let it
    /// seem to bear no wait.
    Duration typicalCriticalPath{};

    bool operator==(const QueueForecast &) const = default;
};

/// Refuses a job that would still wait when nobody is served by its end any more.
AdmissionDecision decideAdmission(const Job &job, const QueueForecast &forecast);

} // namespace Hibiscus::Tasks
