#pragma once

#include <Policy/ClassBudget.h>
#include <Policy/GuaranteeBindings.h>
#include <Policy/JobQueue.h>
#include <Policy/JobTable.h>
#include <Policy/ReclaimCost.h>
#include <Policy/Reclaimer.h>
#include <Policy/RunTimeModel.h>
#include <Policy/SchedulerSettings.h>
#include <Policy/WorkerHealth.h>

#include <vector>

namespace Hibiscus {

/// A worker's state as the platform reports it, independent of its health.
enum class Presence : std::uint8_t { Absent, Leaving, Present };

/// The state shared by the components of one scheduler. Not copyable, because its members refer to
/// each other.
struct SchedulerState
{
    explicit SchedulerState(const SchedulerSettings &newSettings)
        : settings(newSettings)
        , runTimes(newSettings.runTimes)
        , health(newSettings.health)
        , reclaimer(newSettings.reclaim)
    {}
    SchedulerState(const SchedulerState &) = delete;
    SchedulerState &operator=(const SchedulerState &) = delete;

    SchedulerSettings settings;
    FleetTable fleet;
    JobTable jobs;
    JobQueue queue;
    ClassBudget budget;
    GuaranteeBindings bindings{this->fleet};
    ReclaimCost cost{this->fleet, this->jobs};
    RunTimeModel runTimes;
    WorkerHealth health;
    Reclaimer reclaimer;

    std::vector<Presence> presence; ///< By worker.
    std::optional<Preset> preset;
    bool isClosed = false; ///< No new work starts in this data centre.
    std::size_t customerCount = 0;
    std::array<std::uint32_t, urgencyClassCount> running{}; ///< Jobs that hold cells, by class.
    std::uint32_t lentSlots = 0; ///< Held by jobs outside guarantees.

    bool isServing() const { return this->preset.has_value() && !this->isClosed; }
    bool isLending() const { return !this->preset || this->preset->lending; }
    const ClassLimits &limits(UrgencyClass urgency) const
    {
        return this->preset->classes[static_cast<std::size_t>(urgency)];
    }
};

} // namespace Hibiscus
