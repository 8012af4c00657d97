#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/GuaranteeBindings.h>
#include <Policy/Scheduler.h>

#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// What a job beyond its customer's guarantee must leave untouched.
struct BorrowConstraints
{
    bool mayUseBound = true; ///< Idle slots of cells that customers have bound.
    bool mustKeepIdleCells = false; ///< Unused guarantees have to fit into idle slots: no lending.
    bool mustKeepCells = false; ///< The job will never be asked to leave.
};

/// Finds idle slots for jobs beyond guarantees: the smallest idle cell that is large enough, for
/// gangs whole workers out of the racks that are broken up most. Never asks anybody to leave.
class BorrowPlanner
{
public:
    BorrowPlanner(FleetTable &fleet, const GuaranteeBindings &bindings)
        : fleet(fleet)
        , bindings(bindings)
    {}

    /// Takes the slots for job index `job` and returns them; empty, with nothing changed, if there
    /// is no room. The result is valid until the next call.
    std::span<const Placement> place(const QueuedJob &spec, std::uint32_t job, Pool pool,
                                     const BorrowConstraints &constraints);
    /// The same on one worker.
    std::span<const Placement> placeOn(const QueuedJob &spec, std::uint32_t job, WorkerId worker,
                                       const BorrowConstraints &constraints);
    /// The same for a gang on the workers given, which have to be wholly idle.
    std::span<const Placement> placeGangOn(const QueuedJob &spec, std::uint32_t job,
                                           std::span<const WorkerId> workers,
                                           const BorrowConstraints &constraints);

private:
    bool placeSingle(const QueuedJob &spec, std::uint32_t job, Pool pool, IdleScope scope,
                     const BorrowConstraints &constraints);
    bool placeFrom(const WorkerSet &set, const QueuedJob &spec, std::uint32_t job, IdleScope scope,
                   const BorrowConstraints &constraints);
    /// Takes the slots only out of largest cells of that level.
    bool placeInContainer(const QueuedJob &spec, std::uint32_t job, Pool pool, CellLevel container,
                          const BorrowConstraints &constraints);
    bool tryPlaceOn(const QueuedJob &spec, std::uint32_t job, WorkerId worker, SlotMask among,
                    const BorrowConstraints &constraints);
    SlotMask availableSlots(WorkerId worker, IdleScope scope,
                            const BorrowConstraints &constraints) const;
    bool placeGang(const QueuedJob &spec, std::uint32_t job, IdleScope scope,
                   const BorrowConstraints &constraints);
    bool chooseRacks(const QueuedJob &spec, std::uint32_t parts, IdleScope scope);
    bool chooseOneRack(std::uint32_t parts, IdleScope scope);
    bool chooseNeighboringRacks(std::uint32_t parts, IdleScope scope);
    bool chooseAnyRacks(std::uint32_t parts, IdleScope scope);
    /// Fills `result` with idle workers of the chosen racks; false if memory is lacking.
    bool fillGang(const QueuedJob &spec, std::uint32_t parts, IdleScope scope,
                  const BorrowConstraints &constraints);
    /// Occupies `result`; undoes it all if that breaks the terms.
    bool tryOccupy(const QueuedJob &spec, std::uint32_t job, const BorrowConstraints &constraints);

    FleetTable &fleet;
    const GuaranteeBindings &bindings;
    std::vector<Placement> result;
    std::vector<std::uint32_t> chosenRacks;
};

} // namespace Hibiscus
