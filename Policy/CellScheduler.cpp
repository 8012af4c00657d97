#include <Policy/CellScheduler.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

const char *toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::UnknownCustomer:
        return "unknownCustomer";
    case RefusalReason::NeverFits:
        return "neverFits";
    case RefusalReason::QueueFull:
        return "queueFull";
    case RefusalReason::DeadlineUnreachable:
        return "deadlineUnreachable";
    case RefusalReason::NotServing:
        return "notServing";
    case RefusalReason::RunTooLong:
        return "runTooLong";
    }
    return "unknown";
}

CellScheduler::CellScheduler(const Settings &settings)
    : state(settings)
    , lifecycle(this->state)
    , reservations(this->state, this->lifecycle)
    , startPass(this->state, this->lifecycle, this->reservations)
    , admission(this->state)
{}

void CellScheduler::setCustomers(std::span<const CustomerEntitlement> customers, TimePoint now)
{
    std::vector<CellCounts> guarantees;
    std::vector<double> shares;
    for (const CustomerEntitlement &entitlement : customers) {
        guarantees.push_back(entitlement.guarantee);
        shares.push_back(entitlement.share);
    }
    this->state.customerCount = customers.size();
    this->state.queue.setShares(shares);
    this->state.bindings.setGuarantees(guarantees);
    this->startPass.setCustomerCount(this->state.bindings.customerCount());
    this->unbindExcessCells();
    this->isLendingCheckDue = true;
    this->fitRecheckAt = now;
    this->startPass.markAllDirty();
    this->updateWakeup(now);
}

void CellScheduler::unbindExcessCells()
{
    for (std::size_t customer = 0; customer < this->state.bindings.customerCount(); ++customer) {
        const CustomerId id{static_cast<std::uint16_t>(customer)};
        while (const auto cell = this->state.bindings.excessCell(id))
            this->lifecycle.vacateCell(*cell);
    }
}

void CellScheduler::setPreset(const Preset &preset, bool dataCenterClosed, TimePoint now)
{
    this->state.preset = preset;
    this->state.isClosed = dataCenterClosed;
    this->state.budget.setLimits(preset.classes);
    this->isLendingCheckDue = true;
    this->fitRecheckAt = now;
    this->startPass.markAllDirty();
    this->updateWakeup(now);
}

void CellScheduler::setPresence(WorkerId worker, Presence presence)
{
    if (worker.value >= this->state.presence.size())
        this->state.presence.resize(worker.value + 1, Presence::Absent);
    this->state.presence[worker.value] = presence;
}

void CellScheduler::workerUp(WorkerId worker, const WorkerDescription &description, TimePoint now)
{
    const bool isKnown
        = this->state.fleet.isKnown(worker) && this->state.fleet.row(worker).slots != 0;
    if (!isKnown || !this->state.fleet.hasDescription(worker, description)) {
        if (isKnown) {
            this->setPresence(worker, Presence::Absent);
            this->updateService(worker);
        }
        this->state.fleet.setDescription(worker, description);
    }
    this->setPresence(worker, description.leaving ? Presence::Leaving : Presence::Present);
    this->state.health.add(worker);
    this->updateService(worker);
    this->updateWakeup(now);
}

void CellScheduler::workerLeaving(WorkerId worker, TimePoint now)
{
    if (!this->state.fleet.isKnown(worker))
        return;
    this->setPresence(worker, Presence::Leaving);
    this->updateService(worker);
    this->scheduleFitRecheck(now);
}

void CellScheduler::workerDown(WorkerId worker, TimePoint now)
{
    if (!this->state.fleet.isKnown(worker))
        return;
    this->setPresence(worker, Presence::Absent);
    this->state.health.remove(worker);
    this->updateService(worker);
    this->scheduleFitRecheck(now);
}

void CellScheduler::scheduleFitRecheck(TimePoint now)
{
    // A further worker loss does not postpone a scheduled check; under steady failures the check
    // would otherwise never run.
    if (!this->fitRecheckAt)
        this->fitRecheckAt = now + this->state.settings.absenceGracePeriod;
    this->updateWakeup(now);
}

void CellScheduler::updateService(WorkerId worker)
{
    ServiceLevel service = ServiceLevel::None;
    if (this->state.presence[worker.value] == Presence::Present) {
        const HealthState health = this->state.health.state(worker);
        service = health == HealthState::Healthy ? ServiceLevel::Full
            : health == HealthState::Probing     ? ServiceLevel::Probe
                                                 : ServiceLevel::None;
    }
    const ServiceLevel before = this->state.fleet.row(worker).service;
    if (service == before)
        return;
    if (before == ServiceLevel::Full) {
        this->reservations.workerLost(worker);
        this->lifecycle.vacateWorker(worker);
        this->state.bindings.workerLost(worker);
    }
    this->state.fleet.setService(worker, service);
    if (service == ServiceLevel::Full)
        this->state.bindings.workerRestored(worker);
    this->isLendingCheckDue = true;
    this->startPass.markAllDirty();
}

Admission CellScheduler::submit(const QueuedJob &job, TimePoint now)
{
    if (this->state.jobs.find(job.job))
        return {};
    const Admission answer = this->admission.admit(job, now);
    if (!answer.isAccepted())
        return answer;
    this->enqueue(this->state.jobs.add(job, now));
    this->updateWakeup(now);
    return answer;
}

void CellScheduler::enqueue(std::uint32_t job)
{
    this->lifecycle.enqueue(job);
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    this->startPass.jobQueued(spec.customer, spec.urgency,
                              laneOf(spec, this->state.fleet.memoryPerSlotMiB()));
}

bool CellScheduler::adopt(const QueuedJob &job, std::span<const Placement> placements,
                          TimePoint now)
{
    if (job.customer.value >= this->state.customerCount)
        return false;
    const auto known = this->state.jobs.find(job.job);
    if (known && this->state.jobs.row(*known).holdsCells()) {
        const auto held = this->state.jobs.placements(*known);
        return std::equal(held.begin(), held.end(), placements.begin(), placements.end());
    }
    if (known)
        this->cancel(job.job, now);
    const std::uint32_t row = this->state.jobs.add(job, now);
    if (this->lifecycle.adopt(row, placements, now))
        return true;
    this->state.jobs.remove(row);
    return false;
}

bool CellScheduler::cancel(JobId id, TimePoint)
{
    const auto job = this->state.jobs.find(id);
    if (!job)
        return false;
    const JobPhase phase = this->state.jobs.row(*job).phase;
    if (phase == JobPhase::Queued)
        this->state.queue.remove(*job);
    else if (phase == JobPhase::Claiming)
        this->lifecycle.cancelClaim(*job);
    else
        return false;
    this->startPass.cellsFreed();
    this->startPass.markGuaranteeDirty(this->state.jobs.row(*job).spec.customer);
    this->state.jobs.remove(*job);
    return true;
}

void CellScheduler::jobStarted(JobId id, TimePoint now)
{
    const auto job = this->state.jobs.find(id);
    if (!job || this->state.jobs.row(*job).phase != JobPhase::Starting)
        return;
    JobRow &row = this->state.jobs.row(*job);
    row.phase = JobPhase::Running;
    row.startedAt = now;
}

void CellScheduler::jobEnded(JobId id, EndKind end, std::optional<WorkerId> faultyWorker,
                             bool requeue, TimePoint now)
{
    const auto job = this->state.jobs.find(id);
    if (!job || !this->state.jobs.row(*job).holdsCells())
        return;
    JobRow &row = this->state.jobs.row(*job);
    const bool wasGuaranteed = row.isGuaranteed;
    this->learnRunTime(row, end, now);
    this->recordHealth(*job, end, faultyWorker, now);
    this->lifecycle.releaseCells(*job, now);
    this->startPass.cellsFreed();
    if (wasGuaranteed)
        this->startPass.markGuaranteeDirty(row.spec.customer);
    if (requeue)
        this->enqueue(*job);
    else
        this->state.jobs.remove(*job);
}

void CellScheduler::learnRunTime(const JobRow &row, EndKind end, TimePoint now)
{
    if (end == EndKind::Finished && row.phase == JobPhase::Running && !row.isAdopted)
        this->state.runTimes.learn(row.spec, now - row.startedAt);
}

void CellScheduler::recordHealth(std::uint32_t job, EndKind end,
                                 std::optional<WorkerId> faultyWorker, TimePoint now)
{
    const auto parts = this->state.jobs.placements(job);
    const KindId kind = this->state.jobs.row(job).spec.kind;
    WorkerHealth &health = this->state.health;
    if (end == EndKind::WorkerFault && faultyWorker && this->state.fleet.isKnown(*faultyWorker)) {
        health.recordFault(*faultyWorker, now);
        this->updateService(*faultyWorker);
        return;
    }
    if (end == EndKind::WorkerFault && parts.size() == 1)
        health.recordFault(parts.front().worker, now);
    else if (end == EndKind::Failed && parts.size() == 1)
        health.recordError(parts.front().worker, kind, now);
    else if (end == EndKind::Finished) {
        for (const Placement &part : parts)
            health.recordSuccess(part.worker);
    }
    // The job may still hold these placements; the caller releases them afterwards.
    for (std::size_t index = 0; index < parts.size(); ++index)
        this->updateService(parts[index].worker);
}

void CellScheduler::expire(std::uint32_t job, RefusalReason reason,
                           std::vector<Decision> &decisions)
{
    decisions.push_back({.kind = DecisionKind::Expire,
                         .job = this->state.jobs.row(job).spec.job,
                         .reason = reason});
    this->state.queue.remove(job);
    this->state.jobs.remove(job);
}

void CellScheduler::expireUnfittableJobs(std::vector<Decision> &decisions)
{
    if (this->state.fleet.fullServiceWorkers() == 0)
        return;
    for (std::uint32_t job = 0; job < this->state.jobs.rowCount(); ++job) {
        const JobRow &row = this->state.jobs.row(job);
        if (row.phase != JobPhase::Queued)
            continue;
        if (row.spec.customer.value >= this->state.customerCount)
            this->expire(job, RefusalReason::UnknownCustomer, decisions);
        else if (!this->admission.canEverFit(row.spec))
            this->expire(job, RefusalReason::NeverFits, decisions);
    }
}

void CellScheduler::reclaimLentCells(TimePoint now)
{
    if (this->state.isLending())
        return;
    CellInventory idle = this->state.fleet.idleCells();
    std::vector<SlotMask> preemptedSlots(this->state.fleet.workerCount(), 0);
    const auto preempt = [&](std::uint32_t job) {
        const JobRow &row = this->state.jobs.row(job);
        if (!row.isBeingPreempted)
            this->lifecycle.requestPreemption(job, now);
        for (const Placement &part : this->state.jobs.placements(job)) {
            const WorkerRow &worker = this->state.fleet.row(part.worker);
            preemptedSlots[part.worker.value] |= part.slots;
            const bool counts = worker.service == ServiceLevel::Full
                && worker.pool == this->state.fleet.guaranteePool();
            const SlotMask free = (worker.idle() | preemptedSlots[part.worker.value])
                & worker.full() & ~worker.bound & ~worker.pinned;
            if (counts)
                idle.set(part.worker, worker.rack, worker.slots, free);
        }
    };
    for (std::uint32_t job = 0; job < this->state.jobs.rowCount(); ++job) {
        const auto parts = this->state.jobs.placements(job);
        const bool isInBoundCell
            = std::any_of(parts.begin(), parts.end(), [&](const Placement &part) {
                  return (this->state.fleet.row(part.worker).bound & part.slots) != 0;
              });
        const bool mayPreempt
            = this->state.jobs.row(job).phase != JobPhase::Free && this->state.cost.mayPreempt(job);
        if (mayPreempt && (isInBoundCell || this->state.jobs.row(job).isBeingPreempted))
            preempt(job);
    }
    for (std::size_t level = urgencyClassCount; level-- > 0;) {
        for (std::uint32_t job = 0; job < this->state.jobs.rowCount(); ++job) {
            if (isAllZero(idle.deficit(this->state.bindings.totalUnbound())))
                return;
            const JobRow &row = this->state.jobs.row(job);
            const bool isCandidate = static_cast<std::size_t>(row.spec.urgency) == level
                && row.phase != JobPhase::Free && this->state.cost.mayPreempt(job)
                && !row.isBeingPreempted;
            if (isCandidate)
                preempt(job);
        }
    }
}

void CellScheduler::decide(TimePoint now, std::vector<Decision> &decisions)
{
    if (this->state.health.advance(now)) {
        for (std::uint32_t worker = 0; worker < this->state.fleet.workerCount(); ++worker)
            this->updateService({worker});
    }
    while (const auto job = this->state.queue.firstInfeasible(now))
        this->expire(*job, RefusalReason::DeadlineUnreachable, decisions);
    if (this->fitRecheckAt && *this->fitRecheckAt <= now) {
        this->fitRecheckAt.reset();
        this->expireUnfittableJobs(decisions);
    }
    if (this->isLendingCheckDue)
        this->reclaimLentCells(now);
    this->isLendingCheckDue = false;
    if (this->state.isServing()) {
        this->lifecycle.startReadyClaims(now, decisions);
        this->startPass.run(now, decisions);
    }
    this->state.reclaimer.advance(now, decisions);
    this->updateWakeup(now);
}

void CellScheduler::updateWakeup(TimePoint now)
{
    this->wakeup.reset();
    const auto add = [this](std::optional<TimePoint> time) {
        if (time && (!this->wakeup || *time < *this->wakeup))
            this->wakeup = time;
    };
    add(this->state.health.nextChange());
    add(this->state.reclaimer.nextStep());
    add(this->state.queue.nextInfeasibleTime());
    add(this->fitRecheckAt);
    if (this->reservations.count() != 0)
        add(now + this->state.settings.migrationDelay);
}

SchedulerGauges CellScheduler::gauges() const
{
    SchedulerGauges gauges;
    const FleetTable &fleet = this->state.fleet;
    for (const Pool pool : {Pool::CpuOnly, Pool::Accelerated}) {
        gauges.slots += fleet.slots(pool);
        gauges.freeSlots += fleet.idleSlots(pool);
        for (unsigned order = 0; order < cellOrderCount; ++order) {
            if (!fleet.workersWithIdleOrder(pool, IdleScope::All, order).isEmpty())
                gauges.largestFreeCell = std::max(gauges.largestFreeCell, 1U << order);
        }
        const auto nonPowerOfTwo = fleet.idleNonPowerOfTwo(pool, IdleScope::All).next();
        if (nonPowerOfTwo)
            gauges.largestFreeCell
                = std::max<std::uint32_t>(gauges.largestFreeCell, fleet.row(*nonPowerOfTwo).slots);
    }
    const WorkerSet &reserved = fleet.reserved();
    for (auto worker = reserved.next(); worker; worker = reserved.next({worker->value + 1}))
        gauges.freeSlots += std::popcount(fleet.row(*worker).idle());
    for (const RackRow &rack : fleet.racks()) {
        const std::uint32_t idle = rack.idleWorkers[static_cast<std::size_t>(IdleScope::All)];
        if (fleet.shape().rackWorkers != 0 && idle == fleet.shape().rackWorkers)
            gauges.largestFreeCell
                = std::max(gauges.largestFreeCell, idle * std::uint32_t(fleet.shape().workerSlots));
    }
    gauges.running = this->state.running;
    gauges.lentSlots = this->state.lentSlots;
    gauges.queued = this->lifecycle.claimsByClass();
    for (std::size_t urgency = 0; urgency < urgencyClassCount; ++urgency)
        gauges.queued[urgency] += this->state.queue.queued(static_cast<UrgencyClass>(urgency));
    gauges.ejectedWorkers = this->state.health.ejectedCount();
    return gauges;
}

std::vector<Shortfall> CellScheduler::shortfalls() const
{
    return this->state.bindings.shortfalls();
}

} // namespace Hibiscus
