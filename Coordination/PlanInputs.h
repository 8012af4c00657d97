#pragma once

#include <Coordination/JobTable.h>
#include <Coordination/PermitCache.h>
#include <Coordination/WorkerFleet.h>
#include <Tasks/RunTimeEstimator.h>
#include <Tasks/StartPlanner.h>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Hibiscus::Coordination {

/// Accelerators that a customer is guaranteed for its urgent jobs.
using GuaranteeLookup = std::function<std::int64_t(std::string_view customer)>;

/// What the start planner is given: the steps that may start and the workers, as the leader knows
/// them at one moment. Views refer to the leader's tables and hold until these change.
class PlanInputs
{
public:
    struct Settings
    {
        double checkpointLoss = 0.5; ///< Seconds of work lost by a stop of a task that checkpoints.
    };

    PlanInputs(const JobTable &jobs, const WorkerFleet &fleet,
               const Tasks::RunTimeEstimator &runTimes, PermitCache &permits,
               GuaranteeLookup guarantees, const Settings &settings);

    void clear();
    /// Collects all anew; false: nothing waits for its start.
    bool collect(Tasks::UnixMs wall, TimePoint now);
    /// Has room that is being made for a request kept for it in the next plan.
    void keepClaims(const Tasks::StartPlan &plan);

    std::span<const Tasks::StartRequest> startRequests() const { return this->requests; }
    std::span<const Tasks::WorkerView> workerViews() const { return this->workers; }

private:
    void collectRequests(Tasks::UnixMs wall);
    void addRequests(const TrackedJob &job, std::int32_t occurrence, Tasks::UnixMs wall);
    void collectWorkers(Tasks::UnixMs wall, TimePoint now);
    Tasks::OccupantView viewOf(const WorkerFleet::Run &run, Tasks::UnixMs wall,
                               TimePoint now) const;
    void markFixedOccupants();
    void markGuaranteed();
    void findSiblings(Tasks::StartRequest &request) const;
    void restoreClaims(Tasks::StartRequest &request) const;
    void restrictToPermits(Tasks::UnixMs wall, TimePoint now);
    std::optional<std::size_t> indexOfWorker(std::string_view worker) const;

    const JobTable &jobs;
    const WorkerFleet &fleet;
    const Tasks::RunTimeEstimator &runTimes;
    PermitCache &permits;
    GuaranteeLookup guarantees;
    Settings settings;
    std::vector<Tasks::StartRequest> requests;
    std::vector<Tasks::WorkerView> workers; ///< In the order of their ids.
    std::map<Tasks::StepRef, std::vector<std::string>> claims; ///< Workers on which room is made.
};

} // namespace Hibiscus::Coordination
