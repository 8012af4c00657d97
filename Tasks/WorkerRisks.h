#pragma once

#include <Tasks/WorkerLink.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Tasks {

/// What the recent past of the workers says about runs that start there now. Failures are weighed
/// between the worker and the task, and all evidence decays. Kept by the leader; a new leader
/// starts with none.
class WorkerRisks
{
public:
    struct Settings
    {
        /// An event counts half after this time.
        Duration halfLife = seconds(4);
        /// Failures per run of a worker of which nothing is known count as much as this many runs
        /// that went well.
        double priorRuns = 2.0;
        /// The same for restarts of its process.
        double priorRestarts = 4.0;
    };

    explicit WorkerRisks(const Settings &settings)
        : settings(settings)
    {}

    void clear();
    /// A run ended as failed on the worker, by its own fault or by that of the worker.
    void recordFailure(std::string_view worker, const RunRef &run, TimePoint now);
    /// A run ended as done on the worker.
    void recordSuccess(std::string_view worker, TimePoint now);
    /// The worker's process has ended and another one has taken its place.
    void recordRestart(std::string_view worker, TimePoint now);
    /// Notes the worker's process, and a restart if it is another one than before. 0: unknown.
    void observeProcess(std::string_view worker, std::int64_t incarnation, TimePoint now);
    /// Drops evidence that has decayed, and workers without any that were not observed since.
    void forgetOld(TimePoint now);

    /// Probability, from 0 to 1, that a run started now ends by a fault of the worker. Zero without
    /// a recent failure or restart.
    double riskOf(std::string_view worker, TimePoint now) const;

private:
    struct Failure
    {
        StepRef step;
        TimePoint at{};
    };
    /// A count that decays with time.
    struct DecayingCount
    {
        double value = 0.0; ///< At the time `at`.
        TimePoint at{};
    };
    struct History
    {
        std::vector<Failure> failures;
        DecayingCount successes;
        DecayingCount restarts;
        std::int64_t incarnation = 0; ///< Of the process that was observed last.
        TimePoint observedAt{};
    };

    double decay(Duration age) const;
    double valueOf(const DecayingCount &count, TimePoint now) const;
    void add(DecayingCount &count, TimePoint now) const;
    History &historyOf(std::string_view worker);
    double blameOf(const Failure &failure) const;
    double failureRate(const History &history, TimePoint now) const;

    Settings settings;
    std::map<std::string, History, std::less<>> histories; ///< By worker.
    /// Workers on which runs of a step failed, with the time of the latest failure there.
    std::map<StepRef, std::map<std::string, TimePoint, std::less<>>> failedSteps;
};

} // namespace Hibiscus::Tasks
