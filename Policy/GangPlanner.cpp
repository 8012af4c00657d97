#include <Policy/GangPlanner.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

/// Windows tried, cheapest first, before the gang has to wait.
constexpr std::size_t maxWindowTries = 8;

} // namespace

bool GangPlanner::plan(const QueuedJob &job, GuaranteePlan &plan)
{
    const std::uint32_t perWorker = this->fleet.shape().workerSlots;
    const std::uint32_t parts = (job.accelerators + perWorker - 1) / perWorker;
    const bool hasCells = this->bindings.unbound(job.customer, CellLevel::Worker) != 0
        || this->bindings.unbound(job.customer, CellLevel::Rack) != 0
        || this->bindings.bound(job.customer, CellLevel::Rack) != 0;
    if (!hasCells || job.adjacency == Adjacency::Worker)
        return false;
    this->findWindows(job, parts);
    std::stable_sort(
        this->windows.begin(), this->windows.end(),
        [](const Window &left, const Window &right) { return left.cost < right.cost; });
    const std::size_t tries = std::min(this->windows.size(), maxWindowTries);
    for (std::size_t index = 0; index < tries; ++index) {
        if (this->planWindow(job, this->windows[index], parts, plan))
            return true;
    }
    return false;
}

void GangPlanner::findWindows(const QueuedJob &job, std::uint32_t parts)
{
    this->windows.clear();
    const auto order = this->fleet.racksByNumber();
    const auto rackCount = static_cast<std::uint32_t>(order.size());
    if (job.adjacency == Adjacency::Any) {
        this->addWindow(job, 0, rackCount, parts);
        return;
    }
    for (std::uint32_t first = 0; first < rackCount; ++first) {
        std::uint32_t count = 1;
        while (this->maxParts(first, count, job.customer) < parts) {
            const std::uint32_t next = first + count;
            const bool follows = job.adjacency == Adjacency::NeighboringRacks && next < rackCount
                && this->fleet.nextRack(order[next - 1]) == order[next];
            if (!follows) {
                count = 0;
                break;
            }
            ++count;
        }
        if (count != 0)
            this->addWindow(job, first, count, parts);
    }
}

bool GangPlanner::isOwnUnused(CustomerId customer, WorkerId worker) const
{
    const auto index = this->bindings.cellAt(worker, 0);
    if (!index)
        return false;
    const BoundCell &cell = this->bindings.cell(*index);
    return cell.customer == customer && cell.level == CellLevel::Rack && cell.used == 0
        && this->fleet.row(worker).service == ServiceLevel::Full;
}

std::uint32_t GangPlanner::maxParts(std::uint32_t first, std::uint32_t count,
                                    CustomerId customer) const
{
    const CellInventory &inventory = this->fleet.reclaimable();
    std::uint32_t own = 0;
    std::uint32_t wholeWorkers = 0;
    std::uint32_t wholeRacks = 0;
    for (std::uint32_t place = first; place < first + count; ++place) {
        const std::uint32_t rack = this->fleet.racksByNumber()[place];
        wholeRacks += inventory.isRackWhole(rack);
        for (const WorkerId worker : this->fleet.racks()[rack].workers) {
            wholeWorkers += inventory.wholeWorkers().contains(worker);
            own += this->isOwnUnused(customer, worker);
        }
    }
    const std::uint32_t racks
        = std::min(wholeRacks, this->bindings.unbound(customer, CellLevel::Rack));
    const std::uint32_t inRacks = racks * this->fleet.shape().rackWorkers;
    const std::uint32_t workers
        = std::min(wholeWorkers - inRacks, this->bindings.unbound(customer, CellLevel::Worker));
    return own + inRacks + workers;
}

void GangPlanner::addWindow(const QueuedJob &job, std::uint32_t first, std::uint32_t count,
                            std::uint32_t parts)
{
    if (this->maxParts(first, count, job.customer) < parts)
        return;
    Window window{.first = first, .count = count};
    this->collectCandidates(job, window);
    if (this->candidates.size() < parts)
        return;
    for (std::uint32_t index = 0; index < parts; ++index)
        window.cost += this->candidates[index].cost;
    this->windows.push_back(window);
}

void GangPlanner::collectCandidates(const QueuedJob &job, const Window &window)
{
    this->candidates.clear();
    const CellInventory &inventory = this->fleet.reclaimable();
    for (std::uint32_t place = window.first; place < window.first + window.count; ++place) {
        const std::uint32_t rack = this->fleet.racksByNumber()[place];
        for (const WorkerId worker : this->fleet.racks()[rack].workers) {
            const bool isOwn = this->isOwnUnused(job.customer, worker);
            if (!isOwn && !inventory.wholeWorkers().contains(worker))
                continue;
            const WorkerRow &row = this->fleet.row(worker);
            const auto cost = this->cost.costOfSlots(worker, row.full(), job.memoryMiB);
            if (cost && job.memoryMiB <= row.memoryMiB)
                this->candidates.push_back({worker, *cost, isOwn});
        }
    }
    // Already bound cells go first, then the cheapest workers, then workers of fragmented racks.
    std::stable_sort(this->candidates.begin(), this->candidates.end(),
                     [&](const Candidate &left, const Candidate &right) {
                         if (left.isOwn != right.isOwn)
                             return left.isOwn;
                         if (left.cost != right.cost)
                             return left.cost < right.cost;
                         const bool isLeftWhole
                             = inventory.isRackWhole(this->fleet.row(left.worker).rack);
                         const bool isRightWhole
                             = inventory.isRackWhole(this->fleet.row(right.worker).rack);
                         return isLeftWhole < isRightWhole;
                     });
}

bool GangPlanner::planWindow(const QueuedJob &job, const Window &window, std::uint32_t parts,
                             GuaranteePlan &plan)
{
    this->newCells.clear();
    this->collectCandidates(job, window);
    this->bindRacks(job, window, parts, this->fleet.shape().rackWorkers);
    this->bindWorkers(job, parts);
    // Racks of which the gang needs only some workers are bound last.
    this->bindRacks(job, window, parts, 1);
    if (this->ownCandidates() < parts) {
        this->rollBack();
        return false;
    }
    this->commit(job, parts, plan);
    return true;
}

std::uint32_t GangPlanner::ownCandidates() const
{
    return static_cast<std::uint32_t>(
        std::count_if(this->candidates.begin(), this->candidates.end(),
                      [](const Candidate &candidate) { return candidate.isOwn; }));
}

void GangPlanner::bindRacks(const QueuedJob &job, const Window &window, std::uint32_t parts,
                            std::uint32_t smallest)
{
    for (std::uint32_t place = window.first; place < window.first + window.count; ++place) {
        const std::uint32_t own = this->ownCandidates();
        if (own >= parts || parts - own < smallest)
            return;
        const std::uint32_t rack = this->fleet.racksByNumber()[place];
        if (!this->bindings.tryBindRack(job.customer, rack))
            continue;
        for (const WorkerId worker : this->fleet.racks()[rack].workers) {
            const auto cell = this->bindings.cellAt(worker, 0);
            if (cell && this->bindings.cell(*cell).level == CellLevel::Rack)
                this->newCells.push_back(*cell);
        }
        for (Candidate &candidate : this->candidates)
            candidate.isOwn |= this->fleet.row(candidate.worker).rack == rack;
    }
}

bool GangPlanner::bindWorkers(const QueuedJob &job, std::uint32_t parts)
{
    std::uint32_t own = this->ownCandidates();
    for (Candidate &candidate : this->candidates) {
        if (own >= parts)
            return true;
        if (candidate.isOwn)
            continue;
        const SlotMask slots = this->fleet.row(candidate.worker).full();
        const auto cell
            = this->bindings.tryBind(job.customer, CellLevel::Worker, candidate.worker, slots);
        if (!cell)
            continue;
        this->newCells.push_back(*cell);
        candidate.isOwn = true;
        ++own;
    }
    return own >= parts;
}

void GangPlanner::rollBack()
{
    for (const std::uint32_t cell : this->newCells)
        this->bindings.unbindIfUnused(cell);
    this->newCells.clear();
}

void GangPlanner::commit(const QueuedJob &job, std::uint32_t parts, GuaranteePlan &plan)
{
    std::uint32_t left = job.accelerators;
    for (const Candidate &candidate : this->candidates) {
        if (!candidate.isOwn || parts == 0)
            continue;
        --parts;
        const WorkerRow &row = this->fleet.row(candidate.worker);
        const std::uint32_t count = std::min<std::uint32_t>(left, row.slots);
        const SlotMask slots = lowSlots(count);
        left -= count;
        this->bindings.markUsed(*this->bindings.cellAt(candidate.worker, 0), slots, job.memoryMiB);
        plan.placements.push_back({candidate.worker, slots});
        this->cost.collect(candidate.worker, slots, job.memoryMiB, plan.borrowers);
    }
    assert(left == 0);
    // Unbinds newly bound racks that remain unused.
    for (const std::uint32_t cell : this->newCells)
        this->bindings.unbindIfUnused(cell);
}

} // namespace Hibiscus
