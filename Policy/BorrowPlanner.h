#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/GuaranteeBindings.h>
#include <Policy/Scheduler.h>

#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// Capacity that a job outside its customer's guarantee must leave untouched.
struct BorrowConstraints
{
    bool mayUseBound = true; ///< May take idle slots of bound cells.
    /// Unbound guarantees must still fit into idle slots, because lending is off.
    bool mustKeepIdleCells = false;
    /// Unbound guarantees must still fit, because the job is not preemptible.
    bool mustKeepCells = false;
};

/// Finds idle slots for jobs outside their customers' guarantees: the smallest idle cell that is
/// large enough, and for gangs whole workers from the most fragmented racks. Never preempts a job.
class BorrowPlanner
{
public:
    BorrowPlanner(FleetTable &fleet, const GuaranteeBindings &bindings)
        : fleet(fleet)
        , bindings(bindings)
    {}

    /// Occupies the slots for the job with index `job` and returns them. Returns an empty span and
    /// changes nothing if no slots fit. The result is valid until the next call.
    std::span<const Placement> place(const QueuedJob &spec, std::uint32_t job, Pool pool,
                                     const BorrowConstraints &constraints);
    /// Like `place`, restricted to one worker.
    std::span<const Placement> placeOn(const QueuedJob &spec, std::uint32_t job, WorkerId worker,
                                       const BorrowConstraints &constraints);
    /// Like `place`, for a gang on the given workers, all of which must be entirely idle.
    std::span<const Placement> placeGangOn(const QueuedJob &spec, std::uint32_t job,
                                           std::span<const WorkerId> workers,
                                           const BorrowConstraints &constraints);

private:
    bool placeSingle(const QueuedJob &spec, std::uint32_t job, Pool pool, IdleScope scope,
                     const BorrowConstraints &constraints);
    bool placeFrom(const WorkerSet &set, const QueuedJob &spec, std::uint32_t job, IdleScope scope,
                   const BorrowConstraints &constraints);
    /// Occupies slots only within largest cells of level `container`.
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
    /// Fills `result` with idle workers of the chosen racks. Returns false if too few of them have
    /// enough memory.
    bool fillGang(const QueuedJob &spec, std::uint32_t parts, IdleScope scope,
                  const BorrowConstraints &constraints);
    /// Occupies the placements in `result`, and rolls all of them back if that violates the
    /// constraints.
    bool tryOccupy(const QueuedJob &spec, std::uint32_t job, const BorrowConstraints &constraints);

    FleetTable &fleet;
    const GuaranteeBindings &bindings;
    std::vector<Placement> result;
    std::vector<std::uint32_t> chosenRacks;
};

} // namespace Hibiscus
