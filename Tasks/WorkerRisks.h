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
        /// What its service's workers do counts for a worker as much as this many of its own
        /// starts.
        double priorStarts = 2.0;
        /// Starts that a service's failure rate is averaged over at least.
        double minServiceStarts = 20.0;
        /// Restarts of a process of which nothing is known weigh against this many.
        double priorRestarts = 4.0;
        /// Weight of a failure that came after a part of the work was done. Workers that fail what
        /// they start do so early; a task's own faults come at any time.
        double lateFailureWeight = 0.25;
    };

    explicit WorkerRisks(const Settings &settings)
        : settings(settings)
    {}

    void clear();
    /// The worker has confirmed the start of a run.
    void recordStart(std::string_view worker, std::string_view service, TimePoint now);
    /// A run ended as failed on the worker, by its own fault or by that of the worker. `early`
    /// tells that hardly any of its work was done.
    void recordFailure(std::string_view worker, std::string_view service, const RunRef &run,
                       bool early, TimePoint now);
    /// Notes the worker's process, and a restart if it is another one than before. 0: unknown.
    void observeProcess(std::string_view worker, std::int64_t incarnation, TimePoint now);
    /// Drops evidence that has decayed, and workers without any that were not observed since.
    void forgetOld(TimePoint now);

    /// Probability, from 0 to 1, that a run started now ends by a fault of the worker. Zero without
    /// a recent failure in the service or restart of the worker.
    double riskOf(std::string_view worker, std::string_view service, TimePoint now) const;
    /// When a run of the step failed last, if that is remembered.
    std::optional<TimePoint> lastFailureOf(const StepRef &step) const;

private:
    struct Failure
    {
        StepRef step;
        double weight = 1.0;
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
        DecayingCount starts;
        DecayingCount restarts;
        std::int64_t incarnation = 0; ///< Of the process that was observed last.
        TimePoint observedAt{};
    };
    /// Sums over the workers of a service.
    struct ServiceHistory
    {
        DecayingCount failures;
        DecayingCount starts;
    };

    double decay(Duration age) const;
    double valueOf(const DecayingCount &count, TimePoint now) const;
    void add(DecayingCount &count, double amount, TimePoint now) const;
    History &historyOf(std::string_view worker);
    double blameOf(const Failure &failure) const;
    double serviceRate(std::string_view service, TimePoint now) const;
    double failureRate(const History &history, double rateOfService, TimePoint now) const;

    Settings settings;
    std::map<std::string, History, std::less<>> histories; ///< By worker.
    std::map<std::string, ServiceHistory, std::less<>> services;
    /// Workers on which runs of a step failed, with the time of the latest failure there.
    std::map<StepRef, std::map<std::string, TimePoint, std::less<>>> failedSteps;
};

} // namespace Hibiscus::Tasks
