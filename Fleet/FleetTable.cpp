#include <Fleet/FleetTable.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

constexpr std::array<IdleScope, idleScopeCount> idleScopes{IdleScope::Unbound, IdleScope::All};

std::size_t at(Pool pool)
{
    return static_cast<std::size_t>(pool);
}

std::size_t at(IdleScope scope)
{
    return static_cast<std::size_t>(scope);
}

SlotMask idleIn(const WorkerRow &row, IdleScope scope)
{
    return scope == IdleScope::All ? row.idle() : row.idle() & ~row.bound;
}

} // namespace

void FleetTable::setDescription(WorkerId worker, const WorkerDescription &description)
{
    this->grow(worker.value + 1);
    this->removeFromIndexes(worker);
    this->removeFromRack(worker);
    WorkerRow &row = this->rows[worker.value];
    row.service = ServiceLevel::None;
    row.slots = std::min(description.slots, maxSlots);
    row.pool = description.accelerators != 0 ? Pool::Accelerated : Pool::CpuOnly;
    row.memoryMiB = std::max(description.memoryMiB, row.usedMemoryMiB);
    row.rack = this->findOrAddRack(description.rack);
    this->rackRows[row.rack].workers.push_back(worker);
    ++this->workersOfSize[at(row.pool)][row.slots];
    ++this->serviceChanges;
    this->updateShape(row.rack);
    if (this->isStandard(row))
        this->slotMemory = row.memoryMiB / row.slots;
    this->addToIndexes(worker);
}

bool FleetTable::hasDescription(WorkerId worker, const WorkerDescription &description) const
{
    const WorkerRow &row = this->rows[worker.value];
    const Pool pool = description.accelerators != 0 ? Pool::Accelerated : Pool::CpuOnly;
    return row.slots == std::min(description.slots, maxSlots) && row.pool == pool
        && row.memoryMiB == description.memoryMiB
        && this->rackRows[row.rack].number == description.rack;
}

void FleetTable::grow(std::size_t workers)
{
    if (workers <= this->rows.size())
        return;
    this->rows.resize(workers);
    this->slotJobs.resize(workers * maxSlots, noJob);
    this->pinnedJobs.resize(workers * maxSlots, noJob);
    this->indexedOrder.resize(workers, {-1, -1});
    for (auto &poolIndex : this->workersByIdleOrder)
        for (auto &scopeIndex : poolIndex)
            for (WorkerSet &set : scopeIndex)
                set.resize(workers);
    for (auto &poolSets : this->nonPowerOfTwo)
        for (WorkerSet &set : poolSets)
            set.resize(workers);
    for (WorkerSet &set : this->idleWhole)
        set.resize(workers);
    this->probeSet.resize(workers);
    this->reservedSet.resize(workers);
    this->unboundCells.resize(workers, this->rackRows.size());
    this->unboundIdleCells.resize(workers, this->rackRows.size());
}

std::uint32_t FleetTable::findOrAddRack(std::uint32_t number)
{
    const auto next = static_cast<std::uint32_t>(this->rackRows.size());
    const auto [entry, isNew] = this->rackByNumber.try_emplace(number, next);
    if (!isNew)
        return entry->second;
    this->rackRows.push_back({.number = number});
    const auto position = std::lower_bound(this->rackOrder.begin(), this->rackOrder.end(), number,
                                           [this](std::uint32_t rack, std::uint32_t wanted) {
                                               return this->rackRows[rack].number < wanted;
                                           });
    this->rackOrder.insert(position, next);
    this->unboundCells.resize(this->rows.size(), this->rackRows.size());
    this->unboundIdleCells.resize(this->rows.size(), this->rackRows.size());
    return next;
}

void FleetTable::removeFromRack(WorkerId worker)
{
    const WorkerRow &row = this->rows[worker.value];
    if (row.slots == 0)
        return;
    RackRow &rack = this->rackRows[row.rack];
    std::erase(rack.workers, worker);
    rack.standardWorkers -= this->isStandard(row) && row.service == ServiceLevel::Full;
    --this->workersOfSize[at(row.pool)][row.slots];
    this->unboundCells.set(worker, row.rack, row.slots, 0);
    this->unboundIdleCells.set(worker, row.rack, row.slots, 0);
}

std::optional<std::uint32_t> FleetTable::nextRack(std::uint32_t rack) const
{
    const auto found = this->rackByNumber.find(this->rackRows[rack].number + 1);
    if (found == this->rackByNumber.end())
        return std::nullopt;
    return found->second;
}

bool FleetTable::isStandard(const WorkerRow &row) const
{
    return row.pool == this->cellPool && row.slots == this->cellShape.workerSlots;
}

std::uint16_t FleetTable::largestSlots(Pool pool) const
{
    const auto &counts = this->workersOfSize[at(pool)];
    for (std::uint16_t slots = maxSlots; slots > 0; --slots) {
        if (counts[slots] != 0)
            return slots;
    }
    return 0;
}

void FleetTable::updateShape(std::uint32_t rack)
{
    const bool hasAccelerators = this->largestSlots(Pool::Accelerated) != 0;
    const Pool pool = hasAccelerators ? Pool::Accelerated : Pool::CpuOnly;
    const std::uint16_t workerSlots = this->largestSlots(pool);
    if (pool != this->cellPool || workerSlots != this->cellShape.workerSlots)
        this->rebuild(pool, workerSlots);
    // The rack cell size never shrinks when racks lose workers; a guaranteed rack would otherwise
    // shrink unnoticed.
    if (this->rackRows[rack].standardWorkers > this->cellShape.rackWorkers)
        this->setRackCellSize(this->rackRows[rack].standardWorkers);
}

void FleetTable::rebuild(Pool pool, std::uint16_t workerSlots)
{
    for (std::uint32_t worker = 0; worker < this->rows.size(); ++worker)
        this->removeFromIndexes({worker});
    this->cellPool = pool;
    this->cellShape = {.workerSlots = workerSlots, .rackWorkers = 0};
    for (RackRow &rack : this->rackRows)
        rack.standardWorkers = 0;
    for (const WorkerRow &row : this->rows) {
        if (row.slots == 0)
            continue;
        RackRow &rack = this->rackRows[row.rack];
        rack.standardWorkers += this->isStandard(row) && row.service == ServiceLevel::Full;
    }
    for (const RackRow &rack : this->rackRows)
        this->cellShape.rackWorkers = std::max(this->cellShape.rackWorkers, rack.standardWorkers);
    this->setRackCellSize(this->cellShape.rackWorkers);
    for (std::uint32_t worker = 0; worker < this->rows.size(); ++worker)
        this->addToIndexes({worker});
}

void FleetTable::setRackCellSize(std::uint32_t rackWorkers)
{
    this->cellShape.rackWorkers = rackWorkers;
    this->unboundCells.reset(this->cellShape, this->rows.size(), this->rackRows.size());
    this->unboundIdleCells.reset(this->cellShape, this->rows.size(), this->rackRows.size());
    for (std::uint32_t worker = 0; worker < this->rows.size(); ++worker)
        this->updateInventories({worker});
}

void FleetTable::setService(WorkerId worker, ServiceLevel service)
{
    WorkerRow &row = this->rows[worker.value];
    if (row.service == service)
        return;
    this->removeFromIndexes(worker);
    RackRow &rack = this->rackRows[row.rack];
    if (this->isStandard(row))
        rack.standardWorkers -= row.service == ServiceLevel::Full;
    row.service = service;
    if (this->isStandard(row))
        rack.standardWorkers += row.service == ServiceLevel::Full;
    ++this->serviceChanges;
    ++this->capacityChanges;
    this->updateShape(row.rack);
    this->addToIndexes(worker);
}

template <class Change>
void FleetTable::updateRow(WorkerId worker, Change apply)
{
    assert(this->isKnown(worker));
    this->removeFromIndexes(worker);
    apply(this->rows[worker.value]);
    this->addToIndexes(worker);
}

void FleetTable::setReserved(WorkerId worker, bool isReserved)
{
    this->updateRow(worker, [&](WorkerRow &row) { row.isReserved = isReserved; });
    this->reservedSet.assign(worker, isReserved);
    this->capacityChanges += !isReserved;
}

void FleetTable::occupy(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB, std::uint32_t job)
{
    assert((this->rows[worker.value].occupied & slots) == 0);
    this->updateRow(worker, [&](WorkerRow &row) {
        row.occupied |= slots;
        row.usedMemoryMiB += memoryMiB;
    });
    for (SlotMask rest = slots; rest != 0; rest &= rest - 1)
        this->slotJobs[worker.value * maxSlots + std::countr_zero(rest)] = job;
}

void FleetTable::release(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB)
{
    assert((this->rows[worker.value].occupied & slots) == slots);
    this->updateRow(worker, [&](WorkerRow &row) {
        row.occupied &= ~slots;
        row.usedMemoryMiB -= memoryMiB;
    });
    for (SlotMask rest = slots; rest != 0; rest &= rest - 1)
        this->slotJobs[worker.value * maxSlots + std::countr_zero(rest)] = noJob;
    ++this->capacityChanges;
}

void FleetTable::hold(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB)
{
    assert((this->rows[worker.value].held & slots) == 0);
    this->updateRow(worker, [&](WorkerRow &row) {
        row.held |= slots;
        row.heldMemoryMiB += memoryMiB;
    });
}

void FleetTable::releaseHold(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB)
{
    assert((this->rows[worker.value].held & slots) == slots);
    this->updateRow(worker, [&](WorkerRow &row) {
        row.held &= ~slots;
        row.heldMemoryMiB -= memoryMiB;
    });
    ++this->capacityChanges;
}

void FleetTable::bind(WorkerId worker, SlotMask slots)
{
    assert((this->rows[worker.value].bound & slots) == 0);
    this->updateRow(worker, [&](WorkerRow &row) { row.bound |= slots; });
}

void FleetTable::unbind(WorkerId worker, SlotMask slots)
{
    assert((this->rows[worker.value].bound & slots) == slots);
    this->updateRow(worker, [&](WorkerRow &row) { row.bound &= ~slots; });
    ++this->capacityChanges;
}

bool FleetTable::pin(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB, std::uint32_t job)
{
    const WorkerRow &row = this->rows[worker.value];
    const std::uint64_t memory = std::max<std::uint32_t>(row.memoryMiB, 1);
    const auto memorySlots
        = static_cast<unsigned>((std::uint64_t(memoryMiB) * row.slots + memory - 1) / memory);
    SlotMask pinnedSlots = slots;
    // Adds slots from the smallest aligned cells around the job, so that no larger cell is broken
    // up.
    const unsigned firstSlot = std::countr_zero(slots);
    for (unsigned order = 0; order < cellOrderCount; ++order) {
        const SlotMask cell = lowSlots(1U << order) << (firstSlot & ~((1U << order) - 1));
        SlotMask extraSlots = cell & row.full() & ~row.bound & ~row.pinned & ~pinnedSlots;
        for (; extraSlots != 0 && std::popcount(pinnedSlots) < static_cast<int>(memorySlots);
             extraSlots &= extraSlots - 1)
            pinnedSlots |= extraSlots & (~extraSlots + 1);
    }
    const bool isEnough = std::popcount(pinnedSlots) >= static_cast<int>(memorySlots);
    for (SlotMask rest = pinnedSlots; rest != 0; rest &= rest - 1)
        this->pinnedJobs[worker.value * maxSlots + std::countr_zero(rest)] = job;
    this->updateRow(worker, [&](WorkerRow &changed) { changed.pinned |= pinnedSlots; });
    return isEnough;
}

void FleetTable::unpin(WorkerId worker, std::uint32_t job)
{
    SlotMask slots = 0;
    for (SlotMask rest = this->rows[worker.value].pinned; rest != 0; rest &= rest - 1) {
        const unsigned slot = std::countr_zero(rest);
        std::uint32_t &pinnedJob = this->pinnedJobs[worker.value * maxSlots + slot];
        if (pinnedJob != job)
            continue;
        pinnedJob = noJob;
        slots |= SlotMask(1) << slot;
    }
    this->updateRow(worker, [&](WorkerRow &row) { row.pinned &= ~slots; });
    ++this->capacityChanges;
}

bool FleetTable::isIdleWorker(WorkerId worker, IdleScope scope) const
{
    return this->idleWhole[at(scope)].contains(worker);
}

void FleetTable::removeFromIndexes(WorkerId worker)
{
    WorkerRow &row = this->rows[worker.value];
    if (!row.isIndexed)
        return;
    row.isIndexed = false;
    if (row.service == ServiceLevel::Full) {
        --this->fullService;
        this->slotTotals[at(row.pool)] -= row.slots;
        this->idleTotals[at(row.pool)] -= row.isReserved ? 0 : std::popcount(row.idle());
    }
    this->probeSet.erase(worker);
    for (const IdleScope scope : idleScopes) {
        std::int8_t &order = this->indexedOrder[worker.value][at(scope)];
        if (order >= 0)
            this->workersByIdleOrder[at(row.pool)][at(scope)][order].erase(worker);
        order = -1;
        this->nonPowerOfTwo[at(row.pool)][at(scope)].erase(worker);
        if (this->idleWhole[at(scope)].contains(worker))
            this->setIdleWorker(worker, scope, false);
    }
}

void FleetTable::setIdleWorker(WorkerId worker, IdleScope scope, bool isMember)
{
    this->idleWhole[at(scope)].assign(worker, isMember);
    std::uint32_t &count = this->rackRows[this->rows[worker.value].rack].idleWorkers[at(scope)];
    count += isMember ? 1 : -1;
}

void FleetTable::addToIndexes(WorkerId worker)
{
    WorkerRow &row = this->rows[worker.value];
    if (row.slots == 0 || row.isIndexed)
        return;
    row.isIndexed = true;
    this->updateInventories(worker);
    if (row.service == ServiceLevel::Probe)
        this->probeSet.assign(worker, row.idle() == row.full());
    if (row.service != ServiceLevel::Full)
        return;
    ++this->fullService;
    this->slotTotals[at(row.pool)] += row.slots;
    if (row.isReserved)
        return;
    this->idleTotals[at(row.pool)] += std::popcount(row.idle());
    for (const IdleScope scope : idleScopes)
        this->addToScopeIndex(worker, scope);
}

void FleetTable::addToScopeIndex(WorkerId worker, IdleScope scope)
{
    const WorkerRow &row = this->rows[worker.value];
    const SlotMask idle = idleIn(row, scope);
    const int order = largestOrder(idle);
    this->indexedOrder[worker.value][at(scope)] = static_cast<std::int8_t>(order);
    if (order >= 0)
        this->workersByIdleOrder[at(row.pool)][at(scope)][order].insert(worker);
    if (idle != row.full())
        return;
    if (!std::has_single_bit(row.slots))
        this->nonPowerOfTwo[at(row.pool)][at(scope)].insert(worker);
    if (this->isStandard(row))
        this->setIdleWorker(worker, scope, true);
}

void FleetTable::updateInventories(WorkerId worker)
{
    const WorkerRow &row = this->rows[worker.value];
    if (row.slots == 0)
        return;
    const bool counts = row.service == ServiceLevel::Full && row.pool == this->cellPool;
    const SlotMask unbound = counts ? row.full() & ~row.bound & ~row.pinned : 0;
    this->unboundCells.set(worker, row.rack, row.slots, unbound);
    this->unboundIdleCells.set(worker, row.rack, row.slots, unbound & row.idle());
}

} // namespace Hibiscus
