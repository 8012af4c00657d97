#include <Tasks/RunTimeEstimator.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus::Tasks {

namespace {

/// With fewer recorded runs than this the caller's estimate is used alone.
constexpr std::int64_t minRuns = 5;
/// The running mean follows about this many of the latest runs.
constexpr std::int64_t averagingWindowRuns = 50;

} // namespace

void RunTimeEstimator::recordRun(std::string_view queue, Duration runTime)
{
    auto found = this->queues.find(queue);
    if (found == this->queues.end())
        found = this->queues.emplace(queue, Record{}).first;
    Record &record = found->second;
    record.count++;
    const double seconds = toSeconds(runTime);
    const auto weight = static_cast<double>(std::min(record.count, averagingWindowRuns));
    record.meanSeconds += (seconds - record.meanSeconds) / weight;
}

Duration RunTimeEstimator::expectedRunTime(std::string_view queue, Duration estimate) const
{
    const auto found = this->queues.find(queue);
    if (found == this->queues.end() || found->second.count < minRuns)
        return estimate;
    const double estimateSeconds = toSeconds(estimate);
    const std::chrono::duration<double> geometricMean(
        std::sqrt(estimateSeconds * found->second.meanSeconds));
    return std::chrono::duration_cast<Duration>(geometricMean);
}

Duration RunTimeEstimator::expectedCriticalPath(const Job &job) const
{
    return job.criticalPath(
        [this, &job](const Step &step) { return this->expectedRunTime(job.queue, step.estimate); });
}

} // namespace Hibiscus::Tasks
