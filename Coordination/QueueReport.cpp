#include <Coordination/QueueReport.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Hibiscus::Coordination {

QueueReport::QueueReport(const TrackedJobTable &jobs, const WorkerFleet &fleet,
                         const Tasks::RunTimeEstimator &runTimes,
                         const Tasks::WaitForecast &forecast)
    : jobs(jobs)
    , fleet(fleet)
    , runTimes(runTimes)
    , forecast(forecast)
{}

std::string QueueReport::describeWaitingJobs() const
{
    std::map<std::string, std::int64_t> waiting;
    for (const auto &[id, job] : this->jobs.all()) {
        const bool counts
            = !job.isFinished() && job.job.repetition.count == 0 && !job.progress.anyTaskBegun;
        if (counts)
            waiting[job.job.queue]++;
    }
    return nlohmann::json(waiting).dump();
}

Tasks::ServiceLoad QueueReport::loadOf(std::string_view service, TimePoint now) const
{
    const auto priorityIndex = [](std::int32_t priority) {
        constexpr auto last = static_cast<std::int32_t>(Tasks::ServiceLoad::priorities) - 1;
        return static_cast<std::size_t>(std::clamp(priority, 0, last));
    };
    Tasks::ServiceLoad load;
    for (const auto &[id, worker] : this->fleet.all()) {
        if (worker.entry.service != service || !worker.listed || worker.entry.draining)
            continue;
        load.accelerators += static_cast<double>(worker.entry.capacity.accelerators);
        for (const auto &[key, run] : worker.runs) {
            if (run.perpetual) {
                // A perpetual run never frees its room, so its accelerators are not available to
                // waiting jobs.
                load.accelerators -= static_cast<double>(run.need.accelerators);
                continue;
            }
            const std::chrono::duration<double> left
                = std::max(Duration{}, run.estimate - run.elapsed(now));
            load.running[priorityIndex(run.priority)]
                += left.count() * static_cast<double>(run.need.accelerators);
        }
    }
    for (const auto &[id, job] : this->jobs.all()) {
        const bool counts
            = !job.isFinished() && job.job.service == service && job.job.repetition.count == 0;
        if (counts)
            load.waiting[priorityIndex(job.job.priority)] += job.waitingWork();
    }
    return load;
}

std::map<std::string, Tasks::QueueForecast> QueueReport::forecastQueues(TimePoint now) const
{
    std::map<std::string_view, Tasks::ServiceLoad> loads;
    std::map<std::string, Tasks::QueueForecast> forecasts;
    std::map<std::string, std::int64_t> jobCounts;
    for (const auto &[id, job] : this->jobs.all()) {
        Tasks::QueueForecast &queue = forecasts[job.job.queue];
        queue.typicalCriticalPath += this->runTimes.expectedCriticalPath(job.job);
        jobCounts[job.job.queue]++;
        if (job.isFinished() || queue.wait != Duration{})
            continue;
        const auto [load, added] = loads.try_emplace(job.job.service);
        if (added)
            load->second = this->loadOf(job.job.service, now);
        queue.wait = this->forecast.expectedWait(load->second, job.job.priority);
    }
    for (auto &[name, queue] : forecasts)
        queue.typicalCriticalPath /= jobCounts[name];
    return forecasts;
}

/// Rounds the chains to seconds, so that the published text changes rarely.
std::string QueueReport::describeWaits(TimePoint now) const
{
    constexpr Duration chainUnit = seconds(1);
    nlohmann::json waits = nlohmann::json::object();
    for (const auto &[name, queue] : this->forecastQueues(now)) {
        if (queue.wait == Duration{})
            continue;
        const Duration chain = (queue.typicalCriticalPath + chainUnit / 2) / chainUnit * chainUnit;
        waits[name] = {toMs(queue.wait), toMs(chain)};
    }
    return waits.dump();
}

} // namespace Hibiscus::Coordination
