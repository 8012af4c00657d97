#pragma once

#include <Policy/GangPlanner.h>
#include <Policy/GuaranteeBindings.h>
#include <Policy/GuaranteePlan.h>
#include <Policy/ReclaimCost.h>

#include <optional>
#include <vector>

namespace Hibiscus {

/// Places a job inside its customer's guarantee: in an already bound cell, else in a newly bound
/// one. Prefers idle slots, then slots whose borrowers are cheapest to preempt.
class GuaranteePlanner
{
public:
    GuaranteePlanner(FleetTable &fleet, GuaranteeBindings &bindings, const ReclaimCost &cost)
        : fleet(fleet)
        , bindings(bindings)
        , cost(cost)
        , gangPlanner(fleet, bindings, cost)
    {}

    /// Returns true if the job fits; its cells are then bound and marked used, and `plan` is
    /// filled. Otherwise nothing changes.
    bool plan(const QueuedJob &job, GuaranteePlan &plan);

    /// True if the customer has an unbound cell that could hold the job.
    bool hasUnboundCellFor(const QueuedJob &job) const;

    /// Charges a running job to its customer's guarantee on the slots where it runs. The job must
    /// not be pinned there.
    bool planInPlace(const QueuedJob &job, std::span<const Placement> placements);

private:
    /// A possible placement of a job on one worker.
    struct Choice
    {
        WorkerId worker;
        SlotMask slots = 0;
        /// The bound cell to use; `noCell` if `cellSlots` is to be bound at `level`.
        std::uint32_t cell = GuaranteeBindings::noCell;
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
    /// The cheapest placement on the worker in a new cell that is cut out of a largest cell of
    /// level `container`, if there is one.
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
