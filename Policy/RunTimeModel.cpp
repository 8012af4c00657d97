#include <Policy/RunTimeModel.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace {

constexpr double minSeconds = 0.001;
constexpr double maxSeconds = 30.0 * 24 * 3600;

double boundedSeconds(Duration value)
{
    return std::clamp(toSeconds(value), minSeconds, maxSeconds);
}

Duration fromSeconds(double value)
{
    const double bounded = std::clamp(value, minSeconds, maxSeconds);
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
            return this->settings.defaultRunTime;
        return fromSeconds(record->meanSeconds);
    }
    if (record == nullptr)
        return fromSeconds(boundedSeconds(job.declaredRunTime));
    // A single run is weak evidence: the weight of the ratio approaches 1 as runs accumulate.
    const double confidence = double(record->ratios) / (double(record->ratios) + 1);
    return fromSeconds(boundedSeconds(job.declaredRunTime)
                       * std::exp(record->logRatio * confidence));
}

void RunTimeModel::learn(const QueuedJob &job, Duration observed)
{
    auto found = this->index.find(key(job));
    if (!found && this->records.size() >= this->settings.maxKinds)
        return;
    if (!found) {
        found = static_cast<std::uint32_t>(this->records.size());
        this->index.insert(key(job), *found);
        this->records.emplace_back();
    }
    Record &record = this->records[*found];
    ++record.runs;
    const double weight = std::max(1.0 / record.runs, this->settings.minNewestWeight);
    record.meanSeconds += (boundedSeconds(observed) - record.meanSeconds) * weight;
    if (job.declaredRunTime <= Duration::zero())
        return;
    ++record.ratios;
    const double ratioWeight = std::max(1.0 / record.ratios, this->settings.minNewestWeight);
    const double ratio = std::log(boundedSeconds(observed) / boundedSeconds(job.declaredRunTime));
    record.logRatio += (ratio - record.logRatio) * ratioWeight;
}

} // namespace Hibiscus
