#pragma once

#include <Coordination/PermitCache.h>
#include <Coordination/TrackedJobTable.h>
#include <Coordination/WorkerFleet.h>
#include <Tasks/RunTimeEstimator.h>
#include <Tasks/StartPlanner.h>
#include <Tasks/WorkerRisks.h>
#include <Tasks/WorkerSpeeds.h>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Hibiscus::Coordination {

/// Returns the number of accelerators that a customer is guaranteed for its urgent jobs.
using GuaranteeLookup = std::function<std::int64_t(std::string_view customer)>;

/// Input of the start planner: a snapshot of the steps that may start and of the workers. The views
/// refer to the leader's tables and are valid until these change.
class PlanInputs
{
public:
    /// The present time by the clocks that a plan goes by.
    struct Time
    {
        Tasks::UnixMs timeOfDay = 0; ///< For the due times of occurrences.
        Tasks::UnixMs ageTime = 0; ///< Of the JobAgeClock. All times of requests are by it.
        TimePoint now{};
    };

    struct Settings
    {
        /// Seconds of work that a task with checkpoints loses when it is stopped.
        double checkpointLoss = 0.5;
    };

    PlanInputs(const TrackedJobTable &jobs, const WorkerFleet &fleet,
               const Tasks::RunTimeEstimator &runTimes, const Tasks::WorkerSpeeds &speeds,
               const Tasks::WorkerRisks &risks, PermitCache &permits, GuaranteeLookup guarantees,
               const Settings &settings);

    void clear();
    /// Rebuilds the snapshot; returns false if no step is waiting to start.
    bool collect(const Time &time);
    /// Keeps the room that is being freed for a request reserved for it in the next plan.
    void keepClaims(const Tasks::StartPlan &plan);

    std::span<const Tasks::StartRequest> startRequests() const { return this->requests; }
    std::span<const Tasks::WorkerView> workerViews() const { return this->workers; }

private:
    void collectRequests(const Time &time);
    void addRequests(const TrackedJob &job, std::int32_t occurrence, const Time &time);
    void addFailures(Tasks::StartRequest &request, const TrackedJob &job, const Time &time) const;
    void collectWorkers(const Time &time);
    Tasks::OccupantView viewOf(const WorkerFleet::Run &run, const Time &time) const;
    void nameOwners();
    void markFixedOccupants();
    void markGuaranteed();
    void findSiblings(Tasks::StartRequest &request) const;
    void restoreClaims(Tasks::StartRequest &request) const;
    void restrictToPermits(const Time &time);
    std::optional<std::size_t> indexOfWorker(std::string_view worker) const;

    const TrackedJobTable &jobs;
    const WorkerFleet &fleet;
    const Tasks::RunTimeEstimator &runTimes;
    const Tasks::WorkerRisks &risks;
    const Tasks::WorkerSpeeds &speeds;
    PermitCache &permits;
    GuaranteeLookup guarantees;
    Settings settings;
    std::vector<Tasks::StartRequest> requests;
    std::vector<Tasks::WorkerView> workers; ///< Sorted by worker id.
    /// Workers on which room is being freed for a step.
    std::map<Tasks::StepRef, std::vector<std::string>> claims;
};

} // namespace Hibiscus::Coordination
