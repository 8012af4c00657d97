#pragma once

#include <Coordination/JobTable.h>
#include <Coordination/WorkerFleet.h>
#include <Tasks/RunTimeEstimator.h>
#include <Tasks/WaitForecast.h>

#include <map>
#include <string>
#include <string_view>

namespace Hibiscus::Coordination {

/// What the leader tells all instances about the queues, as text for the store.
class QueueReport
{
public:
    QueueReport(const JobTable &jobs, const WorkerFleet &fleet,
                const Tasks::RunTimeEstimator &runTimes, const Tasks::WaitForecast &forecast);

    /// Queue to number of jobs that have not started, scheduled ones left out.
    std::string describeWaitingJobs() const;
    /// Queues that wait long, as "name": [wait, typical chain], both in ms.
    std::string describeWaits(TimePoint now) const;

private:
    Tasks::ServiceLoad loadOf(std::string_view service, TimePoint now) const;
    std::map<std::string, Tasks::QueueForecast> forecastQueues(TimePoint now) const;

    const JobTable &jobs;
    const WorkerFleet &fleet;
    const Tasks::RunTimeEstimator &runTimes;
    const Tasks::WaitForecast &forecast;
};

} // namespace Hibiscus::Coordination
