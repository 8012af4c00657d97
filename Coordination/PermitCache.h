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

/// Permits of the placement service: which workers may run a step, as far as it was asked. Asks
/// for one step at a time, the most urgent first, and only about as many workers as may be needed.
class PermitCache
{
public:
    struct Settings
    {
        std::size_t maxWorkersPerQuery
            = 30; ///< Workers of one question: its answer takes longer for each.
        Duration timeoutSlack = milliseconds(700);
        Duration retryDelay = milliseconds(300);
        /// Left of a permit when its start is sent; the start may be sent again.
        Duration startReserve = milliseconds(900);
    };

    PermitCache(Tasks::PlacementService &service, TimerService &timers, EventLogger &logger,
                const Settings &settings, std::function<void(TimePoint)> permitsChanged);

    void clear();

    /// Bounds the request to workers with a permit, and notes what has to be asked for it.
    void restrictToPermitted(Tasks::StartRequest &request, const Tasks::PermitTerms &terms,
                             std::span<const Tasks::WorkerView> workers, Tasks::UnixMs wall,
                             TimePoint now);
    /// Sends the most urgent question that was noted, unless one is under way.
    void sendQuery(TimePoint now);

    /// Empty: none that is valid.
    std::string permitOf(const Tasks::StepRef &step, std::string_view worker, TimePoint now) const;
    /// A start with the permit was rejected.
    void discardPermit(const Tasks::StepRef &step, std::string_view worker);
    /// The step needs no permits any more.
    void removeJob(std::string_view job);

private:
    struct Permit
    {
        std::string text;
        std::int64_t incarnation = 0; ///< Of the worker; another life needs another permit.
        TimePoint validUntil{};
    };
    struct StepPermits
    {
        std::map<std::string, Permit, std::less<>> permits; ///< By worker.
        std::set<std::string, std::less<>> deniedWorkers; ///< Workers that may not run the step.
    };
    struct PermitQuery
    {
        Tasks::StepRef step;
        Tasks::PermitTerms terms;
        int rank = 0;
        Tasks::UnixMs objectiveAt = 0;
        std::vector<std::string> workers;
        std::map<std::string, std::int64_t> incarnations; ///< Of those workers, as asked.
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
    std::uint64_t generation = 0; ///< Answers to questions of an earlier one are ignored.
    bool queryInFlight = false;
    std::map<Tasks::StepRef, StepPermits> steps;
    std::optional<PermitQuery> nextQuery; ///< The most urgent one of this plan.
};

} // namespace Hibiscus::Coordination
