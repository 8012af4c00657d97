#include <Policy/RunTimeModel.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace {

constexpr double shortestSeconds = 0.001;
constexpr double longestSeconds = 30.0 * 24 * 3600;

double boundedSeconds(Duration value)
{
    return std::clamp(toSeconds(value), shortestSeconds, longestSeconds);
}

Duration fromSeconds(double value)
{
    const double bounded = std::clamp(value, shortestSeconds, longestSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

} // namespace

std::uint64_t RunTimeModel::key(const QueuedJob &job)
{
    return (std::uint64_t(job.customer.value) << 32) | job.kind.value;
}

Duration RunTimeModel::expected(const QueuedJob &job) const
{
    const auto found = this->index.find(key(job));
    const Record *record = found ? &this->records[*found] : nullptr;
    if (job.declaredRunTime <= Duration::zero()) {
        if (record == nullptr)
            return this->settings.unknownRunTime;
        return fromSeconds(record->meanSeconds);
    }
    if (record == nullptr)
        return fromSeconds(boundedSeconds(job.declaredRunTime));
    // One run says little: the ratio counts in full only as runs add up.
    const double trust = double(record->ratios) / (double(record->ratios) + 1);
    return fromSeconds(boundedSeconds(job.declaredRunTime) * std::exp(record->logRatio * trust));
}

void RunTimeModel::learn(const QueuedJob &job, Duration seen)
{
    auto found = this->index.find(key(job));
    if (!found && this->records.size() >= this->settings.mostKinds)
        return;
    if (!found) {
        found = static_cast<std::uint32_t>(this->records.size());
        this->index.insert(key(job), *found);
        this->records.emplace_back();
    }
    Record &record = this->records[*found];
    ++record.runs;
    const double weight = std::max(1.0 / record.runs, this->settings.newestWeight);
    record.meanSeconds += (boundedSeconds(seen) - record.meanSeconds) * weight;
    if (job.declaredRunTime <= Duration::zero())
        return;
    ++record.ratios;
    const double ratioWeight = std::max(1.0 / record.ratios, this->settings.newestWeight);
    const double ratio = std::log(boundedSeconds(seen) / boundedSeconds(job.declaredRunTime));
    record.logRatio += (ratio - record.logRatio) * ratioWeight;
}

} // namespace Hibiscus
