#include <Policy/BorrowPlanner.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

/// Workers tried where a choice may break the terms, before the job has to wait.
constexpr unsigned strictTries = 32;

std::uint32_t slotsOf(const QueuedJob &spec)
{
    return std::max<std::uint32_t>(spec.accelerators, 1);
}

bool isStrict(const BorrowTerms &terms)
{
    return terms.keepsIdleCells || terms.keepsCells;
}

std::uint32_t idleWorkers(const RackRow &rack, Zone zone)
{
    return rack.idleWorkers[static_cast<std::size_t>(zone)];
}

} // namespace

std::span<const Placement> BorrowPlanner::place(const QueuedJob &spec, std::uint32_t job, Pool pool,
                                                const BorrowTerms &terms)
{
    this->result.clear();
    const bool isGang = slotsOf(spec) > 1 && slotsOf(spec) > this->fleet.shape().workerSlots;
    const auto placeIn = [&](Zone zone) {
        return isGang ? this->placeGang(spec, job, zone, terms)
                      : this->placeSingle(spec, job, pool, zone, terms);
    };
    if (placeIn(Zone::Unbound) || (terms.mayUseBound && placeIn(Zone::All)))
        return this->result;
    return {};
}

bool BorrowPlanner::placeSingle(const QueuedJob &spec, std::uint32_t job, Pool pool, Zone zone,
                                const BorrowTerms &terms)
{
    if (isStrict(terms) && pool == this->fleet.guaranteePool()) {
        constexpr std::array<CellLevel, cellLevelCount> containers{
            CellLevel::Slot, CellLevel::Pair, CellLevel::Quad, CellLevel::Worker, CellLevel::Rack};
        return std::any_of(containers.begin(), containers.end(), [&](CellLevel container) {
            return this->placeStrictly(spec, job, pool, container, terms);
        });
    }
    const std::uint32_t count = slotsOf(spec);
    for (unsigned order = orderFor(count); order < cellOrderCount; ++order) {
        const WorkerSet &set = this->fleet.withIdleOrder(pool, zone, order);
        if (this->placeFrom(set, spec, job, zone, terms))
            return true;
    }
    if (std::has_single_bit(count))
        return false;
    return this->placeFrom(this->fleet.oddIdle(pool, zone), spec, job, zone, terms);
}

bool BorrowPlanner::placeFrom(const WorkerSet &set, const QueuedJob &spec, std::uint32_t job,
                              Zone zone, const BorrowTerms &terms)
{
    for (auto worker = set.next(); worker; worker = set.next({worker->value + 1})) {
        if (this->tryWorker(spec, job, *worker, this->openSlots(*worker, zone, terms), terms))
            return true;
    }
    return false;
}

bool BorrowPlanner::placeStrictly(const QueuedJob &spec, std::uint32_t job, Pool pool,
                                  CellLevel container, const BorrowTerms &terms)
{
    const CellCensus &census
        = terms.keepsIdleCells ? this->fleet.idleCells() : this->fleet.reclaimable();
    const unsigned lastOrder = std::bit_width(this->fleet.shape().workerSlots) - 1;
    const unsigned first = std::min(orderFor(slotsOf(spec)), lastOrder);
    unsigned tries = 0;
    for (unsigned order = first; order < cellOrderCount; ++order) {
        const WorkerSet &set = this->fleet.withIdleOrder(pool, Zone::Unbound, order);
        for (auto worker = set.next(); worker; worker = set.next({worker->value + 1})) {
            const SlotMask cells
                = census.slotsIn(*worker, this->fleet.row(*worker).rack, container);
            const SlotMask among = cells & this->openSlots(*worker, Zone::Unbound, terms);
            if (among == 0)
                continue;
            if (this->tryWorker(spec, job, *worker, among, terms))
                return true;
            if (++tries == strictTries)
                return false;
        }
    }
    return false;
}

SlotMask BorrowPlanner::openSlots(WorkerId worker, Zone zone, const BorrowTerms &terms) const
{
    const WorkerRow &row = this->fleet.row(worker);
    const SlotMask idle = zone == Zone::All ? row.idle() : row.idle() & ~row.bound;
    return terms.keepsCells ? idle & ~row.fixed : idle;
}

bool BorrowPlanner::tryWorker(const QueuedJob &spec, std::uint32_t job, WorkerId worker,
                              SlotMask among, const BorrowTerms &terms)
{
    const WorkerRow &row = this->fleet.row(worker);
    if (row.idleMemoryMiB() < spec.memoryMiB)
        return false;
    const SlotMask slots = bestFit(among, slotsOf(spec), row.slots);
    if (slots == 0)
        return false;
    this->result.assign(1, {worker, slots});
    return this->take(spec, job, terms);
}

std::span<const Placement> BorrowPlanner::placeOn(const QueuedJob &spec, std::uint32_t job,
                                                  WorkerId worker, const BorrowTerms &terms)
{
    this->result.clear();
    const SlotMask unbound = this->openSlots(worker, Zone::Unbound, terms);
    const SlotMask all = this->openSlots(worker, Zone::All, terms);
    if (this->tryWorker(spec, job, worker, unbound, terms)
        || (terms.mayUseBound && this->tryWorker(spec, job, worker, all, terms)))
        return this->result;
    return {};
}

std::span<const Placement> BorrowPlanner::placeGangOn(const QueuedJob &spec, std::uint32_t job,
                                                      std::span<const WorkerId> workers,
                                                      const BorrowTerms &terms)
{
    this->result.clear();
    std::uint32_t left = slotsOf(spec);
    for (const WorkerId worker : workers) {
        const WorkerRow &row = this->fleet.row(worker);
        const bool isTaken
            = (row.bound != 0 && !terms.mayUseBound) || (row.fixed != 0 && terms.keepsCells);
        if (row.idle() != row.full() || isTaken || row.idleMemoryMiB() < spec.memoryMiB)
            return {};
        const std::uint32_t count = std::min<std::uint32_t>(left, row.slots);
        this->result.push_back({worker, lowSlots(count)});
        left -= count;
    }
    if (left != 0 || !this->take(spec, job, terms))
        return {};
    return this->result;
}

bool BorrowPlanner::placeGang(const QueuedJob &spec, std::uint32_t job, Zone zone,
                              const BorrowTerms &terms)
{
    if (spec.adjacency == Adjacency::Worker)
        return false;
    const std::uint32_t perWorker = this->fleet.shape().workerSlots;
    const std::uint32_t parts = (slotsOf(spec) + perWorker - 1) / perWorker;
    if (!this->chooseRacks(spec, parts, zone))
        return false;
    return this->fillGang(spec, parts, zone, terms) && this->take(spec, job, terms);
}

bool BorrowPlanner::chooseRacks(const QueuedJob &spec, std::uint32_t parts, Zone zone)
{
    this->chosenRacks.clear();
    if (spec.adjacency == Adjacency::Rack)
        return this->chooseOneRack(parts, zone);
    if (spec.adjacency == Adjacency::NeighboringRacks)
        return this->chooseNeighbors(parts, zone);
    return this->chooseAnyRacks(parts, zone);
}

bool BorrowPlanner::chooseOneRack(std::uint32_t parts, Zone zone)
{
    std::uint32_t best = 0;
    std::uint32_t fewest = ~std::uint32_t(0);
    for (const std::uint32_t rack : this->fleet.racksByNumber()) {
        const std::uint32_t idle = idleWorkers(this->fleet.racks()[rack], zone);
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

bool BorrowPlanner::chooseNeighbors(std::uint32_t parts, Zone zone)
{
    // Among runs of neighbours the shortest that suffices; a rack without idle workers ends a run.
    const auto order = this->fleet.racksByNumber();
    std::size_t first = 0;
    std::size_t bestFirst = 0;
    std::size_t bestCount = 0;
    std::uint32_t sum = 0;
    for (std::size_t last = 0; last < order.size(); ++last) {
        const std::uint32_t idle = idleWorkers(this->fleet.racks()[order[last]], zone);
        const bool follows = last > first && this->fleet.nextRack(order[last - 1]) == order[last];
        if (!follows || idle == 0) {
            first = idle == 0 ? last + 1 : last;
            sum = 0;
        }
        sum += idle;
        while (first < last
               && sum - idleWorkers(this->fleet.racks()[order[first]], zone) >= parts) {
            sum -= idleWorkers(this->fleet.racks()[order[first]], zone);
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

bool BorrowPlanner::chooseAnyRacks(std::uint32_t parts, Zone zone)
{
    // Racks that are broken up most go first, so that whole racks stay whole.
    std::uint32_t sum = 0;
    const std::uint32_t most = this->fleet.shape().rackWorkers;
    for (std::uint32_t idle = 1; idle <= most; ++idle) {
        for (const std::uint32_t rack : this->fleet.racksByNumber()) {
            if (idleWorkers(this->fleet.racks()[rack], zone) != idle)
                continue;
            this->chosenRacks.push_back(rack);
            sum += idle;
            if (sum >= parts)
                return true;
        }
    }
    return false;
}

bool BorrowPlanner::fillGang(const QueuedJob &spec, std::uint32_t parts, Zone zone,
                             const BorrowTerms &terms)
{
    this->result.clear();
    std::uint32_t left = slotsOf(spec);
    for (const std::uint32_t rack : this->chosenRacks) {
        for (const WorkerId worker : this->fleet.racks()[rack].workers) {
            if (this->result.size() == parts)
                return true;
            const WorkerRow &row = this->fleet.row(worker);
            if (!this->fleet.isIdleWorker(worker, zone) || row.idleMemoryMiB() < spec.memoryMiB
                || (terms.keepsCells && row.fixed != 0))
                continue;
            const std::uint32_t count = std::min<std::uint32_t>(left, row.slots);
            this->result.push_back({worker, lowSlots(count)});
            left -= count;
        }
    }
    return this->result.size() == parts;
}

bool BorrowPlanner::take(const QueuedJob &spec, std::uint32_t job, const BorrowTerms &terms)
{
    const CellCounts cells = terms.keepsCells ? this->book.deficit() : CellCounts{};
    const CellCounts idleCells = terms.keepsIdleCells ? this->book.idleDeficit() : CellCounts{};
    bool lacksMemory = false;
    for (const Placement &part : this->result) {
        this->fleet.occupy(part.worker, part.slots, spec.memoryMiB, job);
        if (terms.keepsCells)
            lacksMemory |= !this->fleet.fix(part.worker, part.slots, spec.memoryMiB, job);
    }
    const bool breaksCells = terms.keepsCells && lacksMore(this->book.deficit(), cells);
    const bool breaksIdle = terms.keepsIdleCells && lacksMore(this->book.idleDeficit(), idleCells);
    if (!lacksMemory && !breaksCells && !breaksIdle)
        return true;
    for (const Placement &part : this->result) {
        if (terms.keepsCells)
            this->fleet.unfix(part.worker, job);
        this->fleet.release(part.worker, part.slots, spec.memoryMiB);
    }
    this->result.clear();
    return false;
}

} // namespace Hibiscus
