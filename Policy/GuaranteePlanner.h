#pragma once

#include <Policy/GangPlanner.h>
#include <Policy/GuaranteeBindings.h>
#include <Policy/GuaranteePlan.h>
#include <Policy/ReclaimCost.h>

#include <optional>
#include <vector>

namespace Hibiscus {

/// Finds room for a job inside its customer's guarantee: in cells already bound, else by binding
/// one more; idle slots first, else those whose borrowers are the cheapest to ask to leave.
class GuaranteePlanner
{
public:
    GuaranteePlanner(FleetTable &fleet, GuaranteeBindings &bindings, const ReclaimCost &cost)
        : fleet(fleet)
        , bindings(bindings)
        , cost(cost)
        , gangPlanner(fleet, bindings, cost)
    {}

    /// True if the job fitted: its cells are bound and in use, and `plan` is filled.
    /// Otherwise nothing has changed.
    bool plan(const QueuedJob &job, GuaranteePlan &plan);

    /// True if the customer has a cell that isn't bound and could hold the job.
    bool hasUnboundCellFor(const QueuedJob &job) const;

    /// Charges a job that already runs to its customer's guarantee, where it is.
    /// It must not be fixed there.
    bool planInPlace(const QueuedJob &job, std::span<const Placement> placements);

private:
    /// A choice for a job on one worker.
    struct Choice
    {
        WorkerId worker;
        SlotMask slots = 0;
        std::uint32_t cell = GuaranteeBindings::noCell; ///< Bound already, else to be bound:
        CellLevel level = CellLevel::Slot;
        SlotMask cellSlots = 0;
        double cost = 0;
    };

    bool planSingle(const QueuedJob &job, GuaranteePlan &plan);
    std::optional<Choice> idleInOwnCell(const QueuedJob &job) const;
    std::optional<Choice> cheapestInOwnCell(const QueuedJob &job) const;
    std::optional<Choice> cheapestInCell(const QueuedJob &job, std::uint32_t cell) const;
    bool fitsUnboundCell(const QueuedJob &job, CellLevel level) const;
    bool planIdleNewCell(const QueuedJob &job, CellLevel level, GuaranteePlan &plan);
    bool planIdleAmong(const WorkerSet &set, const QueuedJob &job, CellLevel level,
                       CellLevel container, GuaranteePlan &plan);
    std::optional<Choice> cheapestNewCell(const QueuedJob &job, CellLevel level,
                                          CellLevel container) const;
    bool planCheapestNewCell(const QueuedJob &job, CellLevel level, const Choice *bestOwn,
                             GuaranteePlan &plan);
    /// The cheapest place on one worker in a new cell that is cut out of a largest cell of level
    /// `container`, if there is one.
    std::optional<Choice> cheapestNewCellOn(const QueuedJob &job, CellLevel level,
                                            CellLevel container, WorkerId worker) const;
    std::optional<Choice> cheapestSlots(const QueuedJob &job, WorkerId worker,
                                        SlotMask cellSlots) const;
    bool commit(const QueuedJob &job, const Choice &choice, GuaranteePlan &plan);
    bool chargeInPlace(const QueuedJob &job, const Placement &part);
    std::optional<std::uint32_t> bindCellAround(const QueuedJob &job, const Placement &part);

    FleetTable &fleet;
    GuaranteeBindings &bindings;
    const ReclaimCost &cost;
    GangPlanner gangPlanner;
};

} // namespace Hibiscus
