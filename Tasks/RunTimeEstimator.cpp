#include <Tasks/RunTimeEstimator.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus::Tasks {

namespace {

/// Fewer runs than this tell nothing.
constexpr std::int64_t fewestRuns = 5;
/// The mean follows about so many of the newest runs.
constexpr std::int64_t runsOfMean = 50;

} // namespace

void RunTimeEstimator::recordRun(std::string_view queue, Duration runTime)
{
    auto found = this->queues.find(queue);
    if (found == this->queues.end())
        found = this->queues.emplace(queue, Record{}).first;
    Record &record = found->second;
    record.count++;
    const double seconds = toSeconds(runTime);
    const auto weight = static_cast<double>(std::min(record.count, runsOfMean));
    record.meanSeconds += (seconds - record.meanSeconds) / weight;
}

Duration RunTimeEstimator::expectedRunTime(std::string_view queue, Duration estimate) const
{
    const auto found = this->queues.find(queue);
    if (found == this->queues.end() || found->second.count < fewestRuns)
        return estimate;
    const double stated = toSeconds(estimate);
    const std::chrono::duration<double> midway(std::sqrt(stated * found->second.meanSeconds));
    return std::chrono::duration_cast<Duration>(midway);
}

Duration RunTimeEstimator::expectedCriticalPath(const Job &job) const
{
    return job.criticalPath(
        [this, &job](const Step &step) { return this->expectedRunTime(job.queue, step.estimate); });
}

} // namespace Hibiscus::Tasks
