#pragma once

#include <Tasks/TaskJob.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Hibiscus::Tasks {

/// Something that occupies a worker, as the planner sees it.
struct OccupantView
{
    Resources need;
    std::int32_t priority = 0;
    UnixMs expectedEnd = 0; ///< By the estimate; may lie in the past.
    double preemptionCost = 0.0; ///< Core-seconds that a stop throws away, its gang's included.
    bool stopping = false; ///< Asked to stop: its room is coming free.
    bool nonPreemptible = false; ///< Must not be displaced: too many of its step would be away.
    std::size_t group = 0; ///< Occupants of one gang share a group; they stop together.
};

/// One worker as the planner sees it.
struct WorkerView
{
    std::string_view id;
    std::string_view service;
    std::int64_t incarnation = 0;
    std::span<const std::string> labels;
    Resources free;
    bool usable = false; ///< May be given new work.
    std::vector<OccupantView> occupants;
};

/// One step of one occurrence of a job whose tasks may start now.
struct StartRequest
{
    std::string_view job;
    std::int32_t occurrence = 0;
    std::int32_t stepNumber = 0;
    const Step *step = nullptr;
    std::string_view service;
    std::string_view customer;
    std::int32_t priority = 0;
    Duration runTime{}; ///< Expected, of one task.
    UnixMs readySince = 0;
    UnixMs objectiveAt = 0; ///< In time until then.
    UnixMs usefulUntil = 0; ///< Nobody is served by an end after this.
    bool guaranteed = false; ///< Within what its customer is promised, so owed a prompt start.
    std::vector<std::int32_t> indexes; ///< Tasks that wait; a gang's are all of its tasks.
    std::vector<std::size_t>
        assignedWorkers; ///< Workers, one entry a task of the step that they have.
    std::vector<std::size_t> claims; ///< Workers of earlier claims, one entry a task.
    /// Workers that may run the tasks, in rising order; absent: all of the service.
    std::optional<std::vector<std::size_t>> permitted;
};

/// Whether the request's tasks can't end in time any more, by their expected run time. Perpetual
/// ones are always wanted at once.
bool isLate(const StartRequest &request, UnixMs now);

/// Start task `index` of request `request` on worker `worker`; numbers are places in the inputs.
struct StartChoice
{
    std::size_t request = 0;
    std::int32_t index = 0;
    std::size_t worker = 0;

    bool operator==(const StartChoice &) const = default;
};

/// Stop occupant `occupant` of worker `worker` in favour of more urgent work.
struct PreemptionChoice
{
    std::size_t worker = 0;
    std::size_t occupant = 0;

    bool operator==(const PreemptionChoice &) const = default;
};

/// Room for one task of a request that is being made on a worker. It has to come back with the
/// request in the next plan, or others may take the room.
struct ClaimChoice
{
    std::size_t request = 0;
    std::size_t worker = 0;

    bool operator==(const ClaimChoice &) const = default;
};

struct StartPlan
{
    std::vector<StartChoice> starts;
    std::vector<PreemptionChoice> preemptions;
    std::vector<ClaimChoice> claims;
};

/// Chooses what starts where and what has to make room. Looks at one moment only and keeps nothing
/// between calls; the same inputs give the same plan.
class StartPlanner
{
public:
    struct Settings
    {
        double remoteDataFactor = 3.0; ///< Run time off the data's rack, against on it.
        std::int32_t maxPreemptingPriority = 0; ///< Requests up to this may displace others.
        /// How long a request that may displace others waits for its data's rack; it is owed a
        /// start within a bound that the platform sets.
        Duration maxUrgentRackWait = milliseconds(1200);
        /// Share of a service's workers that only urgent work may take while they are empty: urgent
        /// work that has to wait for others to stop is late already.
        double emptyShareForUrgentWork = 0.06;
        std::size_t maxReservations = 24; ///< Tasks for which room is kept as it comes free.
    };

    explicit StartPlanner(const Settings &settings)
        : settings(settings)
    {}

    StartPlan plan(std::span<const StartRequest> requests, std::span<const WorkerView> workers,
                   UnixMs now) const;

    /// Lower goes first.
    static int rankOf(const StartRequest &request, UnixMs now);

private:
    Settings settings;
};

} // namespace Hibiscus::Tasks
