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

void CellScheduler::setCustomers(std::span<const CustomerShape> customers, TimePoint now)
{
    std::vector<CellCounts> guarantees;
    std::vector<double> shares;
    for (const CustomerShape &shape : customers) {
        guarantees.push_back(shape.guarantee);
        shares.push_back(shape.share);
    }
    this->state.customerCount = customers.size();
    this->state.queue.setShares(shares);
    this->state.book.setGuarantees(guarantees);
    this->startPass.setCustomerCount(this->state.book.customerCount());
    this->dropExcessCells();
    this->mustEndLending = true;
    this->recheckAt = now;
    this->startPass.everythingChanged();
    this->updateWakeup(now);
}

void CellScheduler::dropExcessCells()
{
    for (std::size_t customer = 0; customer < this->state.book.customerCount(); ++customer) {
        const CustomerId id{static_cast<std::uint16_t>(customer)};
        while (const auto cell = this->state.book.excessCell(id))
            this->lifecycle.vacateCell(*cell);
    }
}

void CellScheduler::setPreset(const Preset &preset, bool dataCenterClosed, TimePoint now)
{
    this->state.preset = preset;
    this->state.isClosed = dataCenterClosed;
    this->state.budget.setLimits(preset.classes);
    this->mustEndLending = true;
    this->recheckAt = now;
    this->startPass.everythingChanged();
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
    if (!isKnown || !this->state.fleet.isDescribedAs(worker, description)) {
        if (isKnown) {
            this->setPresence(worker, Presence::Absent);
            this->syncService(worker);
        }
        this->state.fleet.describe(worker, description);
    }
    this->setPresence(worker, description.leaving ? Presence::Leaving : Presence::Present);
    this->state.health.add(worker);
    this->syncService(worker);
    this->updateWakeup(now);
}

void CellScheduler::workerLeaving(WorkerId worker, TimePoint now)
{
    if (!this->state.fleet.isKnown(worker))
        return;
    this->setPresence(worker, Presence::Leaving);
    this->syncService(worker);
    this->recheckAfterGrace(now);
}

void CellScheduler::workerDown(WorkerId worker, TimePoint now)
{
    if (!this->state.fleet.isKnown(worker))
        return;
    this->setPresence(worker, Presence::Absent);
    this->state.health.remove(worker);
    this->syncService(worker);
    this->recheckAfterGrace(now);
}

void CellScheduler::recheckAfterGrace(TimePoint now)
{
    // A later loss doesn't put off the check: under steady failures it would never come.
    if (!this->recheckAt)
        this->recheckAt = now + this->state.settings.absenceGrace;
    this->updateWakeup(now);
}

void CellScheduler::syncService(WorkerId worker)
{
    Service service = Service::None;
    if (this->state.presence[worker.value] == Presence::Present) {
        const HealthState health = this->state.health.state(worker);
        service = health == HealthState::Healthy ? Service::Full
            : health == HealthState::Probing     ? Service::Probe
                                                 : Service::None;
    }
    const Service before = this->state.fleet.row(worker).service;
    if (service == before)
        return;
    if (before == Service::Full) {
        this->reservations.workerLost(worker);
        this->lifecycle.vacateWorker(worker);
        this->state.book.workerLost(worker);
    }
    this->state.fleet.setService(worker, service);
    if (service == Service::Full)
        this->state.book.workerBack(worker);
    this->mustEndLending = true;
    this->startPass.everythingChanged();
}

Admission CellScheduler::submit(const QueuedJob &job, TimePoint now)
{
    if (this->state.jobs.find(job.job))
        return {};
    const Admission answer = this->admission.admit(job, now);
    if (!answer.accepted())
        return answer;
    this->queueAgain(this->state.jobs.add(job, now));
    this->updateWakeup(now);
    return answer;
}

void CellScheduler::queueAgain(std::uint32_t job)
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
        this->lifecycle.giveUpClaim(*job);
    else
        return false;
    this->startPass.cellsFreed();
    this->startPass.guaranteeFreed(this->state.jobs.row(*job).spec.customer);
    this->state.jobs.remove(*job);
    return true;
}

void CellScheduler::started(JobId id, TimePoint now)
{
    const auto job = this->state.jobs.find(id);
    if (!job || this->state.jobs.row(*job).phase != JobPhase::Starting)
        return;
    JobRow &row = this->state.jobs.row(*job);
    row.phase = JobPhase::Running;
    row.startedAt = now;
}

void CellScheduler::ended(JobId id, EndKind end, std::optional<WorkerId> faultyWorker, bool requeue,
                          TimePoint now)
{
    const auto job = this->state.jobs.find(id);
    if (!job || !this->state.jobs.row(*job).holdsCells())
        return;
    JobRow &row = this->state.jobs.row(*job);
    const bool wasGuaranteed = row.isGuaranteed;
    this->learnRunTime(row, end, now);
    this->learnHealth(*job, end, faultyWorker, now);
    this->lifecycle.leaveCells(*job, now);
    this->startPass.cellsFreed();
    if (wasGuaranteed)
        this->startPass.guaranteeFreed(row.spec.customer);
    if (requeue)
        this->queueAgain(*job);
    else
        this->state.jobs.remove(*job);
}

void CellScheduler::learnRunTime(const JobRow &row, EndKind end, TimePoint now)
{
    if (end == EndKind::Finished && row.phase == JobPhase::Running && !row.isAdopted)
        this->state.runTimes.learn(row.spec, now - row.startedAt);
}

void CellScheduler::learnHealth(std::uint32_t job, EndKind end,
                                std::optional<WorkerId> faultyWorker, TimePoint now)
{
    const auto parts = this->state.jobs.placements(job);
    const KindId kind = this->state.jobs.row(job).spec.kind;
    WorkerHealth &health = this->state.health;
    if (end == EndKind::WorkerFault && faultyWorker && this->state.fleet.isKnown(*faultyWorker)) {
        health.faulted(*faultyWorker, now);
        this->syncService(*faultyWorker);
        return;
    }
    if (end == EndKind::WorkerFault && parts.size() == 1)
        health.faulted(parts.front().worker, now);
    else if (end == EndKind::Failed && parts.size() == 1)
        health.erred(parts.front().worker, kind, now);
    else if (end == EndKind::Finished) {
        for (const Placement &part : parts)
            health.succeeded(part.worker);
    }
    // The job's own placements may be on the way out; they are released by the caller.
    for (std::size_t index = 0; index < parts.size(); ++index)
        this->syncService(parts[index].worker);
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

void CellScheduler::recheckWaiting(std::vector<Decision> &decisions)
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

void CellScheduler::endLending(TimePoint now)
{
    if (this->state.isLending())
        return;
    CellCensus idle = this->state.fleet.idleCells();
    std::vector<SlotMask> gone(this->state.fleet.workerCount(), 0);
    const auto ask = [&](std::uint32_t job) {
        const JobRow &row = this->state.jobs.row(job);
        if (!row.isLeaving)
            this->lifecycle.askToLeave(job, now);
        for (const Placement &part : this->state.jobs.placements(job)) {
            const WorkerRow &worker = this->state.fleet.row(part.worker);
            gone[part.worker.value] |= part.slots;
            const bool counts = worker.service == Service::Full
                && worker.pool == this->state.fleet.guaranteePool();
            const SlotMask free = (worker.idle() | gone[part.worker.value]) & worker.full()
                & ~worker.bound & ~worker.fixed;
            if (counts)
                idle.set(part.worker, worker.rack, worker.slots, free);
        }
    };
    for (std::uint32_t job = 0; job < this->state.jobs.rowCount(); ++job) {
        const auto parts = this->state.jobs.placements(job);
        const bool isInside = std::any_of(parts.begin(), parts.end(), [&](const Placement &part) {
            return (this->state.fleet.row(part.worker).bound & part.slots) != 0;
        });
        const bool mayLeave
            = this->state.jobs.row(job).phase != JobPhase::Free && this->state.cost.mayLeave(job);
        if (mayLeave && (isInside || this->state.jobs.row(job).isLeaving))
            ask(job);
    }
    for (std::size_t level = urgencyClassCount; level-- > 0;) {
        for (std::uint32_t job = 0; job < this->state.jobs.rowCount(); ++job) {
            if (isNothing(idle.deficit(this->state.book.totalUnbound())))
                return;
            const JobRow &row = this->state.jobs.row(job);
            const bool isCandidate = static_cast<std::size_t>(row.spec.urgency) == level
                && row.phase != JobPhase::Free && this->state.cost.mayLeave(job) && !row.isLeaving;
            if (isCandidate)
                ask(job);
        }
    }
}

void CellScheduler::decide(TimePoint now, std::vector<Decision> &decisions)
{
    if (this->state.health.advance(now)) {
        for (std::uint32_t worker = 0; worker < this->state.fleet.workerCount(); ++worker)
            this->syncService({worker});
    }
    while (const auto job = this->state.queue.hopeless(now))
        this->expire(*job, RefusalReason::DeadlineUnreachable, decisions);
    if (this->recheckAt && *this->recheckAt <= now) {
        this->recheckAt.reset();
        this->recheckWaiting(decisions);
    }
    if (this->mustEndLending)
        this->endLending(now);
    this->mustEndLending = false;
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
    add(this->state.queue.nextHopeless());
    add(this->recheckAt);
    if (this->reservations.count() != 0)
        add(now + this->state.settings.moveAfter);
}

SchedulerGauges CellScheduler::gauges() const
{
    SchedulerGauges gauges;
    const FleetTable &fleet = this->state.fleet;
    for (const Pool pool : {Pool::Plain, Pool::Accelerated}) {
        gauges.slots += fleet.slots(pool);
        gauges.freeSlots += fleet.idleSlots(pool);
        for (unsigned order = 0; order < cellOrderCount; ++order) {
            if (!fleet.withIdleOrder(pool, Zone::All, order).isEmpty())
                gauges.largestFreeCell = std::max(gauges.largestFreeCell, 1U << order);
        }
        const auto odd = fleet.oddIdle(pool, Zone::All).next();
        if (odd)
            gauges.largestFreeCell
                = std::max<std::uint32_t>(gauges.largestFreeCell, fleet.row(*odd).slots);
    }
    const WorkerSet &reserved = fleet.reserved();
    for (auto worker = reserved.next(); worker; worker = reserved.next({worker->value + 1}))
        gauges.freeSlots += std::popcount(fleet.row(*worker).idle());
    for (const RackRow &rack : fleet.racks()) {
        const std::uint32_t idle = rack.idleWorkers[static_cast<std::size_t>(Zone::All)];
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
    return this->state.book.shortfalls();
}

} // namespace Hibiscus
