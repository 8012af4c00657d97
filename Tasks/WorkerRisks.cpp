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

void WorkerRisks::add(DecayingCount &count, TimePoint now) const
{
    count.value = this->valueOf(count, now) + 1.0;
    count.at = now;
}

WorkerRisks::History &WorkerRisks::historyOf(std::string_view worker)
{
    const auto found = this->histories.find(worker);
    if (found != this->histories.end())
        return found->second;
    return this->histories.emplace(worker, History{}).first->second;
}

void WorkerRisks::recordFailure(std::string_view worker, const RunRef &run, TimePoint now)
{
    const StepRef step{run.job, run.task.occurrence, run.task.step};
    this->historyOf(worker).failures.push_back({step, now});
    this->failedSteps[step].insert_or_assign(std::string(worker), now);
}

void WorkerRisks::recordSuccess(std::string_view worker, TimePoint now)
{
    this->add(this->historyOf(worker).successes, now);
}

void WorkerRisks::recordRestart(std::string_view worker, TimePoint now)
{
    this->add(this->historyOf(worker).restarts, now);
}

void WorkerRisks::observeProcess(std::string_view worker, std::int64_t incarnation, TimePoint now)
{
    if (incarnation == 0)
        return;
    History &history = this->historyOf(worker);
    if (history.incarnation != 0 && history.incarnation != incarnation)
        this->add(history.restarts, now);
    history.incarnation = incarnation;
    history.observedAt = now;
}

void WorkerRisks::forgetOld(TimePoint now)
{
    const TimePoint oldest = now - forgottenAfterHalfLives * this->settings.halfLife;
    for (auto &[worker, history] : this->histories) {
        std::erase_if(history.failures,
                      [oldest](const Failure &failure) { return failure.at < oldest; });
        if (history.restarts.at < oldest)
            history.restarts = {};
        if (history.successes.at < oldest)
            history.successes = {};
    }
    std::erase_if(this->histories, [oldest](const auto &entry) {
        const History &history = entry.second;
        return history.failures.empty() && history.restarts.value == 0.0
            && history.successes.value == 0.0 && history.observedAt < oldest;
    });
    for (auto &[step, workers] : this->failedSteps)
        std::erase_if(workers, [oldest](const auto &entry) { return entry.second < oldest; });
    std::erase_if(this->failedSteps, [](const auto &entry) { return entry.second.empty(); });
}

/// Share of a failure that is put down to its worker. A step that failed on several workers is
/// suspect itself; on each of them the rest of the worker's failures decides.
double WorkerRisks::blameOf(const Failure &failure) const
{
    const auto found = this->failedSteps.find(failure.step);
    const std::size_t workers = found == this->failedSteps.end() ? 1 : found->second.size();
    return 1.0 / static_cast<double>(std::max<std::size_t>(workers, 1));
}

double WorkerRisks::failureRate(const History &history, TimePoint now) const
{
    double failures = 0.0;
    for (const Failure &failure : history.failures)
        failures += this->blameOf(failure) * this->decay(now - failure.at);
    const double runs = failures + this->valueOf(history.successes, now) + this->settings.priorRuns;
    return failures / runs;
}

double WorkerRisks::riskOf(std::string_view worker, TimePoint now) const
{
    const auto found = this->histories.find(worker);
    if (found == this->histories.end())
        return 0.0;
    const History &history = found->second;
    const double restarts = this->valueOf(history.restarts, now);
    const double restartRate = restarts / (restarts + this->settings.priorRestarts);
    return 1.0 - (1.0 - this->failureRate(history, now)) * (1.0 - restartRate);
}

} // namespace Hibiscus::Tasks
