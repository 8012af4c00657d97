#pragma once

#include <Coordination/Journal.h>
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
class PermitBook
{
public:
    struct Settings
    {
        std::size_t mostAsked = 30; ///< Workers of one question: its answer takes longer for each.
        Duration answerSlack = milliseconds(700);
        Duration retry = milliseconds(300);
        /// Left of a permit when its start is sent; the start may be sent again.
        Duration startReserve = milliseconds(900);
    };

    PermitBook(Tasks::PlacementService &service, TimerService &timers, Journal &journal,
               const Settings &settings, std::function<void(TimePoint)> changed);

    void clear();

    /// Bounds the request to workers with a permit, and notes what has to be asked for it.
    void restrict(Tasks::StartRequest &request, const Tasks::PermitTerms &terms,
                  std::span<const Tasks::WorkerView> workers, Tasks::UnixMs wall, TimePoint now);
    /// Sends the most urgent question that was noted, unless one is under way.
    void ask(TimePoint now);

    /// Empty: none that is valid.
    std::string permitOf(const Tasks::StepRef &step, std::string_view worker, TimePoint now) const;
    /// A start with the permit was rejected.
    void drop(const Tasks::StepRef &step, std::string_view worker);
    /// The step needs no permits any more.
    void forget(std::string_view job);

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
        std::set<std::string, std::less<>> barred; ///< Workers that may not run the step.
    };
    struct Question
    {
        Tasks::StepRef step;
        Tasks::PermitTerms terms;
        int rank = 0;
        Tasks::UnixMs objectiveAt = 0;
        std::vector<std::string> workers;
        std::map<std::string, std::int64_t> incarnations; ///< Of those workers, as asked.
    };

    bool isValid(const Permit &permit, TimePoint now) const;
    Question describe(const Tasks::StartRequest &request, const Tasks::PermitTerms &terms,
                      std::span<const Tasks::WorkerView> workers,
                      std::span<const std::size_t> candidates, Tasks::UnixMs wall) const;
    void answered(const Question &question, const Tasks::PlacementAnswer &answer, TimePoint sentAt,
                  TimePoint now);

    Tasks::PlacementService &service;
    TimerService &timers;
    Journal &journal;
    Settings settings;
    std::function<void(TimePoint)> changed;
    std::uint64_t generation = 0; ///< Answers to questions of an earlier one are ignored.
    bool asking = false;
    std::map<Tasks::StepRef, StepPermits> steps;
    std::optional<Question> next; ///< The most urgent one of this plan.
};

} // namespace Hibiscus::Coordination
