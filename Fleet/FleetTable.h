#pragma once

#include <Fleet/CellInventory.h>
#include <Fleet/SlotMasks.h>
#include <Fleet/Worker.h>
#include <Fleet/WorkerSet.h>

#include <array>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// Workers with accelerators and those without are never mixed in one decision.
enum class Pool : std::uint8_t { CpuOnly, Accelerated };
inline constexpr std::size_t poolCount = 2;

/// What new work a worker may get.
enum class ServiceLevel : std::uint8_t {
    None, ///< Leaving, gone or ejected.
    Probe, ///< One task, to see whether the worker is well again.
    Full,
};

/// Whose idle slots are looked at.
enum class IdleScope : std::uint8_t {
    Unbound, ///< Idle slots outside every customer's guaranteed cells.
    All, ///< Idle slots anywhere.
};
inline constexpr std::size_t idleScopeCount = 2;

/// Marks a slot that no job holds.
inline constexpr std::uint32_t noJob = ~std::uint32_t(0);

/// One worker's row. Masks hold one bit a slot.
struct WorkerRow
{
    SlotMask occupied = 0; ///< Held by jobs.
    SlotMask held = 0; ///< Kept for a job that waits until others have left.
    SlotMask bound = 0; ///< Inside a customer's bound guaranteed cell.
    /// Held, or their memory is, by jobs beyond any guarantee that are never asked to leave.
    SlotMask pinned = 0;
    std::uint32_t memoryMiB = 0;
    std::uint32_t usedMemoryMiB = 0;
    std::uint32_t heldMemoryMiB = 0; ///< For the jobs that slots are held for.
    std::uint32_t rack = 0; ///< Index into the table's racks.
    std::uint16_t slots = 0;
    Pool pool = Pool::CpuOnly;
    ServiceLevel service = ServiceLevel::None;
    bool isIndexed = false; ///< Counted in the table's indexes and totals.
    bool isReserved = false; ///< Kept for a gang; only short jobs may still start here.

    /// Slots out of which unused guarantees can be cut.
    SlotMask reclaimable() const { return this->full() & ~this->bound & ~this->pinned; }
    SlotMask full() const { return lowSlots(this->slots); }
    SlotMask idle() const { return this->full() & ~this->occupied & ~this->held; }
    /// Below zero while memory is held that others still use.
    std::int64_t idleMemoryMiB() const
    {
        return std::int64_t(this->memoryMiB) - this->usedMemoryMiB - this->heldMemoryMiB;
    }
};

/// One rack of the table.
struct RackRow
{
    std::uint32_t number = 0; ///< As the platform's list states it.
    std::vector<WorkerId> workers;
    std::uint32_t standardWorkers = 0; ///< Of the shape's size and in full service.
    /// Workers of the shape's size that may get work and are wholly idle, for each zone.
    std::array<std::uint32_t, idleScopeCount> idleWorkers{};
};

/// The workers of one data centre, their slots and what occupies them, with an index by the largest
/// idle aligned cell. Every change keeps the index and both censuses up to date; no change
/// allocates but `describe`.
class FleetTable
{
public:
    /// Adds a worker or changes its description; its service is None afterwards. Jobs that still
    /// hold slots of a changed worker release them as before.
    void setDescription(WorkerId worker, const WorkerDescription &description);
    void setService(WorkerId worker, ServiceLevel service);
    void setReserved(WorkerId worker, bool isReserved);

    void occupy(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB, std::uint32_t job);
    void release(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB);
    void hold(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB);
    void releaseHold(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB);
    void bind(WorkerId worker, SlotMask slots);
    void unbind(WorkerId worker, SlotMask slots);
    /// Counts the slots that `job` occupies as held for good, and as many more as its memory is
    /// worth, so that what is left of the worker keeps its part of the memory. False, with as
    /// many fixed as there are, if not enough lie outside bound cells.
    bool pin(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB, std::uint32_t job);
    /// Ends that for all that was fixed for `job` on the worker.
    void unpin(WorkerId worker, std::uint32_t job);

    /// True if describing the worker so would change nothing here.
    bool hasDescription(WorkerId worker, const WorkerDescription &description) const;
    bool isKnown(WorkerId worker) const { return worker.value < this->rows.size(); }
    std::size_t workerCount() const { return this->rows.size(); }
    const WorkerRow &row(WorkerId worker) const { return this->rows[worker.value]; }
    std::span<const RackRow> racks() const { return this->rackRows; }
    /// The index of the rack whose number is one higher, if there is one.
    std::optional<std::uint32_t> nextRack(std::uint32_t rack) const;
    /// Racks in the order of their numbers.
    std::span<const std::uint32_t> racksByNumber() const { return this->rackOrder; }
    /// The job in one slot, or noJob.
    std::uint32_t jobAt(WorkerId worker, unsigned slot) const
    {
        return this->slotJobs[worker.value * maxSlots + slot];
    }

    /// Workers that may get work and whose largest idle cell has that order.
    const WorkerSet &workersWithIdleOrder(Pool pool, IdleScope scope, unsigned order) const
    {
        return this->workersByIdleOrder[static_cast<std::size_t>(pool)]
                                       [static_cast<std::size_t>(scope)][order];
    }
    /// Workers that may get work and are wholly idle, if their size is no power of two.
    const WorkerSet &idleNonPowerOfTwo(Pool pool, IdleScope scope) const
    {
        return this->nonPowerOfTwo[static_cast<std::size_t>(pool)][static_cast<std::size_t>(scope)];
    }
    const WorkerSet &probes() const { return this->probeSet; }
    const WorkerSet &reserved() const { return this->reservedSet; }
    /// True if the worker is of the shape's size, in full service and idle in that zone.
    bool isIdleWorker(WorkerId worker, IdleScope scope) const;

    /// Guarantees are cut from accelerated workers, or from plain ones if there are no others.
    Pool guaranteePool() const { return this->cellPool; }
    const CellShape &shape() const { return this->cellShape; }
    /// Slots outside bound cells, idle or not: what unused guarantees can be cut out of.
    const CellInventory &reclaimable() const { return this->unboundCells; }
    /// The same, only what is idle.
    const CellInventory &idleCells() const { return this->unboundIdleCells; }

    std::uint32_t slots(Pool pool) const
    {
        return this->slotTotals[static_cast<std::size_t>(pool)];
    }
    /// Idle slots of workers that aren't reserved.
    std::uint32_t idleSlots(Pool pool) const
    {
        return this->idleTotals[static_cast<std::size_t>(pool)];
    }
    /// A slot's part of the memory of a worker of the shape's size; 0 if there is none.
    std::uint32_t memoryPerSlotMiB() const { return this->slotMemory; }
    std::uint32_t fullServiceWorkers() const { return this->fullService; }
    /// Grows with every change after which a job may fit that did not fit before.
    std::uint64_t capacityEpoch() const { return this->capacityChanges; }
    /// Grows with every change to descriptions or service.
    std::uint64_t serviceEpoch() const { return this->serviceChanges; }

private:
    void grow(std::size_t workers);
    std::uint32_t findOrAddRack(std::uint32_t number);
    void removeFromRack(WorkerId worker);
    bool isStandard(const WorkerRow &row) const;
    /// Workers of `worker`'s rack or the worker itself changed: takes a new shape if need be.
    void updateShape(std::uint32_t rack);
    void rebuild(Pool pool, std::uint16_t workerSlots);
    void setRackCellSize(std::uint32_t rackWorkers);
    std::uint16_t largestSlots(Pool pool) const;
    /// Takes the worker out of all indexes and totals; `enter` puts it back as it is then.
    void removeFromIndexes(WorkerId worker);
    void addToIndexes(WorkerId worker);
    void addToScopeIndex(WorkerId worker, IdleScope scope);
    void setIdleWorker(WorkerId worker, IdleScope scope, bool isMember);
    void updateInventories(WorkerId worker);
    template <class Change>
    void updateRow(WorkerId worker, Change apply);

    std::vector<WorkerRow> rows;
    std::vector<std::uint32_t> slotJobs;
    std::vector<std::uint32_t> pinnedJobs; ///< Like slotJobs, for fixed slots.
    std::vector<std::array<std::int8_t, idleScopeCount>> indexedOrder;
    std::vector<RackRow> rackRows;
    std::map<std::uint32_t, std::uint32_t> rackByNumber;
    std::vector<std::uint32_t> rackOrder;
    std::array<std::array<std::array<WorkerSet, cellOrderCount>, idleScopeCount>, poolCount>
        workersByIdleOrder;
    std::array<std::array<WorkerSet, idleScopeCount>, poolCount> nonPowerOfTwo;
    std::array<WorkerSet, idleScopeCount> idleWhole;
    WorkerSet probeSet;
    WorkerSet reservedSet;
    CellInventory unboundCells;
    CellInventory unboundIdleCells;
    CellShape cellShape;
    Pool cellPool = Pool::CpuOnly;
    std::array<std::uint32_t, poolCount> slotTotals{};
    std::array<std::uint32_t, poolCount> idleTotals{};
    std::array<std::array<std::uint32_t, maxSlots + 1>, poolCount> workersOfSize{};
    std::uint32_t slotMemory = 0;
    std::uint32_t fullService = 0;
    std::uint64_t capacityChanges = 0;
    std::uint64_t serviceChanges = 0;
};

} // namespace Hibiscus
