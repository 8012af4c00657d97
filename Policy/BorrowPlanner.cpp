#include <Policy/BorrowPlanner.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

/// Workers tried for a constrained job before the job has to wait.
constexpr unsigned maxConstrainedTries = 32;

std::uint32_t slotsOf(const QueuedJob &spec)
{
    return std::max<std::uint32_t>(spec.accelerators, 1);
}

bool isStrict(const BorrowConstraints &constraints)
{
    return constraints.mustKeepIdleCells || constraints.mustKeepCells;
}

std::uint32_t idleWorkers(const RackRow &rack, IdleScope scope)
{
    return rack.idleWorkers[static_cast<std::size_t>(scope)];
}

} // namespace

std::span<const Placement> BorrowPlanner::place(const QueuedJob &spec, std::uint32_t job, Pool pool,
                                                const BorrowConstraints &constraints)
{
    this->result.clear();
    const bool isGang = slotsOf(spec) > 1 && slotsOf(spec) > this->fleet.shape().workerSlots;
    const auto placeIn = [&](IdleScope scope) {
        return isGang ? this->placeGang(spec, job, scope, constraints)
                      : this->placeSingle(spec, job, pool, scope, constraints);
    };
    if (placeIn(IdleScope::Unbound) || (constraints.mayUseBound && placeIn(IdleScope::All)))
        return this->result;
    return {};
}

bool BorrowPlanner::placeSingle(const QueuedJob &spec, std::uint32_t job, Pool pool,
                                IdleScope scope, const BorrowConstraints &constraints)
{
    if (isStrict(constraints) && pool == this->fleet.guaranteePool()) {
        constexpr std::array<CellLevel, cellLevelCount> containers{
            CellLevel::Slot, CellLevel::Pair, CellLevel::Quad, CellLevel::Worker, CellLevel::Rack};
        return std::any_of(containers.begin(), containers.end(), [&](CellLevel container) {
            return this->placeInContainer(spec, job, pool, container, constraints);
        });
    }
    const std::uint32_t count = slotsOf(spec);
    for (unsigned order = orderFor(count); order < cellOrderCount; ++order) {
        const WorkerSet &set = this->fleet.workersWithIdleOrder(pool, scope, order);
        if (this->placeFrom(set, spec, job, scope, constraints))
            return true;
    }
    if (std::has_single_bit(count))
        return false;
    return this->placeFrom(this->fleet.idleNonPowerOfTwo(pool, scope), spec, job, scope,
                           constraints);
}

bool BorrowPlanner::placeFrom(const WorkerSet &set, const QueuedJob &spec, std::uint32_t job,
                              IdleScope scope, const BorrowConstraints &constraints)
{
    for (auto worker = set.next(); worker; worker = set.next({worker->value + 1})) {
        if (this->tryPlaceOn(spec, job, *worker, this->availableSlots(*worker, scope, constraints),
                             constraints))
            return true;
    }
    return false;
}

bool BorrowPlanner::placeInContainer(const QueuedJob &spec, std::uint32_t job, Pool pool,
                                     CellLevel container, const BorrowConstraints &constraints)
{
    const CellInventory &inventory
        = constraints.mustKeepIdleCells ? this->fleet.idleCells() : this->fleet.reclaimable();
    const unsigned lastOrder = std::bit_width(this->fleet.shape().workerSlots) - 1;
    const unsigned first = std::min(orderFor(slotsOf(spec)), lastOrder);
    unsigned tries = 0;
    for (unsigned order = first; order < cellOrderCount; ++order) {
        const WorkerSet &set = this->fleet.workersWithIdleOrder(pool, IdleScope::Unbound, order);
        for (auto worker = set.next(); worker; worker = set.next({worker->value + 1})) {
            const SlotMask cells
                = inventory.slotsOfLargestCells(*worker, this->fleet.row(*worker).rack, container);
            const SlotMask among
                = cells & this->availableSlots(*worker, IdleScope::Unbound, constraints);
            if (among == 0)
                continue;
            if (this->tryPlaceOn(spec, job, *worker, among, constraints))
                return true;
            if (++tries == maxConstrainedTries)
                return false;
        }
    }
    return false;
}

SlotMask BorrowPlanner::availableSlots(WorkerId worker, IdleScope scope,
                                       const BorrowConstraints &constraints) const
{
    const WorkerRow &row = this->fleet.row(worker);
    const SlotMask idle = scope == IdleScope::All ? row.idle() : row.idle() & ~row.bound;
    return constraints.mustKeepCells ? idle & ~row.pinned : idle;
}

bool BorrowPlanner::tryPlaceOn(const QueuedJob &spec, std::uint32_t job, WorkerId worker,
                               SlotMask among, const BorrowConstraints &constraints)
{
    const WorkerRow &row = this->fleet.row(worker);
    if (row.idleMemoryMiB() < spec.memoryMiB)
        return false;
    const SlotMask slots = bestFit(among, slotsOf(spec), row.slots);
    if (slots == 0)
        return false;
    this->result.assign(1, {worker, slots});
    return this->tryOccupy(spec, job, constraints);
}

std::span<const Placement> BorrowPlanner::placeOn(const QueuedJob &spec, std::uint32_t job,
                                                  WorkerId worker,
                                                  const BorrowConstraints &constraints)
{
    this->result.clear();
    const SlotMask unbound = this->availableSlots(worker, IdleScope::Unbound, constraints);
    const SlotMask all = this->availableSlots(worker, IdleScope::All, constraints);
    if (this->tryPlaceOn(spec, job, worker, unbound, constraints)
        || (constraints.mayUseBound && this->tryPlaceOn(spec, job, worker, all, constraints)))
        return this->result;
    return {};
}

std::span<const Placement> BorrowPlanner::placeGangOn(const QueuedJob &spec, std::uint32_t job,
                                                      std::span<const WorkerId> workers,
                                                      const BorrowConstraints &constraints)
{
    this->result.clear();
    std::uint32_t left = slotsOf(spec);
    for (const WorkerId worker : workers) {
        const WorkerRow &row = this->fleet.row(worker);
        const bool isTaken = (row.bound != 0 && !constraints.mayUseBound)
            || (row.pinned != 0 && constraints.mustKeepCells);
        if (row.idle() != row.full() || isTaken || row.idleMemoryMiB() < spec.memoryMiB)
            return {};
        const std::uint32_t count = std::min<std::uint32_t>(left, row.slots);
        this->result.push_back({worker, lowSlots(count)});
        left -= count;
    }
    if (left != 0 || !this->tryOccupy(spec, job, constraints))
        return {};
    return this->result;
}

bool BorrowPlanner::placeGang(const QueuedJob &spec, std::uint32_t job, IdleScope scope,
                              const BorrowConstraints &constraints)
{
    if (spec.adjacency == Adjacency::Worker)
        return false;
    const std::uint32_t perWorker = this->fleet.shape().workerSlots;
    const std::uint32_t parts = (slotsOf(spec) + perWorker - 1) / perWorker;
    if (!this->chooseRacks(spec, parts, scope))
        return false;
    return this->fillGang(spec, parts, scope, constraints)
        && this->tryOccupy(spec, job, constraints);
}

bool BorrowPlanner::chooseRacks(const QueuedJob &spec, std::uint32_t parts, IdleScope scope)
{
    this->chosenRacks.clear();
    if (spec.adjacency == Adjacency::Rack)
        return this->chooseOneRack(parts, scope);
    if (spec.adjacency == Adjacency::NeighboringRacks)
        return this->chooseNeighboringRacks(parts, scope);
    return this->chooseAnyRacks(parts, scope);
}

bool BorrowPlanner::chooseOneRack(std::uint32_t parts, IdleScope scope)
{
    std::uint32_t best = 0;
    std::uint32_t fewest = ~std::uint32_t(0);
    for (const std::uint32_t rack : this->fleet.racksByNumber()) {
        const std::uint32_t idle = idleWorkers(this->fleet.racks()[rack], scope);
        if (idle < parts || idle >= fewest)
            continue;
        fewest = idle;
        best = rack;
    }
    if (fewest == ~std::uint32_t(0))
        return false;
    this->chosenRacks.push_back(best);
    return true;
}

bool BorrowPlanner::chooseNeighboringRacks(std::uint32_t parts, IdleScope scope)
{
    // Chooses the shortest run of neighbouring racks with enough idle workers. A rack without idle
    // workers ends a run.
    const auto order = this->fleet.racksByNumber();
    std::size_t first = 0;
    std::size_t bestFirst = 0;
    std::size_t bestCount = 0;
    std::uint32_t sum = 0;
    for (std::size_t last = 0; last < order.size(); ++last) {
        const std::uint32_t idle = idleWorkers(this->fleet.racks()[order[last]], scope);
        const bool follows = last > first && this->fleet.nextRack(order[last - 1]) == order[last];
        if (!follows || idle == 0) {
            first = idle == 0 ? last + 1 : last;
            sum = 0;
        }
        sum += idle;
        while (first < last
               && sum - idleWorkers(this->fleet.racks()[order[first]], scope) >= parts) {
            sum -= idleWorkers(this->fleet.racks()[order[first]], scope);
            ++first;
        }
        const std::size_t count = last + 1 - first;
        if (sum >= parts && (bestCount == 0 || count < bestCount)) {
            bestFirst = first;
            bestCount = count;
        }
    }
    for (std::size_t place = bestFirst; place < bestFirst + bestCount; ++place)
        this->chosenRacks.push_back(order[place]);
    return bestCount != 0;
}

bool BorrowPlanner::chooseAnyRacks(std::uint32_t parts, IdleScope scope)
{
    // The most fragmented racks go first, so that whole racks stay whole.
    std::uint32_t sum = 0;
    const std::uint32_t most = this->fleet.shape().rackWorkers;
    for (std::uint32_t idle = 1; idle <= most; ++idle) {
        for (const std::uint32_t rack : this->fleet.racksByNumber()) {
            if (idleWorkers(this->fleet.racks()[rack], scope) != idle)
                continue;
            this->chosenRacks.push_back(rack);
            sum += idle;
            if (sum >= parts)
                return true;
        }
    }
    return false;
}

bool BorrowPlanner::fillGang(const QueuedJob &spec, std::uint32_t parts, IdleScope scope,
                             const BorrowConstraints &constraints)
{
    this->result.clear();
    std::uint32_t left = slotsOf(spec);
    for (const std::uint32_t rack : this->chosenRacks) {
        for (const WorkerId worker : this->fleet.racks()[rack].workers) {
            if (this->result.size() == parts)
                return true;
            const WorkerRow &row = this->fleet.row(worker);
            if (!this->fleet.isIdleWorker(worker, scope) || row.idleMemoryMiB() < spec.memoryMiB
                || (constraints.mustKeepCells && row.pinned != 0))
                continue;
            const std::uint32_t count = std::min<std::uint32_t>(left, row.slots);
            this->result.push_back({worker, lowSlots(count)});
            left -= count;
        }
    }
    return this->result.size() == parts;
}

bool BorrowPlanner::tryOccupy(const QueuedJob &spec, std::uint32_t job,
                              const BorrowConstraints &constraints)
{
    const CellCounts cells = constraints.mustKeepCells ? this->bindings.deficit() : CellCounts{};
    const CellCounts idleCells
        = constraints.mustKeepIdleCells ? this->bindings.idleDeficit() : CellCounts{};
    bool lacksMemory = false;
    for (const Placement &part : this->result) {
        this->fleet.occupy(part.worker, part.slots, spec.memoryMiB, job);
        if (constraints.mustKeepCells)
            lacksMemory |= !this->fleet.pin(part.worker, part.slots, spec.memoryMiB, job);
    }
    const bool breaksCells
        = constraints.mustKeepCells && hasLargerDeficit(this->bindings.deficit(), cells);
    const bool breaksIdle = constraints.mustKeepIdleCells
        && hasLargerDeficit(this->bindings.idleDeficit(), idleCells);
    if (!lacksMemory && !breaksCells && !breaksIdle)
        return true;
    for (const Placement &part : this->result) {
        if (constraints.mustKeepCells)
            this->fleet.unpin(part.worker, job);
        this->fleet.release(part.worker, part.slots, spec.memoryMiB);
    }
    this->result.clear();
    return false;
}

} // namespace Hibiscus
