#include <Tasks/WorkerRisks.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus::Tasks {

namespace {

/// Evidence that is older than this many half-lives is dropped.
constexpr int forgottenAfterHalfLives = 8;

} // namespace

void WorkerRisks::clear()
{
    this->histories.clear();
    this->services.clear();
    this->failedSteps.clear();
}

double WorkerRisks::decay(Duration age) const
{
    return std::exp2(-toSeconds(std::max(age, Duration{})) / toSeconds(this->settings.halfLife));
}

double WorkerRisks::valueOf(const DecayingCount &count, TimePoint now) const
{
    return count.value == 0.0 ? 0.0 : count.value * this->decay(now - count.at);
}

void WorkerRisks::add(DecayingCount &count, double amount, TimePoint now) const
{
    count.value = this->valueOf(count, now) + amount;
    count.at = now;
}

WorkerRisks::History &WorkerRisks::historyOf(std::string_view worker)
{
    const auto found = this->histories.find(worker);
    if (found != this->histories.end())
        return found->second;
    return this->histories.emplace(worker, History{}).first->second;
}

void WorkerRisks::recordStart(std::string_view worker, std::string_view service, TimePoint now)
{
    this->add(this->historyOf(worker).starts, 1.0, now);
    this->add(this->services[std::string(service)].starts, 1.0, now);
}

void WorkerRisks::recordFailure(std::string_view worker, std::string_view service,
                                const RunRef &run, bool early, TimePoint now)
{
    const StepRef step{run.job, run.task.occurrence, run.task.step};
    const double weight = early ? 1.0 : this->settings.lateFailureWeight;
    this->historyOf(worker).failures.push_back({step, weight, now});
    this->failedSteps[step].insert_or_assign(std::string(worker), now);
    this->add(this->services[std::string(service)].failures,
              weight * this->blameOf({step, weight, now}), now);
}

void WorkerRisks::observeProcess(std::string_view worker, std::int64_t incarnation, TimePoint now)
{
    if (incarnation == 0)
        return;
    History &history = this->historyOf(worker);
    if (history.incarnation != 0 && history.incarnation != incarnation)
        this->add(history.restarts, 1.0, now);
    history.incarnation = incarnation;
    history.observedAt = now;
}

void WorkerRisks::forgetOld(TimePoint now)
{
    const TimePoint oldest = now - forgottenAfterHalfLives * this->settings.halfLife;
    const auto dropOld = [oldest](DecayingCount &count) {
        if (count.at < oldest)
            count = {};
    };
    for (auto &[worker, history] : this->histories) {
        std::erase_if(history.failures,
                      [oldest](const Failure &failure) { return failure.at < oldest; });
        dropOld(history.starts);
        dropOld(history.restarts);
    }
    std::erase_if(this->histories, [oldest](const auto &entry) {
        const History &history = entry.second;
        return history.failures.empty() && history.restarts.value == 0.0
            && history.starts.value == 0.0 && history.observedAt < oldest;
    });
    for (auto &[service, history] : this->services) {
        dropOld(history.failures);
        dropOld(history.starts);
    }
    for (auto &[step, workers] : this->failedSteps)
        std::erase_if(workers, [oldest](const auto &entry) { return entry.second < oldest; });
    std::erase_if(this->failedSteps, [](const auto &entry) { return entry.second.empty(); });
}

/// Share of a failure that is put down to its worker. A step that failed on several workers is
/// suspect itself, unless many other steps fail too.
double WorkerRisks::blameOf(const Failure &failure) const
{
    const auto found = this->failedSteps.find(failure.step);
    if (found == this->failedSteps.end())
        return 1.0;
    const auto steps = static_cast<double>(this->failedSteps.size());
    const auto otherWorkers = static_cast<double>(found->second.size()) - 1.0;
    return steps / (steps + otherWorkers);
}

/// Failures put down to workers, per start in the service.
double WorkerRisks::serviceRate(std::string_view service, TimePoint now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return 0.0;
    const double failures = this->valueOf(found->second.failures, now);
    const double starts = this->valueOf(found->second.starts, now);
    return failures / std::max({starts, failures, this->settings.minServiceStarts});
}

double WorkerRisks::failureRate(const History &history, double rateOfService, TimePoint now) const
{
    double failures = 0.0;
    for (const Failure &failure : history.failures)
        failures += failure.weight * this->blameOf(failure) * this->decay(now - failure.at);
    const double starts = std::max(failures, this->valueOf(history.starts, now));
    const double prior = this->settings.priorStarts;
    return (failures + prior * rateOfService) / (starts + prior);
}

double WorkerRisks::riskOf(std::string_view worker, std::string_view service, TimePoint now) const
{
    const double rateOfService = this->serviceRate(service, now);
    const auto found = this->histories.find(worker);
    if (found == this->histories.end())
        return rateOfService;
    const History &history = found->second;
    const double restarts = this->valueOf(history.restarts, now);
    const double restartRate = restarts / (restarts + this->settings.priorRestarts);
    return 1.0 - (1.0 - this->failureRate(history, rateOfService, now)) * (1.0 - restartRate);
}

std::optional<TimePoint> WorkerRisks::lastFailureOf(const StepRef &step) const
{
    const auto found = this->failedSteps.find(step);
    if (found == this->failedSteps.end() || found->second.empty())
        return std::nullopt;
    TimePoint latest = found->second.begin()->second;
    for (const auto &[worker, at] : found->second)
        latest = std::max(latest, at);
    return latest;
}

} // namespace Hibiscus::Tasks
