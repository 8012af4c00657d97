#include <Policy/JobLifecycle.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

JobLifecycle::JobLifecycle(SchedulerState &state)
    : state(state)
    , guaranteePlanner(state.fleet, state.bindings, state.cost)
    , borrowPlanner(state.fleet, state.bindings)
{}

double JobLifecycle::expectedWork(std::uint32_t job) const
{
    const JobRow &row = this->state.jobs.row(job);
    return row.slots() * std::chrono::duration<double>(row.expected).count();
}

BorrowConstraints JobLifecycle::constraintsFor(const QueuedJob &spec) const
{
    const bool isLending = this->state.isLending();
    return {.mayUseBound = isLending && spec.isPreemptible,
            .mustKeepIdleCells = !isLending,
            .mustKeepCells = !spec.isPreemptible};
}

void JobLifecycle::enqueue(std::uint32_t job)
{
    JobRow &row = this->state.jobs.row(job);
    row.phase = JobPhase::Queued;
    row.isBeingPreempted = false;
    row.expected = this->state.runTimes.expected(row.spec);
    this->state.queue.push({.job = job,
                            .customer = row.spec.customer,
                            .caller = row.spec.caller,
                            .urgency = row.spec.urgency,
                            .lane = laneOf(row.spec, this->state.fleet.memoryPerSlotMiB()),
                            .submitted = row.submitted,
                            .deadline = row.spec.deadline,
                            .expected = row.expected,
                            .work = this->expectedWork(job)});
}

void JobLifecycle::removeFromQueue(std::uint32_t job)
{
    JobRow &row = this->state.jobs.row(job);
    this->state.queue.remove(job);
    // Run times observed since the job was queued are taken into account.
    row.expected = this->state.runTimes.expected(row.spec);
}

void JobLifecycle::addToBudget(std::uint32_t job)
{
    JobRow &row = this->state.jobs.row(job);
    row.pool = this->state.fleet.row(this->state.jobs.placements(job).front().worker).pool;
    this->state.budget.add(row.pool, row.spec.urgency, row.slots());
}

void JobLifecycle::removeFromBudget(std::uint32_t job)
{
    const JobRow &row = this->state.jobs.row(job);
    this->state.budget.remove(row.pool, row.spec.urgency, row.slots());
}

void JobLifecycle::countRunning(const JobRow &row, bool isRunning)
{
    const std::uint32_t change = isRunning ? 1 : ~std::uint32_t(0);
    this->state.running[static_cast<std::size_t>(row.spec.urgency)] += change;
    if (!row.isGuaranteed)
        this->state.lentSlots += change * row.slots();
}

std::array<std::uint32_t, urgencyClassCount> JobLifecycle::claimsByClass() const
{
    std::array<std::uint32_t, urgencyClassCount> counts{};
    for (const std::uint32_t job : this->claims)
        ++counts[static_cast<std::size_t>(this->state.jobs.row(job).spec.urgency)];
    return counts;
}

void JobLifecycle::emitStart(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions)
{
    JobRow &row = this->state.jobs.row(job);
    row.phase = JobPhase::Starting;
    row.startedAt = now;
    row.isAdopted = false;
    this->countRunning(row, true);
    decisions.push_back({.kind = DecisionKind::Start,
                         .job = row.spec.job,
                         .placements = this->state.jobs.placements(job)});
}

bool JobLifecycle::startGuaranteed(std::uint32_t job, TimePoint now,
                                   std::vector<Decision> &decisions)
{
    JobRow &row = this->state.jobs.row(job);
    if (!this->guaranteePlanner.plan(row.spec, this->plan))
        return false;
    this->removeFromQueue(job);
    row.isGuaranteed = true;
    row.isPinned = false;
    row.isShareCharged = false;
    this->state.jobs.setPlacements(job, this->plan.placements);
    this->state.queue.chargeCaller(row.spec.customer, row.spec.caller, row.spec.urgency,
                                   this->expectedWork(job));
    this->addToBudget(job);
    if (!this->plan.borrowers.empty()) {
        this->claim(job, now);
        return true;
    }
    for (const Placement &part : this->plan.placements)
        this->state.fleet.occupy(part.worker, part.slots, row.spec.memoryMiB, job);
    this->emitStart(job, now, decisions);
    return true;
}

void JobLifecycle::claim(std::uint32_t job, TimePoint now)
{
    JobRow &row = this->state.jobs.row(job);
    row.phase = JobPhase::Claiming;
    row.claim = ++this->lastClaim;
    row.pendingBorrowers = static_cast<std::uint32_t>(this->plan.borrowers.size());
    for (const Placement &part : this->plan.placements)
        this->state.fleet.hold(part.worker, part.slots, row.spec.memoryMiB);
    for (const std::uint32_t borrower : this->plan.borrowers) {
        JobRow &victim = this->state.jobs.row(borrower);
        assert(this->state.cost.mayPreempt(borrower));
        victim.isBeingPreempted = true;
        this->state.reclaimer.requestPreemption(borrower, victim.spec.job,
                                                victim.phase == JobPhase::Running,
                                                {row.spec.job, row.claim}, now);
    }
    this->claims.push_back(job);
}

void JobLifecycle::requestPreemption(std::uint32_t job, TimePoint now)
{
    JobRow &row = this->state.jobs.row(job);
    row.isBeingPreempted = true;
    this->state.reclaimer.requestPreemption(job, row.spec.job, row.phase == JobPhase::Running,
                                            {.job = row.spec.job, .claim = 0}, now);
}

void JobLifecycle::startReadyClaims(TimePoint now, std::vector<Decision> &decisions)
{
    for (const JobId id : this->readyClaims) {
        const auto job = this->state.jobs.find(id);
        if (!job)
            continue;
        JobRow &row = this->state.jobs.row(*job);
        if (row.phase != JobPhase::Claiming || row.pendingBorrowers != 0)
            continue;
        for (const Placement &part : this->state.jobs.placements(*job)) {
            this->state.fleet.releaseHold(part.worker, part.slots, row.spec.memoryMiB);
            this->state.fleet.occupy(part.worker, part.slots, row.spec.memoryMiB, *job);
        }
        std::erase(this->claims, *job);
        this->emitStart(*job, now, decisions);
    }
    this->readyClaims.clear();
}

bool JobLifecycle::startBorrowed(std::uint32_t job, Pool pool, TimePoint now,
                                 std::vector<Decision> &decisions)
{
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    const auto placed = this->borrowPlanner.place(spec, job, pool, this->constraintsFor(spec));
    return this->commitBorrowed(job, placed, now, decisions);
}

bool JobLifecycle::startBorrowedOn(std::uint32_t job, WorkerId worker, TimePoint now,
                                   std::vector<Decision> &decisions)
{
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    const auto placed = this->borrowPlanner.placeOn(spec, job, worker, this->constraintsFor(spec));
    return this->commitBorrowed(job, placed, now, decisions);
}

bool JobLifecycle::startGangOn(std::uint32_t job, std::span<const WorkerId> workers, TimePoint now,
                               std::vector<Decision> &decisions)
{
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    const auto placed
        = this->borrowPlanner.placeGangOn(spec, job, workers, this->constraintsFor(spec));
    return this->commitBorrowed(job, placed, now, decisions);
}

bool JobLifecycle::commitBorrowed(std::uint32_t job, std::span<const Placement> placements,
                                  TimePoint now, std::vector<Decision> &decisions)
{
    if (placements.empty())
        return false;
    JobRow &row = this->state.jobs.row(job);
    this->removeFromQueue(job);
    row.isGuaranteed = false;
    row.isPinned = !row.spec.isPreemptible;
    row.isShareCharged = true;
    this->state.jobs.setPlacements(job, placements);
    const double work = this->expectedWork(job);
    this->state.queue.chargeCustomer(row.spec.customer, row.spec.urgency, work);
    this->state.queue.chargeCaller(row.spec.customer, row.spec.caller, row.spec.urgency, work);
    this->addToBudget(job);
    this->emitStart(job, now, decisions);
    return true;
}

bool JobLifecycle::areSlotsFree(std::span<const Placement> placements) const
{
    return std::all_of(placements.begin(), placements.end(), [this](const Placement &part) {
        if (!this->state.fleet.isKnown(part.worker) || part.slots == 0)
            return false;
        const WorkerRow &row = this->state.fleet.row(part.worker);
        return (part.slots & ~row.full()) == 0 && (part.slots & row.occupied) == 0;
    });
}

bool JobLifecycle::adopt(std::uint32_t job, std::span<const Placement> placements, TimePoint now)
{
    if (placements.empty() || !this->areSlotsFree(placements))
        return false;
    JobRow &row = this->state.jobs.row(job);
    for (const Placement &part : placements)
        this->cancelClaimsOn(part.worker, part.slots);
    this->state.jobs.setPlacements(job, placements);
    for (const Placement &part : placements)
        this->state.fleet.occupy(part.worker, part.slots, row.spec.memoryMiB, job);
    row.expected = this->state.runTimes.expected(row.spec);
    row.phase = JobPhase::Running;
    row.startedAt = now;
    row.isAdopted = true;
    row.isShareCharged = false;
    row.isGuaranteed = this->guaranteePlanner.planInPlace(row.spec, placements);
    row.isPinned = !row.isGuaranteed && !row.spec.isPreemptible;
    if (row.isPinned) {
        for (const Placement &part : placements)
            this->state.fleet.pin(part.worker, part.slots, row.spec.memoryMiB, job);
    }
    this->addToBudget(job);
    this->countRunning(row, true);
    return true;
}

void JobLifecycle::releaseCells(std::uint32_t job, TimePoint now)
{
    JobRow &row = this->state.jobs.row(job);
    assert(row.holdsCells());
    const double used = std::chrono::duration<double>(now - row.startedAt).count() * row.slots();
    if (!row.isAdopted)
        this->state.queue.correctCharge(row.spec.customer, row.spec.caller, row.spec.urgency,
                                        row.isShareCharged, used - this->expectedWork(job));
    for (const Placement &part : this->state.jobs.placements(job)) {
        this->state.fleet.release(part.worker, part.slots, row.spec.memoryMiB);
        if (row.isPinned)
            this->state.fleet.unpin(part.worker, job);
        if (row.isGuaranteed)
            this->state.bindings.release(part.worker, part.slots, row.spec.memoryMiB);
    }
    this->removeFromBudget(job);
    this->countRunning(row, false);
    row.isGuaranteed = false;
    row.isPinned = false;
    row.isBeingPreempted = false;
    this->state.jobs.clearPlacements(job);
    this->claimants.clear();
    this->state.reclaimer.jobReleased(job, this->claimants);
    for (const Claimant &claimant : this->claimants)
        this->countReleasedBorrower(claimant);
}

void JobLifecycle::countReleasedBorrower(const Claimant &claimant)
{
    const auto job = this->state.jobs.find(claimant.job);
    if (!job)
        return;
    JobRow &row = this->state.jobs.row(*job);
    if (row.phase != JobPhase::Claiming || row.claim != claimant.claim)
        return;
    assert(row.pendingBorrowers != 0);
    if (--row.pendingBorrowers == 0)
        this->readyClaims.push_back(claimant.job);
}

void JobLifecycle::cancelClaim(std::uint32_t job)
{
    JobRow &row = this->state.jobs.row(job);
    assert(row.phase == JobPhase::Claiming);
    for (const Placement &part : this->state.jobs.placements(job)) {
        this->state.fleet.releaseHold(part.worker, part.slots, row.spec.memoryMiB);
        this->state.bindings.release(part.worker, part.slots, row.spec.memoryMiB);
    }
    this->removeFromBudget(job);
    row.isGuaranteed = false;
    row.pendingBorrowers = 0;
    this->state.jobs.clearPlacements(job);
    std::erase(this->claims, job);
}

void JobLifecycle::cancelClaimsOn(WorkerId worker, SlotMask slots)
{
    if ((this->state.fleet.row(worker).held & slots) == 0)
        return;
    for (std::size_t index = this->claims.size(); index-- > 0;) {
        const std::uint32_t job = this->claims[index];
        const auto parts = this->state.jobs.placements(job);
        const bool usesSlots = std::any_of(parts.begin(), parts.end(), [&](const Placement &part) {
            return part.worker == worker && (part.slots & slots) != 0;
        });
        if (!usesSlots)
            continue;
        this->cancelClaim(job);
        this->enqueue(job);
    }
}

void JobLifecycle::demote(std::uint32_t job)
{
    JobRow &row = this->state.jobs.row(job);
    assert(row.isGuaranteed && row.holdsCells());
    for (const Placement &part : this->state.jobs.placements(job))
        this->state.bindings.release(part.worker, part.slots, row.spec.memoryMiB);
    row.isGuaranteed = false;
    this->state.lentSlots += row.slots();
    row.isPinned = !row.spec.isPreemptible;
    if (!row.isPinned)
        return;
    for (const Placement &part : this->state.jobs.placements(job))
        this->state.fleet.pin(part.worker, part.slots, row.spec.memoryMiB, job);
}

void JobLifecycle::vacateSlots(WorkerId worker, SlotMask slots)
{
    this->cancelClaimsOn(worker, slots);
    for (SlotMask rest = slots; rest != 0; rest &= rest - 1) {
        const std::uint32_t job = this->state.fleet.jobAt(worker, std::countr_zero(rest));
        if (job != noJob && this->state.jobs.row(job).isGuaranteed)
            this->demote(job);
    }
}

void JobLifecycle::vacateWorker(WorkerId worker)
{
    this->vacateSlots(worker, this->state.fleet.row(worker).bound);
}

void JobLifecycle::vacateCell(std::uint32_t index)
{
    const BoundCell cell = this->state.bindings.cell(index);
    if (cell.level != CellLevel::Rack) {
        this->vacateSlots(cell.worker, cell.slots);
        return;
    }
    const RackRow &rack = this->state.fleet.racks()[this->state.fleet.row(cell.worker).rack];
    for (const WorkerId worker : rack.workers)
        this->vacateWorker(worker);
}

} // namespace Hibiscus
