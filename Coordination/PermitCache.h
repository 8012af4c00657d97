#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/TimerService.h>
#include <Tasks/PlacementService.h>
#include <Tasks/StartPlanner.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace Hibiscus::Coordination {

/// Caches the permits of the placement service, which decides which workers may run a step. Queries
/// one step at a time, the most urgent one first, and only as many workers as the step may need.
class PermitCache
{
public:
    struct Settings
    {
        /// Workers per query; the placement service takes longer for each worker.
        std::size_t maxWorkersPerQuery = 30;
        Duration timeoutSlack = milliseconds(700);
        Duration retryDelay = milliseconds(300);
        /// Remaining validity that a permit must have when a start is planned, because the start
        /// order may have to be resent.
        Duration startReserve = milliseconds(900);
    };

    PermitCache(Tasks::PlacementService &service, TimerService &timers, EventLogger &logger,
                const Settings &settings, std::function<void(TimePoint)> permitsChanged);

    void clear();

    /// Restricts the request to workers with a valid permit. If these have too little room,
    /// prepares a query for further workers.
    void restrictToPermitted(Tasks::StartRequest &request, const Tasks::PermitTerms &terms,
                             std::span<const Tasks::WorkerView> workers, Tasks::UnixMs wall,
                             TimePoint now);
    /// Sends the most urgent query that was prepared, unless another one is in flight.
    void sendQuery(TimePoint now);

    /// The worker's permit for the step; empty if there is no valid one.
    std::string permitOf(const Tasks::StepRef &step, std::string_view worker, TimePoint now) const;
    /// Removes a permit that the worker rejected.
    void discardPermit(const Tasks::StepRef &step, std::string_view worker);
    /// Removes all permits of the job's steps.
    void removeJob(std::string_view job);

private:
    struct Permit
    {
        std::string text;
        /// Incarnation of the worker; a restarted worker needs a new permit.
        std::int64_t incarnation = 0;
        TimePoint validUntil{};
    };
    struct StepPermits
    {
        std::map<std::string, Permit, std::less<>> permits; ///< Keyed by worker id.
        /// Workers that the placement service has not permitted to run the step.
        std::set<std::string, std::less<>> deniedWorkers;
    };
    struct PermitQuery
    {
        Tasks::StepRef step;
        Tasks::PermitTerms terms;
        int rank = 0;
        Tasks::UnixMs objectiveAt = 0;
        std::vector<std::string> workers;
        /// Incarnations of `workers` when the query was built.
        std::map<std::string, std::int64_t> incarnations;
    };

    bool isValid(const Permit &permit, TimePoint now) const;
    PermitQuery buildQuery(const Tasks::StartRequest &request, const Tasks::PermitTerms &terms,
                           std::span<const Tasks::WorkerView> workers,
                           std::span<const std::size_t> candidates, Tasks::UnixMs wall) const;
    void handleAnswer(const PermitQuery &query, const Tasks::PlacementAnswer &answer,
                      TimePoint sentAt, TimePoint now);

    Tasks::PlacementService &service;
    TimerService &timers;
    EventLogger &logger;
    Settings settings;
    std::function<void(TimePoint)> permitsChanged;
    std::uint64_t generation = 0; ///< Answers to queries of earlier generations are ignored.
    bool queryInFlight = false;
    std::map<Tasks::StepRef, StepPermits> steps;
    /// The most urgent query of the current planning pass.
    std::optional<PermitQuery> nextQuery;
};

} // namespace Hibiscus::Coordination
