#include <Fleet/CellInventory.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

std::uint32_t &at(CellCounts &counts, CellLevel level)
{
    return counts[static_cast<std::size_t>(level)];
}

/// Takes up to `wanted` from `available` and returns the missing number; the surplus stays in
/// `available`.
std::uint32_t take(std::uint64_t &available, std::uint32_t wanted)
{
    const std::uint64_t taken = std::min<std::uint64_t>(available, wanted);
    available -= taken;
    return wanted - static_cast<std::uint32_t>(taken);
}

} // namespace

bool hasLargerDeficit(const CellCounts &after, const CellCounts &before)
{
    for (std::size_t level = 0; level < cellLevelCount; ++level) {
        if (after[level] > before[level])
            return true;
    }
    return false;
}

bool isAllZero(const CellCounts &counts)
{
    return std::all_of(counts.begin(), counts.end(),
                       [](std::uint32_t count) { return count == 0; });
}

void CellInventory::reset(const CellShape &newShape, std::size_t workers, std::size_t racks)
{
    this->shape = newShape;
    this->masks.assign(workers, 0);
    this->wholeInRack.assign(racks, 0);
    this->cells = {};
    this->whole.clear();
    this->whole.resize(workers);
    for (WorkerSet &set : this->partial) {
        set.clear();
        set.resize(workers);
    }
}

void CellInventory::resize(std::size_t workers, std::size_t racks)
{
    this->masks.resize(workers, 0);
    this->wholeInRack.resize(racks, 0);
    this->whole.resize(workers);
    for (WorkerSet &set : this->partial)
        set.resize(workers);
}

void CellInventory::set(WorkerId worker, std::uint32_t rack, std::uint16_t slots, SlotMask mask)
{
    assert(worker.value < this->masks.size() && rack < this->wholeInRack.size());
    if (this->masks[worker.value] == mask)
        return;
    this->remove(worker, rack);
    this->masks[worker.value] = mask;
    const bool isWhole = slots == this->shape.workerSlots && mask == lowSlots(slots);
    this->whole.assign(worker, isWhole);
    this->add(worker, rack, mask);
}

void CellInventory::add(WorkerId worker, std::uint32_t rack, SlotMask mask)
{
    if (this->whole.contains(worker)) {
        ++at(this->cells, CellLevel::Worker);
        if (++this->wholeInRack[rack] == this->shape.rackWorkers) {
            ++at(this->cells, CellLevel::Rack);
            at(this->cells, CellLevel::Worker) -= this->shape.rackWorkers;
        }
        return;
    }
    const CellParts parts = partsOf(mask);
    const std::array<std::uint32_t, 3> counts{parts.slots, parts.pairs, parts.quads};
    for (std::size_t level = 0; level < counts.size(); ++level) {
        this->cells[level] += counts[level];
        this->partial[level].assign(worker, counts[level] != 0);
    }
}

void CellInventory::remove(WorkerId worker, std::uint32_t rack)
{
    if (this->whole.contains(worker)) {
        if (this->wholeInRack[rack]-- == this->shape.rackWorkers) {
            --at(this->cells, CellLevel::Rack);
            at(this->cells, CellLevel::Worker) += this->shape.rackWorkers;
        }
        --at(this->cells, CellLevel::Worker);
        return;
    }
    const CellParts parts = partsOf(this->masks[worker.value]);
    const std::array<std::uint32_t, 3> counts{parts.slots, parts.pairs, parts.quads};
    for (std::size_t level = 0; level < counts.size(); ++level) {
        this->cells[level] -= counts[level];
        this->partial[level].erase(worker);
    }
}

CellCounts CellInventory::deficit(const CellCounts &need) const
{
    CellCounts missing{};
    const CellParts perWorker = partsOf(lowSlots(this->shape.workerSlots));
    std::uint64_t racks = this->cells[static_cast<std::size_t>(CellLevel::Rack)];
    at(missing, CellLevel::Rack) = take(racks, need[static_cast<std::size_t>(CellLevel::Rack)]);
    std::uint64_t workers = this->cells[static_cast<std::size_t>(CellLevel::Worker)]
        + racks * this->shape.rackWorkers;
    at(missing, CellLevel::Worker)
        = take(workers, need[static_cast<std::size_t>(CellLevel::Worker)]);
    std::uint64_t quads
        = this->cells[static_cast<std::size_t>(CellLevel::Quad)] + workers * perWorker.quads;
    at(missing, CellLevel::Quad) = take(quads, need[static_cast<std::size_t>(CellLevel::Quad)]);
    std::uint64_t pairs = this->cells[static_cast<std::size_t>(CellLevel::Pair)]
        + workers * perWorker.pairs + quads * 2;
    at(missing, CellLevel::Pair) = take(pairs, need[static_cast<std::size_t>(CellLevel::Pair)]);
    std::uint64_t slots = this->cells[static_cast<std::size_t>(CellLevel::Slot)]
        + workers * perWorker.slots + pairs * 2;
    at(missing, CellLevel::Slot) = take(slots, need[static_cast<std::size_t>(CellLevel::Slot)]);
    return missing;
}

SlotMask CellInventory::slotsOfLargestCells(WorkerId worker, std::uint32_t rack,
                                            CellLevel level) const
{
    const SlotMask mask = this->masks[worker.value];
    if (!this->whole.contains(worker))
        return level >= CellLevel::Worker ? 0 : slotsInParts(mask, static_cast<unsigned>(level));
    const CellLevel own = this->isRackWhole(rack) ? CellLevel::Rack : CellLevel::Worker;
    return level == own ? mask : 0;
}

bool CellInventory::isRackWhole(std::uint32_t rack) const
{
    return this->shape.rackWorkers != 0 && this->wholeInRack[rack] == this->shape.rackWorkers;
}

} // namespace Hibiscus
