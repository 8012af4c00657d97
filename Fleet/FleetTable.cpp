#include <Fleet/FleetTable.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

constexpr std::array<Zone, zoneCount> zones{Zone::Unbound, Zone::All};

std::size_t at(Pool pool)
{
    return static_cast<std::size_t>(pool);
}

std::size_t at(Zone zone)
{
    return static_cast<std::size_t>(zone);
}

SlotMask idleIn(const WorkerRow &row, Zone zone)
{
    return zone == Zone::All ? row.idle() : row.idle() & ~row.bound;
}

} // namespace

void FleetTable::describe(WorkerId worker, const WorkerDescription &description)
{
    this->grow(worker.value + 1);
    this->withdraw(worker);
    this->forget(worker);
    WorkerRow &row = this->rows[worker.value];
    row.service = Service::None;
    row.slots = std::min(description.slots, maxSlots);
    row.pool = description.accelerators != 0 ? Pool::Accelerated : Pool::Plain;
    row.memoryMiB = std::max(description.memoryMiB, row.usedMemoryMiB);
    row.rack = this->rackIndex(description.rack);
    this->rackRows[row.rack].workers.push_back(worker);
    ++this->workersOfSize[at(row.pool)][row.slots];
    ++this->serviceChanges;
    this->reshape(row.rack);
    if (this->isStandard(row))
        this->slotMemory = row.memoryMiB / row.slots;
    this->enter(worker);
}

bool FleetTable::isDescribedAs(WorkerId worker, const WorkerDescription &description) const
{
    const WorkerRow &row = this->rows[worker.value];
    const Pool pool = description.accelerators != 0 ? Pool::Accelerated : Pool::Plain;
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
    this->fixedJobs.resize(workers * maxSlots, noJob);
    this->indexedOrder.resize(workers, {-1, -1});
    for (auto &poolIndex : this->index)
        for (auto &zoneIndex : poolIndex)
            for (WorkerSet &set : zoneIndex)
                set.resize(workers);
    for (auto &poolSets : this->odd)
        for (WorkerSet &set : poolSets)
            set.resize(workers);
    for (WorkerSet &set : this->idleWhole)
        set.resize(workers);
    this->probeSet.resize(workers);
    this->reservedSet.resize(workers);
    this->unboundCells.resize(workers, this->rackRows.size());
    this->unboundIdleCells.resize(workers, this->rackRows.size());
}

std::uint32_t FleetTable::rackIndex(std::uint32_t number)
{
    const auto next = static_cast<std::uint32_t>(this->rackRows.size());
    const auto [entry, isNew] = this->rackByNumber.try_emplace(number, next);
    if (!isNew)
        return entry->second;
    this->rackRows.push_back({.number = number});
    const auto place = std::lower_bound(this->rackOrder.begin(), this->rackOrder.end(), number,
                                        [this](std::uint32_t rack, std::uint32_t wanted) {
                                            return this->rackRows[rack].number < wanted;
                                        });
    this->rackOrder.insert(place, next);
    this->unboundCells.resize(this->rows.size(), this->rackRows.size());
    this->unboundIdleCells.resize(this->rows.size(), this->rackRows.size());
    return next;
}

void FleetTable::forget(WorkerId worker)
{
    const WorkerRow &row = this->rows[worker.value];
    if (row.slots == 0)
        return;
    RackRow &rack = this->rackRows[row.rack];
    std::erase(rack.workers, worker);
    rack.standardWorkers -= this->isStandard(row) && row.service == Service::Full;
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

void FleetTable::reshape(std::uint32_t rack)
{
    const bool hasAccelerators = this->largestSlots(Pool::Accelerated) != 0;
    const Pool pool = hasAccelerators ? Pool::Accelerated : Pool::Plain;
    const std::uint16_t workerSlots = this->largestSlots(pool);
    if (pool != this->cellPool || workerSlots != this->cellShape.workerSlots)
        this->rebuild(pool, workerSlots);
    // Racks that lose workers keep the size they once had, or a rack cell would shrink unnoticed.
    if (this->rackRows[rack].standardWorkers > this->cellShape.rackWorkers)
        this->growRackCell(this->rackRows[rack].standardWorkers);
}

void FleetTable::rebuild(Pool pool, std::uint16_t workerSlots)
{
    for (std::uint32_t worker = 0; worker < this->rows.size(); ++worker)
        this->withdraw({worker});
    this->cellPool = pool;
    this->cellShape = {.workerSlots = workerSlots, .rackWorkers = 0};
    for (RackRow &rack : this->rackRows)
        rack.standardWorkers = 0;
    for (const WorkerRow &row : this->rows) {
        if (row.slots == 0)
            continue;
        RackRow &rack = this->rackRows[row.rack];
        rack.standardWorkers += this->isStandard(row) && row.service == Service::Full;
    }
    for (const RackRow &rack : this->rackRows)
        this->cellShape.rackWorkers = std::max(this->cellShape.rackWorkers, rack.standardWorkers);
    this->growRackCell(this->cellShape.rackWorkers);
    for (std::uint32_t worker = 0; worker < this->rows.size(); ++worker)
        this->enter({worker});
}

void FleetTable::growRackCell(std::uint32_t rackWorkers)
{
    this->cellShape.rackWorkers = rackWorkers;
    this->unboundCells.reset(this->cellShape, this->rows.size(), this->rackRows.size());
    this->unboundIdleCells.reset(this->cellShape, this->rows.size(), this->rackRows.size());
    for (std::uint32_t worker = 0; worker < this->rows.size(); ++worker)
        this->updateCensuses({worker});
}

void FleetTable::setService(WorkerId worker, Service service)
{
    WorkerRow &row = this->rows[worker.value];
    if (row.service == service)
        return;
    this->withdraw(worker);
    RackRow &rack = this->rackRows[row.rack];
    if (this->isStandard(row))
        rack.standardWorkers -= row.service == Service::Full;
    row.service = service;
    if (this->isStandard(row))
        rack.standardWorkers += row.service == Service::Full;
    ++this->serviceChanges;
    ++this->epoch;
    this->reshape(row.rack);
    this->enter(worker);
}

template <class Change>
void FleetTable::change(WorkerId worker, Change apply)
{
    assert(this->isKnown(worker));
    this->withdraw(worker);
    apply(this->rows[worker.value]);
    this->enter(worker);
}

void FleetTable::setReserved(WorkerId worker, bool isReserved)
{
    this->change(worker, [&](WorkerRow &row) { row.isReserved = isReserved; });
    this->reservedSet.assign(worker, isReserved);
    this->epoch += !isReserved;
}

void FleetTable::occupy(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB, std::uint32_t job)
{
    assert((this->rows[worker.value].occupied & slots) == 0);
    this->change(worker, [&](WorkerRow &row) {
        row.occupied |= slots;
        row.usedMemoryMiB += memoryMiB;
    });
    for (SlotMask rest = slots; rest != 0; rest &= rest - 1)
        this->slotJobs[worker.value * maxSlots + std::countr_zero(rest)] = job;
}

void FleetTable::release(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB)
{
    assert((this->rows[worker.value].occupied & slots) == slots);
    this->change(worker, [&](WorkerRow &row) {
        row.occupied &= ~slots;
        row.usedMemoryMiB -= memoryMiB;
    });
    for (SlotMask rest = slots; rest != 0; rest &= rest - 1)
        this->slotJobs[worker.value * maxSlots + std::countr_zero(rest)] = noJob;
    ++this->epoch;
}

void FleetTable::hold(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB)
{
    assert((this->rows[worker.value].held & slots) == 0);
    this->change(worker, [&](WorkerRow &row) {
        row.held |= slots;
        row.heldMemoryMiB += memoryMiB;
    });
}

void FleetTable::unhold(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB)
{
    assert((this->rows[worker.value].held & slots) == slots);
    this->change(worker, [&](WorkerRow &row) {
        row.held &= ~slots;
        row.heldMemoryMiB -= memoryMiB;
    });
    ++this->epoch;
}

void FleetTable::bind(WorkerId worker, SlotMask slots)
{
    assert((this->rows[worker.value].bound & slots) == 0);
    this->change(worker, [&](WorkerRow &row) { row.bound |= slots; });
}

void FleetTable::unbind(WorkerId worker, SlotMask slots)
{
    assert((this->rows[worker.value].bound & slots) == slots);
    this->change(worker, [&](WorkerRow &row) { row.bound &= ~slots; });
    ++this->epoch;
}

bool FleetTable::fix(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB, std::uint32_t job)
{
    const WorkerRow &row = this->rows[worker.value];
    const std::uint64_t memory = std::max<std::uint32_t>(row.memoryMiB, 1);
    const auto worth
        = static_cast<unsigned>((std::uint64_t(memoryMiB) * row.slots + memory - 1) / memory);
    SlotMask wanted = slots;
    // Further slots come from the smallest aligned cells around, so that no larger one is broken.
    const unsigned place = std::countr_zero(slots);
    for (unsigned order = 0; order < cellOrderCount; ++order) {
        const SlotMask cell = lowSlots(1U << order) << (place & ~((1U << order) - 1));
        SlotMask more = cell & row.full() & ~row.bound & ~row.fixed & ~wanted;
        for (; more != 0 && std::popcount(wanted) < static_cast<int>(worth); more &= more - 1)
            wanted |= more & (~more + 1);
    }
    const bool isEnough = std::popcount(wanted) >= static_cast<int>(worth);
    for (SlotMask rest = wanted; rest != 0; rest &= rest - 1)
        this->fixedJobs[worker.value * maxSlots + std::countr_zero(rest)] = job;
    this->change(worker, [&](WorkerRow &changed) { changed.fixed |= wanted; });
    return isEnough;
}

void FleetTable::unfix(WorkerId worker, std::uint32_t job)
{
    SlotMask slots = 0;
    for (SlotMask rest = this->rows[worker.value].fixed; rest != 0; rest &= rest - 1) {
        const unsigned slot = std::countr_zero(rest);
        std::uint32_t &holder = this->fixedJobs[worker.value * maxSlots + slot];
        if (holder != job)
            continue;
        holder = noJob;
        slots |= SlotMask(1) << slot;
    }
    this->change(worker, [&](WorkerRow &row) { row.fixed &= ~slots; });
    ++this->epoch;
}

bool FleetTable::isIdleWorker(WorkerId worker, Zone zone) const
{
    return this->idleWhole[at(zone)].contains(worker);
}

void FleetTable::withdraw(WorkerId worker)
{
    WorkerRow &row = this->rows[worker.value];
    if (!row.isListed)
        return;
    row.isListed = false;
    if (row.service == Service::Full) {
        --this->fullService;
        this->slotTotals[at(row.pool)] -= row.slots;
        this->idleTotals[at(row.pool)] -= row.isReserved ? 0 : std::popcount(row.idle());
    }
    this->probeSet.erase(worker);
    for (const Zone zone : zones) {
        std::int8_t &order = this->indexedOrder[worker.value][at(zone)];
        if (order >= 0)
            this->index[at(row.pool)][at(zone)][order].erase(worker);
        order = -1;
        this->odd[at(row.pool)][at(zone)].erase(worker);
        if (this->idleWhole[at(zone)].contains(worker))
            this->countZone(worker, zone, false);
    }
}

void FleetTable::countZone(WorkerId worker, Zone zone, bool isMember)
{
    this->idleWhole[at(zone)].assign(worker, isMember);
    std::uint32_t &count = this->rackRows[this->rows[worker.value].rack].idleWorkers[at(zone)];
    count += isMember ? 1 : -1;
}

void FleetTable::enter(WorkerId worker)
{
    WorkerRow &row = this->rows[worker.value];
    if (row.slots == 0 || row.isListed)
        return;
    row.isListed = true;
    this->updateCensuses(worker);
    if (row.service == Service::Probe)
        this->probeSet.assign(worker, row.idle() == row.full());
    if (row.service != Service::Full)
        return;
    ++this->fullService;
    this->slotTotals[at(row.pool)] += row.slots;
    if (row.isReserved)
        return;
    this->idleTotals[at(row.pool)] += std::popcount(row.idle());
    for (const Zone zone : zones)
        this->enterZone(worker, zone);
}

void FleetTable::enterZone(WorkerId worker, Zone zone)
{
    const WorkerRow &row = this->rows[worker.value];
    const SlotMask idle = idleIn(row, zone);
    const int order = largestOrder(idle);
    this->indexedOrder[worker.value][at(zone)] = static_cast<std::int8_t>(order);
    if (order >= 0)
        this->index[at(row.pool)][at(zone)][order].insert(worker);
    if (idle != row.full())
        return;
    if (!std::has_single_bit(row.slots))
        this->odd[at(row.pool)][at(zone)].insert(worker);
    if (this->isStandard(row))
        this->countZone(worker, zone, true);
}

void FleetTable::updateCensuses(WorkerId worker)
{
    const WorkerRow &row = this->rows[worker.value];
    if (row.slots == 0)
        return;
    const bool counts = row.service == Service::Full && row.pool == this->cellPool;
    const SlotMask unbound = counts ? row.full() & ~row.bound & ~row.fixed : 0;
    this->unboundCells.set(worker, row.rack, row.slots, unbound);
    this->unboundIdleCells.set(worker, row.rack, row.slots, unbound & row.idle());
}

} // namespace Hibiscus
