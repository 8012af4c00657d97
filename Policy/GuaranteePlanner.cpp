#include <Policy/GuaranteePlanner.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

/// Candidates examined in one bucket or worker set before the best one found is taken.
constexpr unsigned maxIdleTries = 32;
constexpr unsigned maxReclaimTries = 256;

std::uint32_t slotsOf(const QueuedJob &job)
{
    return std::max<std::uint32_t>(job.accelerators, 1);
}

} // namespace

bool GuaranteePlanner::plan(const QueuedJob &job, GuaranteePlan &plan)
{
    plan.clear();
    if (!this->bindings.hasGuarantee(job.customer))
        return false;
    if (job.accelerators != 0 && this->fleet.guaranteePool() != Pool::Accelerated)
        return false;
    if (job.accelerators > this->fleet.shape().workerSlots)
        return this->gangPlanner.plan(job, plan);
    return this->planSingle(job, plan);
}

bool GuaranteePlanner::hasUnboundCellFor(const QueuedJob &job) const
{
    if (slotsOf(job) > this->fleet.shape().workerSlots)
        return this->bindings.unbound(job.customer, CellLevel::Worker) != 0
            || this->bindings.unbound(job.customer, CellLevel::Rack) != 0;
    for (unsigned level = 0; level < cellLevelCount; ++level) {
        if (this->fitsUnboundCell(job, static_cast<CellLevel>(level)))
            return true;
    }
    return false;
}

bool GuaranteePlanner::planSingle(const QueuedJob &job, GuaranteePlan &plan)
{
    if (const auto choice = this->idleInOwnCell(job))
        return this->commit(job, *choice, plan);
    constexpr std::array<CellLevel, cellLevelCount> levels{
        CellLevel::Slot, CellLevel::Pair, CellLevel::Quad, CellLevel::Worker, CellLevel::Rack};
    const auto own = this->cheapestInOwnCell(job);
    // Takes the smallest cell level that holds the job, whatever the preemption cost: a small job
    // in a larger idle cell would leave the customer without that larger cell.
    for (const CellLevel level : levels) {
        if (!this->fitsUnboundCell(job, level))
            continue;
        if (this->planIdleNewCell(job, level, plan)
            || this->planCheapestNewCell(job, level, own ? &*own : nullptr, plan))
            return true;
        if (own)
            break;
    }
    return own && this->commit(job, *own, plan);
}

std::optional<GuaranteePlanner::Choice> GuaranteePlanner::idleInOwnCell(const QueuedJob &job) const
{
    const std::uint32_t count = slotsOf(job);
    const unsigned lastOrder = std::bit_width(this->fleet.shape().workerSlots) - 1;
    const std::size_t first = std::min(orderFor(count), lastOrder);
    for (std::size_t bucket = first; bucket <= GuaranteeBindings::nonPowerOfTwoBucket; ++bucket) {
        unsigned tries = 0;
        for (std::uint32_t index = this->bindings.firstInBucket(job.customer, bucket);
             index != GuaranteeBindings::noCell && tries < maxIdleTries;
             index = this->bindings.nextInBucket(index), ++tries) {
            const BoundCell &cell = this->bindings.cell(index);
            const WorkerRow &row = this->fleet.row(cell.worker);
            if (row.service != ServiceLevel::Full || row.idleMemoryMiB() < job.memoryMiB
                || cell.usedMemoryMiB + job.memoryMiB > this->bindings.memoryQuotaMiB(cell))
                continue;
            const SlotMask slots = bestFit(cell.unused() & row.idle(), count, row.slots);
            if (slots != 0)
                return Choice{.worker = cell.worker, .slots = slots, .cell = index};
        }
    }
    return std::nullopt;
}

bool GuaranteePlanner::fitsUnboundCell(const QueuedJob &job, CellLevel level) const
{
    if (this->bindings.unbound(job.customer, level) == 0)
        return false;
    if (level >= CellLevel::Worker)
        return slotsOf(job) <= this->fleet.shape().workerSlots;
    return slotsOf(job) <= (1U << static_cast<unsigned>(level));
}

bool GuaranteePlanner::planIdleNewCell(const QueuedJob &job, CellLevel level, GuaranteePlan &plan)
{
    const Pool pool = this->fleet.guaranteePool();
    const unsigned lastOrder = std::bit_width(this->fleet.shape().workerSlots) - 1;
    const unsigned firstOrder = std::min(orderFor(slotsOf(job)), lastOrder);
    const CellInventory &inventory = this->fleet.reclaimable();
    for (auto container = static_cast<unsigned>(level); container < cellLevelCount; ++container) {
        const auto from = static_cast<CellLevel>(container);
        if (inventory.largestCells()[container] == 0)
            continue;
        // Few workers are fragmented, so all of them are visited. Whole workers are many, so only
        // those with a large enough idle cell are visited.
        if (from < CellLevel::Worker) {
            if (this->planIdleAmong(inventory.partialWorkersWith(from), job, level, from, plan))
                return true;
            continue;
        }
        for (unsigned order = firstOrder; order < cellOrderCount; ++order) {
            const WorkerSet &set
                = this->fleet.workersWithIdleOrder(pool, IdleScope::Unbound, order);
            if (this->planIdleAmong(set, job, level, from, plan))
                return true;
        }
    }
    return false;
}

bool GuaranteePlanner::planIdleAmong(const WorkerSet &set, const QueuedJob &job, CellLevel level,
                                     CellLevel container, GuaranteePlan &plan)
{
    unsigned tries = 0;
    for (auto worker = set.next(); worker && tries < maxReclaimTries;
         worker = set.next({worker->value + 1})) {
        if (this->fleet.row(*worker).idle() == 0)
            continue;
        const auto choice = this->cheapestNewCellOn(job, level, container, *worker);
        tries += choice.has_value();
        if (choice && choice->cost == 0 && this->commit(job, *choice, plan))
            return true;
    }
    return false;
}

std::optional<GuaranteePlanner::Choice>
GuaranteePlanner::cheapestNewCell(const QueuedJob &job, CellLevel level, CellLevel container) const
{
    const CellInventory &inventory = this->fleet.reclaimable();
    const WorkerSet &set = container < CellLevel::Worker ? inventory.partialWorkersWith(container)
                                                         : inventory.wholeWorkers();
    std::optional<Choice> best;
    unsigned tries = 0;
    for (auto worker = set.next(); worker && tries < maxReclaimTries;
         worker = set.next({worker->value + 1})) {
        const auto choice = this->cheapestNewCellOn(job, level, container, *worker);
        tries += choice.has_value();
        if (choice && (!best || choice->cost < best->cost))
            best = choice;
    }
    return best;
}

bool GuaranteePlanner::planCheapestNewCell(const QueuedJob &job, CellLevel level,
                                           const Choice *bestOwn, GuaranteePlan &plan)
{
    std::array<std::optional<Choice>, cellLevelCount> best;
    for (auto container = static_cast<std::size_t>(level); container < cellLevelCount;
         ++container) {
        best[container] = this->cheapestNewCell(job, level, static_cast<CellLevel>(container));
        if (bestOwn != nullptr && best[container] && best[container]->cost >= bestOwn->cost)
            best[container].reset();
    }
    std::stable_sort(best.begin(), best.end(), [](const auto &left, const auto &right) {
        return left && (!right || left->cost < right->cost);
    });
    return std::any_of(best.begin(), best.end(), [&](const std::optional<Choice> &choice) {
        return choice && this->commit(job, *choice, plan);
    });
}

std::optional<GuaranteePlanner::Choice> GuaranteePlanner::cheapestNewCellOn(const QueuedJob &job,
                                                                            CellLevel level,
                                                                            CellLevel container,
                                                                            WorkerId worker) const
{
    const WorkerRow &row = this->fleet.row(worker);
    const SlotMask openSlots
        = this->fleet.reclaimable().slotsOfLargestCells(worker, row.rack, container);
    if (openSlots == 0)
        return std::nullopt;
    std::optional<Choice> best;
    const bool isWhole = level >= CellLevel::Worker;
    const unsigned order = isWhole ? 0 : static_cast<unsigned>(level);
    // On levels Worker and Rack the whole worker is one cell, whatever its size.
    SlotMask starts = isWhole ? SlotMask(1) : alignedStarts(openSlots, order);
    for (; starts != 0; starts &= starts - 1) {
        const SlotMask cellSlots
            = isWhole ? row.full() : lowSlots(1U << order) << std::countr_zero(starts);
        if (job.memoryMiB > this->bindings.memoryQuotaMiB(worker, cellSlots))
            continue;
        const auto choice = this->cheapestSlots(job, worker, cellSlots);
        if (choice && (!best || choice->cost < best->cost))
            best = choice;
    }
    if (best)
        best->level = level;
    return best;
}

std::optional<GuaranteePlanner::Choice>
GuaranteePlanner::cheapestSlots(const QueuedJob &job, WorkerId worker, SlotMask cellSlots) const
{
    const WorkerRow &row = this->fleet.row(worker);
    const std::uint32_t count = slotsOf(job);
    Choice choice{.worker = worker, .cellSlots = cellSlots};
    choice.slots = bestFit(cellSlots & row.idle(), count, row.slots);
    if (choice.slots != 0 && row.idleMemoryMiB() >= job.memoryMiB)
        return choice;
    choice.slots = 0;
    const auto consider = [&](SlotMask slots) {
        const auto cost = this->cost.costOfSlots(worker, slots, job.memoryMiB);
        if (!cost || (choice.slots != 0 && *cost >= choice.cost))
            return;
        choice.slots = slots;
        choice.cost = *cost;
    };
    SlotMask starts = alignedStarts(cellSlots, orderFor(count));
    for (; starts != 0; starts &= starts - 1)
        consider(lowSlots(count) << std::countr_zero(starts));
    if (choice.slots == 0 && cellSlots == row.full() && count <= row.slots)
        consider(lowSlots(count));
    if (choice.slots == 0)
        return std::nullopt;
    return choice;
}

std::optional<GuaranteePlanner::Choice>
GuaranteePlanner::cheapestInOwnCell(const QueuedJob &job) const
{
    std::optional<Choice> best;
    const std::uint32_t count = slotsOf(job);
    const unsigned lastOrder = std::bit_width(this->fleet.shape().workerSlots) - 1;
    const std::size_t first = std::min(orderFor(count), lastOrder);
    for (std::size_t bucket = first; bucket <= GuaranteeBindings::nonPowerOfTwoBucket; ++bucket) {
        unsigned tries = 0;
        for (std::uint32_t index = this->bindings.firstInBucket(job.customer, bucket);
             index != GuaranteeBindings::noCell && tries < maxReclaimTries;
             index = this->bindings.nextInBucket(index), ++tries) {
            const auto choice = this->cheapestInCell(job, index);
            if (choice && (!best || choice->cost < best->cost))
                best = choice;
        }
    }
    return best;
}

std::optional<GuaranteePlanner::Choice> GuaranteePlanner::cheapestInCell(const QueuedJob &job,
                                                                         std::uint32_t index) const
{
    const BoundCell &cell = this->bindings.cell(index);
    if (this->fleet.row(cell.worker).service != ServiceLevel::Full
        || cell.usedMemoryMiB + job.memoryMiB > this->bindings.memoryQuotaMiB(cell))
        return std::nullopt;
    auto choice = this->cheapestSlots(job, cell.worker, cell.unused());
    if (choice)
        choice->cell = index;
    return choice;
}

bool GuaranteePlanner::planInPlace(const QueuedJob &job, std::span<const Placement> placements)
{
    if (!this->bindings.hasGuarantee(job.customer))
        return false;
    std::size_t done = 0;
    while (done < placements.size() && this->chargeInPlace(job, placements[done]))
        ++done;
    if (done == placements.size())
        return true;
    for (const Placement &part : placements.first(done))
        this->bindings.release(part.worker, part.slots, job.memoryMiB);
    return false;
}

bool GuaranteePlanner::chargeInPlace(const QueuedJob &job, const Placement &part)
{
    const WorkerRow &row = this->fleet.row(part.worker);
    if (row.service != ServiceLevel::Full || row.pool != this->fleet.guaranteePool())
        return false;
    auto cell = this->bindings.cellAt(part.worker, std::countr_zero(part.slots));
    if (!cell)
        cell = this->bindCellAround(job, part);
    if (!cell)
        return false;
    const BoundCell &bound = this->bindings.cell(*cell);
    if (bound.customer != job.customer || (bound.unused() & part.slots) != part.slots
        || bound.usedMemoryMiB + job.memoryMiB > this->bindings.memoryQuotaMiB(bound))
        return false;
    this->bindings.markUsed(*cell, part.slots, job.memoryMiB);
    return true;
}

std::optional<std::uint32_t> GuaranteePlanner::bindCellAround(const QueuedJob &job,
                                                              const Placement &part)
{
    const WorkerRow &row = this->fleet.row(part.worker);
    const SlotMask unbound = row.reclaimable();
    for (unsigned order = 0; order <= static_cast<unsigned>(CellLevel::Quad); ++order) {
        const unsigned first = std::countr_zero(part.slots) & ~((1U << order) - 1);
        const SlotMask cellSlots = lowSlots(1U << order) << first;
        const bool fits = (cellSlots & part.slots) == part.slots
            && (unbound & cellSlots) == cellSlots
            && job.memoryMiB <= this->bindings.memoryQuotaMiB(part.worker, cellSlots);
        if (!fits)
            continue;
        const auto level = static_cast<CellLevel>(order);
        if (const auto cell = this->bindings.tryBind(job.customer, level, part.worker, cellSlots))
            return cell;
    }
    if (!this->fleet.reclaimable().wholeWorkers().contains(part.worker))
        return std::nullopt;
    if (const auto cell
        = this->bindings.tryBind(job.customer, CellLevel::Worker, part.worker, row.full()))
        return cell;
    if (this->bindings.tryBindRack(job.customer, row.rack))
        return this->bindings.cellAt(part.worker, 0);
    return std::nullopt;
}

bool GuaranteePlanner::commit(const QueuedJob &job, const Choice &choice, GuaranteePlan &plan)
{
    std::uint32_t cell = choice.cell;
    if (cell == GuaranteeBindings::noCell && choice.level == CellLevel::Rack) {
        if (!this->bindings.tryBindRack(job.customer, this->fleet.row(choice.worker).rack))
            return false;
        cell = *this->bindings.cellAt(choice.worker, std::countr_zero(choice.slots));
    } else if (cell == GuaranteeBindings::noCell) {
        const auto bound
            = this->bindings.tryBind(job.customer, choice.level, choice.worker, choice.cellSlots);
        if (!bound)
            return false;
        cell = *bound;
    }
    this->bindings.markUsed(cell, choice.slots, job.memoryMiB);
    plan.placements.push_back({choice.worker, choice.slots});
    this->cost.collect(choice.worker, choice.slots, job.memoryMiB, plan.borrowers);
    return true;
}

} // namespace Hibiscus
