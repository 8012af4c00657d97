#pragma once

#include <Tasks/TaskJob.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Hibiscus::Tasks {

/// A task that occupies a worker, as input of the planner.
struct OccupantView
{
    Resources need;
    std::int32_t priority = 0;
    UnixMs expectedEnd = 0; ///< Estimated; may be in the past.
    double preemptionCost = 0.0; ///< Core-seconds of work lost by a stop, its whole gang included.
    bool stopping = false; ///< Was told to stop; its resources are being freed.
    bool nonPreemptible = false; ///< A stop would make too many tasks of its step unavailable.
    /// Occupants of one gang share a group and stop together; 0: not of a gang.
    std::size_t group = 0;
    std::string_view customer;
};

/// A worker as input of the planner.
struct WorkerView
{
    std::string_view id;
    std::string_view service;
    std::int64_t incarnation = 0;
    std::span<const std::string> labels;
    Resources free;
    bool usable = false; ///< May start new tasks.
    /// Its data centre is evacuated, so it stays unusable for long.
    bool evacuated = false;
    /// Ratio of the worker's run times to those of the service's typical worker.
    double slowness = 1.0;
    /// Whether `slowness` was learned. True only if the service's workers are known to differ.
    bool speedKnown = false;
    double slownessDeviation = 0.0; ///< Standard deviation of the logarithm of `slowness`.
    /// Probability that a run which is started now ends with a failure of the worker.
    double failureRisk = 0.0;
    std::vector<OccupantView> occupants;

    /// All resources of the worker, also those in use.
    Resources capacity() const;
};

/// Request to start the waiting tasks of one step of one occurrence of a job.
struct StartRequest
{
    std::string_view job;
    std::int32_t occurrence = 0;
    std::int32_t stepNumber = 0;
    const Step *step = nullptr;
    std::string_view service;
    std::string_view customer;
    std::int32_t priority = 0;
    Duration runTime{}; ///< Expected run time of one task.
    UnixMs readySince = 0;
    UnixMs objectiveAt = 0; ///< A job that ends by then is in time.
    UnixMs usefulUntil = 0; ///< A job that ends later is of no use to its caller.
    /// Runs of a gang that may still fail before its job fails; absent: not a gang.
    std::optional<std::int32_t> attemptsLeft;
    std::optional<UnixMs> failedAt; ///< When a run of the gang failed lately.
    /// Covered by its customer's guarantee; has to start promptly, while it is of use.
    bool guaranteed = false;
    std::vector<std::int32_t> indexes; ///< Indexes of the waiting tasks; of a gang, of all tasks.
    /// Workers of the step's tasks that are assigned already, one entry a task.
    std::vector<std::size_t> assignedWorkers;
    std::vector<std::size_t> claims; ///< Workers of earlier claims, one entry a task.
    /// Workers that may run the tasks, in ascending order; absent: all workers of the service.
    std::optional<std::vector<std::size_t>> permitted;
};

/// Whether the request's tasks would miss the objective by their expected run time if they started
/// now. Perpetual tasks are never late.
bool isLate(const StartRequest &request, UnixMs now);

/// Decision to start task `index` of a request on a worker. `request` and `worker` are indexes into
/// the planner's inputs.
struct StartChoice
{
    std::size_t request = 0;
    std::int32_t index = 0;
    std::size_t worker = 0;

    bool operator==(const StartChoice &) const = default;
};

/// Decision to stop an occupant of a worker in favour of more urgent work. `worker` is an index
/// into the planner's inputs, `occupant` an index into the worker's occupants.
struct PreemptionChoice
{
    std::size_t worker = 0;
    std::size_t occupant = 0;

    bool operator==(const PreemptionChoice &) const = default;
};

/// Claim of a request on capacity of a worker that is being freed for one of its tasks. The caller
/// passes the claim with the request to the next plan; otherwise other requests may take the room.
struct ClaimChoice
{
    std::size_t request = 0;
    std::size_t worker = 0;

    bool operator==(const ClaimChoice &) const = default;
};

/// Service whose room is short, with the customer that holds most of it.
struct Shortage
{
    std::string_view service;
    std::string_view largestCustomer; ///< Empty if nothing runs there.
    double largestShare = 0.0; ///< That customer's dominant share, from 0 to 1.
    std::size_t customers = 0; ///< Customers that run or wait there.
};

struct StartPlan
{
    std::vector<StartChoice> starts;
    std::vector<PreemptionChoice> preemptions;
    std::vector<ClaimChoice> claims;
    std::vector<Shortage> shortages; ///< Sorted by service.
};

/// Decides which tasks start on which workers and which occupants are preempted. Keeps no state
/// between calls; the same inputs give the same plan.
class StartPlanner
{
public:
    struct Settings
    {
        /// Ratio of a task's run time outside the rack of its data to its run time inside.
        double remoteDataFactor = 3.0;
        /// Requests with a priority number up to this may preempt other tasks.
        std::int32_t maxPreemptingPriority = 0;
        /// How long a request that may preempt other tasks waits for a suitable rack at most.
        /// The platform requires that it starts within a bound.
        Duration maxUrgentRackWait = milliseconds(1200);
        /// The same bound for requests whose service is mostly idle, also for empty workers that
        /// are kept for urgent work. A task whose turn has come starts there within three seconds.
        Duration maxIdleWait = milliseconds(2500);
        /// Share of a service's workers that only urgent work may take while they are empty. Urgent
        /// work that has to wait for a preemption would be late already. Other work may take them
        /// after `maxIdleWait` if the service is mostly idle, and perpetual tasks in any case.
        double emptyShareForUrgentWork = 0.06;
        /// Share of a service's workers that stay empty while other empty workers of unknown speed
        /// are tried out.
        double emptyShareWithoutTrial = 0.5;
        std::size_t maxReservations = 24; ///< Tasks for which room is reserved in one plan.
        /// The same as a share of the service's workers, where that is more.
        double reservedShareOfWorkers = 0.25;
        /// Work of a task with checkpoints that a failure loses at most, in time.
        Duration checkpointInterval = seconds(2);
        /// Workers of a higher failure risk than this get no member of a gang.
        double maxGangRisk = 0.3;
        /// A gang that failed lately starts again on workers of at most this risk together, if its
        /// job fails with this run, or with the next one.
        double maxLastAttemptRisk = 0.15;
        double maxNextToLastAttemptRisk = 0.35;
        Duration maxRetryWait = seconds(5); ///< From the failure on, for such workers.
    };

    explicit StartPlanner(const Settings &settings)
        : settings(settings)
    {}

    StartPlan plan(std::span<const StartRequest> requests, std::span<const WorkerView> workers,
                   UnixMs now) const;

    static constexpr int uselessRank = 7; ///< Rank of work that is of no use any more; comes last.
    /// Rank of the request; requests of lower rank are planned first.
    static int rankOf(const StartRequest &request, UnixMs now);

private:
    Settings settings;
};

} // namespace Hibiscus::Tasks
