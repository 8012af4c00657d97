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

/// Workers with and without accelerators form separate pools, which no placement mixes.
enum class Pool : std::uint8_t { CpuOnly, Accelerated };
inline constexpr std::size_t poolCount = 2;

/// The new work that a worker may receive.
enum class ServiceLevel : std::uint8_t {
    None, ///< Leaving, gone or ejected.
    Probe, ///< One task, to test whether the worker has recovered.
    Full,
};

/// The idle slots that a query considers.
enum class IdleScope : std::uint8_t {
    Unbound, ///< Idle slots outside every customer's guaranteed cells.
    All, ///< Idle slots anywhere.
};
inline constexpr std::size_t idleScopeCount = 2;

/// Marks a slot without a job.
inline constexpr std::uint32_t noJob = ~std::uint32_t(0);

/// One worker's row. Masks hold one bit per slot.
struct WorkerRow
{
    SlotMask occupied = 0; ///< Occupied by jobs.
    SlotMask held = 0; ///< Held for a claiming job until borrowers have released them.
    SlotMask bound = 0; ///< Inside a customer's bound guaranteed cell.
    /// Blocked, directly or by their share of the memory, by jobs outside any guarantee that are
    /// not preemptible.
    SlotMask pinned = 0;
    std::uint32_t memoryMiB = 0;
    std::uint32_t usedMemoryMiB = 0;
    std::uint32_t heldMemoryMiB = 0; ///< Held for claiming jobs.
    std::uint32_t rack = 0; ///< Index into the table's racks.
    std::uint16_t slots = 0;
    Pool pool = Pool::CpuOnly;
    ServiceLevel service = ServiceLevel::None;
    bool isIndexed = false; ///< Counted in the table's indexes and totals.
    /// Reserved for a waiting job; other jobs start here only as backfill.
    bool isReserved = false;

    /// Slots out of which unbound guarantees can be cut.
    SlotMask reclaimable() const { return this->full() & ~this->bound & ~this->pinned; }
    SlotMask full() const { return lowSlots(this->slots); }
    SlotMask idle() const { return this->full() & ~this->occupied & ~this->held; }
    /// Negative while held memory is still used by borrowers.
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
    std::uint32_t standardWorkers = 0; ///< Workers of the shape's size in full service.
    /// Workers of the shape's size that may get work and are entirely idle, by scope.
    std::array<std::uint32_t, idleScopeCount> idleWorkers{};
};

/// The workers of one data centre, their slots and the jobs that occupy them, with an index by the
/// largest idle aligned cell. Every change keeps the index and both cell inventories up to date;
/// only `setDescription` allocates.
class FleetTable
{
public:
    /// Adds a worker or changes its description, and sets its service level to None. Jobs that
    /// still hold slots of a changed worker release them as usual.
    void setDescription(WorkerId worker, const WorkerDescription &description);
    void setService(WorkerId worker, ServiceLevel service);
    void setReserved(WorkerId worker, bool isReserved);

    void occupy(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB, std::uint32_t job);
    void release(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB);
    void hold(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB);
    void releaseHold(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB);
    void bind(WorkerId worker, SlotMask slots);
    void unbind(WorkerId worker, SlotMask slots);
    /// Pins the slots that `job` occupies, and as many further slots as correspond to its memory,
    /// so that the remaining slots of the worker keep their share of the memory. Returns false,
    /// with as many slots pinned as possible, if not enough lie outside bound cells.
    bool pin(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB, std::uint32_t job);
    /// Unpins all slots that were pinned for `job` on the worker.
    void unpin(WorkerId worker, std::uint32_t job);

    /// True if `setDescription` with this description would change nothing.
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

    /// Workers that may get work, by the order of their largest idle cell.
    const WorkerSet &workersWithIdleOrder(Pool pool, IdleScope scope, unsigned order) const
    {
        return this->workersByIdleOrder[static_cast<std::size_t>(pool)]
                                       [static_cast<std::size_t>(scope)][order];
    }
    /// Workers that may get work and are entirely idle, if their slot count is not a power of two.
    const WorkerSet &idleNonPowerOfTwo(Pool pool, IdleScope scope) const
    {
        return this->nonPowerOfTwo[static_cast<std::size_t>(pool)][static_cast<std::size_t>(scope)];
    }
    const WorkerSet &probes() const { return this->probeSet; }
    const WorkerSet &reserved() const { return this->reservedSet; }
    /// True if the worker is of the shape's size, in full service and entirely idle in that scope.
    bool isIdleWorker(WorkerId worker, IdleScope scope) const;

    /// Guarantees are cut from accelerated workers, or from CPU-only workers if there are no
    /// others.
    Pool guaranteePool() const { return this->cellPool; }
    const CellShape &shape() const { return this->cellShape; }
    /// Slots outside bound cells and not pinned, idle or not: unbound guarantees can be cut out of
    /// these.
    const CellInventory &reclaimable() const { return this->unboundCells; }
    /// The idle slots among the reclaimable slots.
    const CellInventory &idleCells() const { return this->unboundIdleCells; }

    std::uint32_t slots(Pool pool) const
    {
        return this->slotTotals[static_cast<std::size_t>(pool)];
    }
    /// Idle slots of workers that are not reserved.
    std::uint32_t idleSlots(Pool pool) const
    {
        return this->idleTotals[static_cast<std::size_t>(pool)];
    }
    /// A slot's share of the memory of a worker of the shape's size; 0 if there is no such worker.
    std::uint32_t memoryPerSlotMiB() const { return this->slotMemory; }
    std::uint32_t fullServiceWorkers() const { return this->fullService; }
    /// Increases with every change after which a job may fit that did not fit before.
    std::uint64_t capacityEpoch() const { return this->capacityChanges; }
    /// Increases with every change to descriptions or service levels.
    std::uint64_t serviceEpoch() const { return this->serviceChanges; }

private:
    void grow(std::size_t workers);
    std::uint32_t findOrAddRack(std::uint32_t number);
    void removeFromRack(WorkerId worker);
    bool isStandard(const WorkerRow &row) const;
    /// Recomputes the shape after a change to a worker of the rack.
    void updateShape(std::uint32_t rack);
    void rebuild(Pool pool, std::uint16_t workerSlots);
    void setRackCellSize(std::uint32_t rackWorkers);
    std::uint16_t largestSlots(Pool pool) const;
    /// Removes the worker from all indexes and totals; `addToIndexes` adds it in its new state.
    void removeFromIndexes(WorkerId worker);
    void addToIndexes(WorkerId worker);
    void addToScopeIndex(WorkerId worker, IdleScope scope);
    void setIdleWorker(WorkerId worker, IdleScope scope, bool isMember);
    void updateInventories(WorkerId worker);
    template <class Change>
    void updateRow(WorkerId worker, Change apply);

    std::vector<WorkerRow> rows;
    std::vector<std::uint32_t> slotJobs;
    std::vector<std::uint32_t> pinnedJobs; ///< Like slotJobs, for pinned slots.
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
