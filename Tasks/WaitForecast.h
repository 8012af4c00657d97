#pragma once

#include <Tasks/TaskJob.h>

#include <array>
#include <map>
#include <span>
#include <string>

namespace Hibiscus::Tasks {

/// Current work of one service in accelerator-seconds, by the callers' estimates.
struct ServiceLoad
{
    static constexpr std::size_t priorities = 3; ///< Less urgent priorities count as the last one.

    std::array<double, priorities> waiting{}; ///< Work of waiting tasks, by priority.
    std::array<double, priorities> running{}; ///< Remaining work of running tasks, by priority.
    double accelerators = 0.0; ///< Accelerators of the workers that may start tasks.
};

/// Forecasts how long new work of each priority waits for its start. Admission control uses the
/// forecast under overload: a job that could start only when its result is of no use any more is
/// refused at once instead of being queued.
///
/// Work waits behind all work of the same or a more urgent priority. Urgent work preempts the rest,
/// so it waits behind urgent work only.
class WaitForecast
{
public:
    struct Settings
    {
        /// Shorter waits count as zero, since estimates are rough and work overlaps.
        Duration minReportedWait = seconds(5);
        Duration granularity = seconds(1); ///< Waits are rounded down to multiples of this.
    };

    explicit WaitForecast(const Settings &settings)
        : settings(settings)
    {}

    /// Expected wait of new work of the priority. Zero: the work starts soon, or the wait is
    /// unknown since no worker may start tasks.
    Duration expectedWait(const ServiceLoad &load, std::int32_t priority) const;

private:
    Settings settings;
};

/// Result of admission control for one job.
struct AdmissionDecision
{
    bool admitted = true;
    Duration retryAfter{}; ///< If not admitted: time after which the job could end in time.
};

/// Forecast for one queue.
struct QueueForecast
{
    Duration wait{};
    /// Mean critical path of the queue's jobs. The estimate of a single job may be far too low, so
    /// that the job would be refused for a wait that it can afford.
    Duration typicalCriticalPath{};

    bool operator==(const QueueForecast &) const = default;
};

/// Refuses a job whose expected wait is so long that its result would be of no use any more.
AdmissionDecision decideAdmission(const Job &job, const QueueForecast &forecast);

} // namespace Hibiscus::Tasks
