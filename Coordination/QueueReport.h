#pragma once

#include <Coordination/TrackedJobTable.h>
#include <Coordination/WorkerFleet.h>
#include <Tasks/RunTimeEstimator.h>
#include <Tasks/WaitForecast.h>

#include <map>
#include <string>
#include <string_view>

namespace Hibiscus::Coordination {

/// Texts about the queues that the leader publishes in the store for all instances.
class QueueReport
{
public:
    QueueReport(const TrackedJobTable &jobs, const WorkerFleet &fleet,
                const Tasks::RunTimeEstimator &runTimes, const Tasks::WaitForecast &forecast);

    /// JSON object that maps each queue to its number of jobs of which no worker has begun a task.
    /// Repeated jobs are not counted.
    std::string describeWaitingJobs() const;
    /// JSON object of the queues with a long wait, as "name": [wait, typical chain], both in ms.
    std::string describeWaits(TimePoint now) const;

private:
    Tasks::ServiceLoad loadOf(std::string_view service, TimePoint now) const;
    std::map<std::string, Tasks::QueueForecast> forecastQueues(TimePoint now) const;

    const TrackedJobTable &jobs;
    const WorkerFleet &fleet;
    const Tasks::RunTimeEstimator &runTimes;
    const Tasks::WaitForecast &forecast;
};

} // namespace Hibiscus::Coordination
