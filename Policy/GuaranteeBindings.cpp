#include <Policy/GuaranteeBindings.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

std::size_t at(CellLevel level)
{
    return static_cast<std::size_t>(level);
}

} // namespace

void GuaranteeBindings::setGuarantees(std::span<const CellCounts> newGuarantees)
{
    ++this->changes;
    const std::size_t known = this->customers.size();
    this->customers.resize(std::max(known, newGuarantees.size()));
    for (std::size_t customer = known; customer < this->customers.size(); ++customer)
        this->customers[customer].buckets.fill(noCell);
    this->unboundTotal = {};
    for (std::size_t customer = 0; customer < this->customers.size(); ++customer) {
        CustomerRow &row = this->customers[customer];
        row.guarantee = customer < newGuarantees.size() ? newGuarantees[customer] : CellCounts{};
        for (std::size_t level = 0; level < cellLevelCount; ++level) {
            const std::uint32_t bound = std::min(row.bound[level], row.guarantee[level]);
            this->unboundTotal[level] += row.guarantee[level] - bound;
        }
    }
}

std::optional<std::uint32_t> GuaranteeBindings::excessCell(CustomerId customer) const
{
    const CustomerRow &row = this->customers[customer.value];
    for (const std::uint32_t first : row.buckets) {
        for (std::uint32_t index = first; index != noCell; index = this->cells[index].next) {
            const std::size_t level = at(this->cells[index].cell.level);
            if (row.bound[level] > row.guarantee[level])
                return index;
        }
    }
    return std::nullopt;
}

std::uint32_t GuaranteeBindings::unbound(CustomerId customer, CellLevel level) const
{
    const CustomerRow &row = this->customers[customer.value];
    const std::uint32_t bound = std::min(row.bound[at(level)], row.guarantee[at(level)]);
    return row.guarantee[at(level)] - bound;
}

bool GuaranteeBindings::hasGuarantee(CustomerId customer) const
{
    return !isAllZero(this->customers[customer.value].guarantee);
}

CellCounts GuaranteeBindings::deficit() const
{
    return this->fleet.reclaimable().deficit(this->unboundTotal);
}

CellCounts GuaranteeBindings::idleDeficit() const
{
    return this->fleet.idleCells().deficit(this->unboundTotal);
}

void GuaranteeBindings::countBound(CustomerId customer, CellLevel level, bool isBound)
{
    CustomerRow &row = this->customers[customer.value];
    const std::uint32_t before = this->unbound(customer, level);
    row.bound[at(level)] += isBound ? 1 : -1;
    this->unboundTotal[at(level)] += this->unbound(customer, level) - before;
}

void GuaranteeBindings::resizeIndexes()
{
    this->slotCells.resize(this->fleet.workerCount() * maxSlots, noCell);
    this->rackBindings.resize(this->fleet.racks().size());
}

GuaranteeBindings::RackBinding &GuaranteeBindings::bindingOf(std::uint32_t rack)
{
    this->resizeIndexes();
    return this->rackBindings[rack];
}

std::uint32_t GuaranteeBindings::addCell(CustomerId customer, CellLevel level, WorkerId worker,
                                         SlotMask slots)
{
    this->resizeIndexes();
    std::uint32_t index = 0;
    if (this->freeCells.empty()) {
        index = static_cast<std::uint32_t>(this->cells.size());
        this->cells.emplace_back();
    } else {
        index = this->freeCells.back();
        this->freeCells.pop_back();
    }
    this->cells[index] = {};
    this->cells[index].cell
        = {.customer = customer, .level = level, .isBound = true, .worker = worker, .slots = slots};
    for (SlotMask rest = slots; rest != 0; rest &= rest - 1)
        this->slotCells[worker.value * maxSlots + std::countr_zero(rest)] = index;
    this->fleet.bind(worker, slots);
    this->addToBucket(index);
    return index;
}

void GuaranteeBindings::removeCell(std::uint32_t index)
{
    this->removeFromBucket(index);
    BoundCell &cell = this->cells[index].cell;
    assert(cell.used == 0);
    for (SlotMask rest = cell.slots; rest != 0; rest &= rest - 1)
        this->slotCells[cell.worker.value * maxSlots + std::countr_zero(rest)] = noCell;
    this->fleet.unbind(cell.worker, cell.slots);
    cell.isBound = false;
    this->freeCells.push_back(index);
}

std::optional<std::uint32_t> GuaranteeBindings::tryBind(CustomerId customer, CellLevel level,
                                                        WorkerId worker, SlotMask slots)
{
    assert(level != CellLevel::Rack);
    if (this->unbound(customer, level) == 0)
        return std::nullopt;
    const CellCounts before = this->deficit();
    const std::uint32_t index = this->addCell(customer, level, worker, slots);
    this->countBound(customer, level, true);
    if (!hasLargerDeficit(this->deficit(), before))
        return index;
    this->removeCell(index);
    this->countBound(customer, level, false);
    return std::nullopt;
}

bool GuaranteeBindings::tryBindRack(CustomerId customer, std::uint32_t rack)
{
    if (this->unbound(customer, CellLevel::Rack) == 0
        || !this->fleet.reclaimable().isRackWhole(rack))
        return false;
    const CellCounts before = this->deficit();
    RackBinding &binding = this->bindingOf(rack);
    assert(binding.cells == 0);
    binding = {.cells = 0, .usedCells = 0, .customer = customer};
    for (const WorkerId worker : this->fleet.racks()[rack].workers) {
        if (!this->fleet.reclaimable().wholeWorkers().contains(worker))
            continue;
        this->addCell(customer, CellLevel::Rack, worker, this->fleet.row(worker).full());
        ++binding.cells;
    }
    this->countBound(customer, CellLevel::Rack, true);
    if (!hasLargerDeficit(this->deficit(), before))
        return true;
    this->unbindRack(rack);
    return false;
}

void GuaranteeBindings::unbindRack(std::uint32_t rack)
{
    RackBinding &binding = this->rackBindings[rack];
    for (const WorkerId worker : this->fleet.racks()[rack].workers) {
        const std::uint32_t index = this->slotCells[std::size_t(worker.value) * maxSlots];
        if (index != noCell && this->cells[index].cell.level == CellLevel::Rack)
            this->removeCell(index);
    }
    this->countBound(binding.customer, CellLevel::Rack, false);
    binding = {};
}

void GuaranteeBindings::unbindIfUnused(std::uint32_t index)
{
    const BoundCell &cell = this->cells[index].cell;
    if (!cell.isBound || cell.used != 0)
        return;
    if (cell.level != CellLevel::Rack) {
        const CustomerId customer = cell.customer;
        const CellLevel level = cell.level;
        this->removeCell(index);
        this->countBound(customer, level, false);
        return;
    }
    const std::uint32_t rack = this->fleet.row(cell.worker).rack;
    if (this->rackBindings[rack].usedCells == 0)
        this->unbindRack(rack);
}

void GuaranteeBindings::markUsed(std::uint32_t index, SlotMask slots, std::uint32_t memoryMiB)
{
    BoundCell &cell = this->cells[index].cell;
    assert(cell.isBound && (cell.unused() & slots) == slots);
    if (cell.level == CellLevel::Rack && cell.used == 0)
        ++this->bindingOf(this->fleet.row(cell.worker).rack).usedCells;
    this->removeFromBucket(index);
    cell.used |= slots;
    cell.usedMemoryMiB += memoryMiB;
    this->addToBucket(index);
}

void GuaranteeBindings::release(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB)
{
    const auto index = this->cellAt(worker, std::countr_zero(slots));
    assert(index.has_value());
    BoundCell &cell = this->cells[*index].cell;
    assert((cell.used & slots) == slots);
    this->removeFromBucket(*index);
    cell.used &= ~slots;
    cell.usedMemoryMiB -= memoryMiB;
    this->addToBucket(*index);
    if (cell.level == CellLevel::Rack && cell.used == 0)
        --this->bindingOf(this->fleet.row(worker).rack).usedCells;
    this->unbindIfUnused(*index);
}

void GuaranteeBindings::workerLost(WorkerId worker)
{
    const auto index = this->cellAt(worker, 0);
    if (!index || this->cells[*index].cell.level != CellLevel::Rack)
        return;
    assert(this->cells[*index].cell.used == 0);
    const std::uint32_t rack = this->fleet.row(worker).rack;
    this->removeCell(*index);
    RackBinding &binding = this->rackBindings[rack];
    if (--binding.cells == 0)
        this->unbindRack(rack);
}

void GuaranteeBindings::workerRestored(WorkerId worker)
{
    const std::uint32_t rack = this->fleet.row(worker).rack;
    RackBinding &binding = this->bindingOf(rack);
    if (binding.cells == 0 || binding.cells >= this->fleet.shape().rackWorkers
        || !this->fleet.reclaimable().wholeWorkers().contains(worker))
        return;
    this->addCell(binding.customer, CellLevel::Rack, worker, this->fleet.row(worker).full());
    ++binding.cells;
}

std::vector<Shortfall> GuaranteeBindings::shortfalls() const
{
    std::vector<Shortfall> all(this->customers.size());
    for (const RackBinding &binding : this->rackBindings) {
        if (binding.cells != 0 && binding.cells < this->fleet.shape().rackWorkers)
            all[binding.customer.value].missing[at(CellLevel::Worker)]
                += this->fleet.shape().rackWorkers - binding.cells;
    }
    // Attributes the missing cells to the customers with the highest ids first. In practice the
    // order in which jobs claim cells decides, so every customer's reported shortfall covers what
    // it may lose.
    CellCounts missing = this->deficit();
    for (std::size_t index = this->customers.size(); index-- > 0;) {
        const CustomerId customer{static_cast<std::uint16_t>(index)};
        for (std::size_t level = 0; level < cellLevelCount; ++level) {
            const std::uint32_t unbound = this->unbound(customer, static_cast<CellLevel>(level));
            const std::uint32_t share = std::min(missing[level], unbound);
            all[index].missing[level] += share;
            missing[level] -= share;
        }
    }
    std::vector<Shortfall> result;
    for (std::size_t index = 0; index < all.size(); ++index) {
        if (isAllZero(all[index].missing))
            continue;
        all[index].customer = {static_cast<std::uint16_t>(index)};
        result.push_back(all[index]);
    }
    return result;
}

std::optional<std::uint32_t> GuaranteeBindings::cellAt(WorkerId worker, unsigned slot) const
{
    const std::size_t place = worker.value * maxSlots + slot;
    if (place >= this->slotCells.size() || this->slotCells[place] == noCell)
        return std::nullopt;
    return this->slotCells[place];
}

bool GuaranteeBindings::isComplete(std::uint32_t index) const
{
    const BoundCell &cell = this->cells[index].cell;
    return cell.level != CellLevel::Rack
        || this->rackBindings[this->fleet.row(cell.worker).rack].cells
        >= this->fleet.shape().rackWorkers;
}

std::uint32_t GuaranteeBindings::memoryQuotaMiB(const BoundCell &cell) const
{
    return this->memoryQuotaMiB(cell.worker, cell.slots);
}

std::uint32_t GuaranteeBindings::memoryQuotaMiB(WorkerId worker, SlotMask slots) const
{
    const WorkerRow &row = this->fleet.row(worker);
    return static_cast<std::uint32_t>(std::uint64_t(row.memoryMiB) * std::popcount(slots)
                                      / row.slots);
}

std::uint32_t GuaranteeBindings::firstInBucket(CustomerId customer, std::size_t bucket) const
{
    return this->customers[customer.value].buckets[bucket];
}

std::uint8_t GuaranteeBindings::bucketOf(const BoundCell &cell) const
{
    if (cell.unused() == 0)
        return static_cast<std::uint8_t>(fullBucket);
    const bool isNonPowerOfTwo
        = !std::has_single_bit(static_cast<unsigned>(std::popcount(cell.slots)));
    if (isNonPowerOfTwo && cell.used == 0)
        return static_cast<std::uint8_t>(nonPowerOfTwoBucket);
    return static_cast<std::uint8_t>(largestOrder(cell.unused()));
}

void GuaranteeBindings::addToBucket(std::uint32_t index)
{
    CellRow &row = this->cells[index];
    row.bucket = this->bucketOf(row.cell);
    std::uint32_t &first = this->customers[row.cell.customer.value].buckets[row.bucket];
    row.previous = noCell;
    row.next = first;
    if (first != noCell)
        this->cells[first].previous = index;
    first = index;
}

void GuaranteeBindings::removeFromBucket(std::uint32_t index)
{
    CellRow &row = this->cells[index];
    std::uint32_t &first = this->customers[row.cell.customer.value].buckets[row.bucket];
    if (row.previous == noCell)
        first = row.next;
    else
        this->cells[row.previous].next = row.next;
    if (row.next != noCell)
        this->cells[row.next].previous = row.previous;
}

} // namespace Hibiscus
