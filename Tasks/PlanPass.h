#pragma once

#include <Tasks/StartPlanner.h>

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Hibiscus::Tasks {

/// The work of one StartPlanner::plan: what is left of each worker while requests are served in
/// order of their rank. Used once.
class PlanPass
{
public:
    PlanPass(const StartPlanner::Settings &settings, std::span<const StartRequest> requests,
             std::span<const WorkerView> workers, UnixMs now);

    StartPlan run();

private:
    using Chosen = std::vector<std::size_t>; ///< A worker for each task of a request.

    /// Orders of a worker's occupants, made when they are first needed.
    struct OccupantOrders
    {
        bool made = false;
        std::vector<std::size_t> byEnd; ///< First to end first.
        std::vector<std::size_t> byLoss; ///< Least urgent first, then the cheapest to stop.
    };

    void groupWorkers();
    void countEmptyWorkers();
    bool isEmpty(std::size_t worker) const;
    bool mayTakeEmpty(const StartRequest &request) const;
    void take(const StartRequest &request, std::size_t worker);
    const OccupantOrders &ordersOf(std::size_t worker) const;
    void serve(std::size_t request);
    void serveGang(std::size_t request);
    void serveSingly(std::size_t request);

    bool eligible(const StartRequest &request, std::size_t worker) const;
    bool hasRoom(const StartRequest &request, std::size_t worker) const;
    bool belowMost(const StartRequest &request, std::size_t taken) const;
    bool insistsOnRack(const StartRequest &request) const;
    /// Eligible, and on the data's rack while the request insists on that.
    bool allowed(const StartRequest &request, std::size_t worker) const;
    bool surelyHasNoRoom(const StartRequest &request) const;
    void noteUnplaced(const StartRequest &request);
    std::optional<std::size_t> bestWorker(const StartRequest &request,
                                          std::span<const std::size_t> candidates,
                                          const Chosen &taken) const;
    double waste(const StartRequest &request, std::size_t worker) const;
    std::optional<Chosen> placeAll(const StartRequest &request,
                                   std::span<const std::size_t> candidates);
    std::optional<Chosen> placeGang(const StartRequest &request);
    bool fitsOneRackEmpty(const StartRequest &request) const;

    /// What is left of each worker, and what was given up on it, at one point of the pass.
    struct Stage
    {
        std::vector<Resources> free; ///< Now, less what is kept for requests; may be negative.
        std::vector<Resources> coming; ///< Held by what is stopping.
        std::vector<std::vector<std::size_t>> displaced; ///< Occupants, by worker.
    };

    void keepRoom(const StartRequest &request, std::size_t tasks);
    void keepRoomInOneRack(const StartRequest &request);
    /// When the last of the tasks has room, if they take the workers in turn.
    UnixMs keepRoomAmong(const StartRequest &request, std::size_t tasks,
                         std::span<const std::size_t> candidates);
    std::optional<std::size_t> soonestWorker(const StartRequest &request,
                                             std::span<const std::size_t> candidates) const;
    UnixMs roomAt(const StartRequest &request, std::size_t worker) const;

    bool mayReclaim(const StartRequest &request) const;
    std::int32_t leastVictimPriority(const StartRequest &request) const;
    std::size_t reclaimFor(std::size_t request, std::size_t tasks);
    bool reclaimForGang(std::size_t request);
    void claim(std::size_t request, std::span<const std::size_t> taken);
    void holdClaims(const StartRequest &request);
    void releaseClaims(const StartRequest &request);
    Chosen renewClaims(const StartRequest &request, std::size_t most);
    struct Displacement
    {
        std::size_t worker = 0;
        std::vector<std::size_t> occupants;
        double loss = std::numeric_limits<double>::infinity();
    };
    Displacement cheapestDisplacement(const StartRequest &request, std::size_t worker) const;
    /// Makes room for tasks in `stage`. Returns the workers of those covered; adds what is lost.
    Chosen cover(const StartRequest &request, std::size_t tasks,
                 std::span<const std::size_t> candidates, double &loss);
    void displace(const Displacement &displacement);
    void planDisplaced(const Stage &before);

    const StartPlanner::Settings &settings;
    std::span<const StartRequest> requests;
    std::span<const WorkerView> workers;
    UnixMs now;
    Stage stage;
    mutable std::vector<OccupantOrders> orders;
    std::vector<const StartRequest *> unplaced; ///< No worker has room for a task of these.
    std::vector<std::size_t> everyWorker;
    std::map<std::string_view, std::size_t> emptyWorkers; ///< Usable ones that hold nothing.
    std::map<std::string_view, std::size_t> keptEmpty; ///< How many are left to urgent work.
    std::map<std::string_view, std::vector<std::size_t>> racks;
    std::size_t reservations = 0;
    StartPlan plan;
};

} // namespace Hibiscus::Tasks
