#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/GuaranteeBook.h>
#include <Policy/Scheduler.h>

#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// What a job beyond its customer's guarantee must leave untouched.
struct BorrowTerms
{
    bool mayUseBound = true; ///< Idle slots of cells that customers have bound.
    bool keepsIdleCells = false; ///< Unused guarantees have to fit into idle slots: no lending.
    bool keepsCells = false; ///< The job will never be asked to leave.
};

/// Finds idle slots for jobs beyond guarantees: the smallest idle cell that is large enough, for
/// gangs whole workers out of the racks that are broken up most. Never asks anybody to leave.
class BorrowPlanner
{
public:
    BorrowPlanner(FleetTable &fleet, const GuaranteeBook &book)
        : fleet(fleet)
        , book(book)
    {}

    /// Takes the slots for job index `job` and returns them; empty, with nothing changed, if there
    /// is no room. The result is valid until the next call.
    std::span<const Placement> place(const QueuedJob &spec, std::uint32_t job, Pool pool,
                                     const BorrowTerms &terms);
    /// The same on one worker.
    std::span<const Placement> placeOn(const QueuedJob &spec, std::uint32_t job, WorkerId worker,
                                       const BorrowTerms &terms);
    /// The same for a gang on the workers given, which have to be wholly idle.
    std::span<const Placement> placeGangOn(const QueuedJob &spec, std::uint32_t job,
                                           std::span<const WorkerId> workers,
                                           const BorrowTerms &terms);

private:
    bool placeSingle(const QueuedJob &spec, std::uint32_t job, Pool pool, Zone zone,
                     const BorrowTerms &terms);
    bool placeFrom(const WorkerSet &set, const QueuedJob &spec, std::uint32_t job, Zone zone,
                   const BorrowTerms &terms);
    /// Takes the slots only out of largest cells of that level.
    bool placeStrictly(const QueuedJob &spec, std::uint32_t job, Pool pool, CellLevel container,
                       const BorrowTerms &terms);
    bool tryWorker(const QueuedJob &spec, std::uint32_t job, WorkerId worker, SlotMask among,
                   const BorrowTerms &terms);
    SlotMask openSlots(WorkerId worker, Zone zone, const BorrowTerms &terms) const;
    bool placeGang(const QueuedJob &spec, std::uint32_t job, Zone zone, const BorrowTerms &terms);
    bool chooseRacks(const QueuedJob &spec, std::uint32_t parts, Zone zone);
    bool chooseOneRack(std::uint32_t parts, Zone zone);
    bool chooseNeighbors(std::uint32_t parts, Zone zone);
    bool chooseAnyRacks(std::uint32_t parts, Zone zone);
    /// Fills `result` with idle workers of the chosen racks; false if memory is lacking.
    bool fillGang(const QueuedJob &spec, std::uint32_t parts, Zone zone, const BorrowTerms &terms);
    /// Occupies `result`; undoes it all if that breaks the terms.
    bool take(const QueuedJob &spec, std::uint32_t job, const BorrowTerms &terms);

    FleetTable &fleet;
    const GuaranteeBook &book;
    std::vector<Placement> result;
    std::vector<std::uint32_t> chosenRacks;
};

} // namespace Hibiscus
