#pragma once

#include <Tasks/RackWait.h>
#include <Tasks/RiskPlacement.h>
#include <Tasks/ShortageOrder.h>
#include <Tasks/SpeedPlacement.h>
#include <Tasks/StartPlanner.h>

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace Hibiscus::Tasks {

/// Implements one call of StartPlanner::plan. Plans the requests in order of their rank and tracks
/// the remaining capacity of each worker. Each object runs once.
class PlanPass
{
public:
    PlanPass(const StartPlanner::Settings &settings, std::span<const StartRequest> requests,
             std::span<const WorkerView> workers, UnixMs now);

    StartPlan run();

private:
    using WorkerList = std::vector<std::size_t>; ///< Worker indexes, one entry a task.
    using RequestList = std::vector<const StartRequest *>;

    /// Sorted indexes of a worker's occupants. They are computed on first use.
    struct OccupantOrders
    {
        bool sorted = false;
        std::vector<std::size_t> byEnd; ///< Earliest expected end first.
        std::vector<std::size_t> byCost; ///< Least urgent first, then lowest preemption cost.
    };

    void groupWorkers();
    void groupOccupants();
    void countWorkers();
    bool isEmpty(std::size_t worker) const;
    /// Whether the worker is one of the empty ones that are counted for urgent work.
    bool isEmptyAndNotSlow(std::size_t worker) const;
    bool mayTryWorkers(const StartRequest &request) const;
    bool mayUseEmptyWorker(const StartRequest &request) const;
    bool isIdleWaitOver(const StartRequest &request) const;
    void placeTask(const StartRequest &request, std::size_t worker);
    /// Takes back placements of this pass, one a task.
    void unplaceTasks(const StartRequest &request, const WorkerList &chosen);
    const OccupantOrders &occupantOrdersOf(std::size_t worker) const;
    void planRequest(std::size_t request);
    void planGang(std::size_t request);
    void planIndependentTasks(std::size_t request);

    bool isEligible(const StartRequest &request, std::size_t worker) const;
    bool hasRoom(const StartRequest &request, std::size_t worker) const;
    /// Room that the request's tasks may take on the worker now, with room that is reserved for
    /// work which starts only after their expected end.
    Resources roomNow(const StartRequest &request, std::size_t worker) const;
    /// Whether the worker may take one more task of the request's step. `taken` are the workers of
    /// its other tasks.
    static bool isBelowWorkerLimit(const StartRequest &request, std::size_t worker,
                                   const WorkerList &taken);
    bool isServiceMostlyIdle(const StartRequest &request) const;
    bool isRackWaitOver(const StartRequest &request) const;
    /// Whether the request's tasks may start only in the rack of their data.
    bool requiresDataRack(const StartRequest &request) const;
    /// Whether the gang may start only with all of its tasks in one rack.
    bool requiresOneRack(const StartRequest &request) const;
    /// Whether the worker would risk the request's gang. No gang waits for a sounder worker for
    /// long while the service is mostly idle.
    bool isTooRisky(const StartRequest &request, std::size_t worker) const;
    /// Probability that at least one of the workers breaks a run.
    double riskOfAny(const WorkerList &chosen) const;
    /// Whether the gang rather waits than risks its job on the workers.
    bool rejects(const StartRequest &request, const WorkerList &chosen) const;
    /// Expected loss of a gang's runs on the workers, in core-seconds.
    /// Whether the worker is eligible, sound enough and, while the request requires its data's
    /// rack, in that rack.
    bool isAllowed(const StartRequest &request, std::size_t worker) const;
    bool isKnownNotToFit(const StartRequest &request) const;
    void recordUnplaced(const StartRequest &request);
    std::optional<std::size_t> bestWorker(const StartRequest &request,
                                          std::span<const std::size_t> candidates,
                                          const WorkerList &taken) const;
    double placementCost(const StartRequest &request, std::size_t worker) const;
    /// Number of the request's tasks that fit into the room of one worker.
    static std::size_t tasksThatFit(const StartRequest &request, Resources room);
    std::optional<WorkerList> placeAllTasks(const StartRequest &request,
                                            std::span<const std::size_t> candidates);
    std::optional<WorkerList> placeGang(const StartRequest &request);
    /// Places the gang in the rack whose workers suit it best by risk and speed.
    std::optional<WorkerList> placeGangInBestRack(const StartRequest &request);
    double costOfPlaces(const StartRequest &request, const WorkerList &chosen) const;
    bool fitsIntoOneEmptyRack(const StartRequest &request) const;

    /// Remaining capacity and preempted occupants of each worker at one point of the pass.
    struct Capacity
    {
        std::vector<Resources> free; ///< Free now, less claims and reservations; may be negative.
        std::vector<Resources> beingFreed; ///< Held by occupants that are stopping.
        std::vector<std::vector<std::size_t>> preempted; ///< Indexes of occupants, by worker.
        std::vector<Resources> reserved; ///< What reservations have taken off `free`.
        /// Time until which the reserved room is lent to other work; see lendsUntil.
        std::vector<UnixMs> reservedUntil;
    };

    void reserveRoom(const StartRequest &request, std::size_t tasks);
    std::size_t reservationLimitOf(const StartRequest &request) const;
    bool isTooLateToReserve(const StartRequest &request, UnixMs completeAt) const;
    bool getsRoomForAllTasks(const StartRequest &request) const;
    /// Room of the worker once all occupants that are expected to end have ended, less claims and
    /// reservations.
    Resources roomInTime(std::size_t worker) const;
    /// Reserves room for each task on the worker that has room first. Returns the time at which the
    /// last task has room.
    UnixMs reserveRoomOn(const StartRequest &request, std::size_t tasks,
                         std::span<const std::size_t> candidates);
    /// The same for all tasks in the rack that has room first.
    UnixMs reserveRoomInOneRack(const StartRequest &request);
    /// Time until which other work may use room that is reserved for the request.
    UnixMs lendsUntil(const StartRequest &request, UnixMs start) const;
    UnixMs roomAvailableAt(const StartRequest &request, std::size_t worker) const;

    bool mayPreempt(const StartRequest &request) const;
    std::int32_t minVictimPriority(const StartRequest &request) const;
    std::size_t preemptForTasks(std::size_t request, std::size_t tasks);
    bool preemptForGang(std::size_t request);
    void addClaims(std::size_t request, std::span<const std::size_t> taken);
    void deductClaims(const StartRequest &request);
    void restoreClaims(const StartRequest &request);
    WorkerList renewClaims(const StartRequest &request, std::size_t limit);
    struct Preemption
    {
        std::size_t worker = 0;
        std::vector<std::size_t> occupants;
        double cost = std::numeric_limits<double>::infinity();
    };
    Preemption cheapestPreemption(const StartRequest &request, std::size_t worker) const;
    /// Finds room for tasks on the candidates and preempts occupants where needed. Updates
    /// `capacity`, adds the cost of the preemptions to `cost`, and returns the worker of each task
    /// that has room.
    WorkerList coverTasks(const StartRequest &request, std::size_t tasks,
                          std::span<const std::size_t> candidates, double &cost);
    void applyPreemption(const Preemption &preemption);
    /// Frees the room of the occupant and of its gang.
    void markPreempted(std::size_t worker, std::size_t occupant);
    bool isPreempted(std::size_t worker, std::size_t occupant) const;
    void planPreemptions(const Capacity &before);

    const StartPlanner::Settings &settings;
    RackWait rackWait;
    RiskPlacement risks;
    SpeedPlacement speeds;
    ShortageOrder shortageOrder;
    std::span<const StartRequest> requests;
    std::span<const WorkerView> workers;
    UnixMs now;
    Capacity capacity;
    mutable std::vector<OccupantOrders> orders;
    RequestList unplaced; ///< Requests for whose tasks no worker has room.
    /// The same for requests that must not take an empty worker.
    RequestList unplacedOnUsedWorkers;
    std::vector<std::size_t> allWorkers;
    /// Accelerators of the usable workers of a service.
    struct AcceleratorUse
    {
        std::int64_t all = 0;
        std::int64_t free = 0;
    };

    std::map<std::string_view, AcceleratorUse> acceleratorUse; ///< At the start of the pass.
    std::map<std::string_view, std::size_t> usableWorkers; ///< By service.
    std::map<std::string_view, std::size_t> emptyWorkers; ///< See isEmptyAndNotSlow, by service.
    /// Number of empty workers that only urgent work may take, by service.
    std::map<std::string_view, std::size_t> reservedEmptyWorkers;
    std::map<std::string_view, std::vector<std::size_t>> racks;
    /// Place of an occupant: the indexes of its worker and of the occupant there.
    using OccupantPlace = std::pair<std::size_t, std::size_t>;
    std::map<std::size_t, std::vector<OccupantPlace>> gangs; ///< Members, by occupant group.
    std::set<std::string_view> evacuatedRacks; ///< All of their workers are evacuated.
    std::size_t reservations = 0;
    StartPlan plan;
};

} // namespace Hibiscus::Tasks
