#include <Policy/StartPass.h>

#include <algorithm>

namespace Hibiscus {

namespace {

/// Gangs tried in one pass over a class before other gangs have to wait for the next pass.
constexpr unsigned maxGangTriesPerPass = 8;

/// Jobs tried for backfill in one pass over a class.
constexpr unsigned maxBackfillTriesPerPass = 16;

constexpr std::array<UrgencyClass, urgencyClassCount> classesInOrder{
    UrgencyClass::Urgent, UrgencyClass::Standard, UrgencyClass::Background};

std::size_t at(UrgencyClass urgency)
{
    return static_cast<std::size_t>(urgency);
}

std::optional<UrgencyClass> classBelow(UrgencyClass urgency)
{
    if (urgency == UrgencyClass::Background)
        return std::nullopt;
    return static_cast<UrgencyClass>(at(urgency) + 1);
}

} // namespace

void StartPass::setCustomerCount(std::size_t count)
{
    const std::size_t customerSlots = std::max(count, this->failed.size());
    this->guaranteeDirty.resize(customerSlots);
    this->guaranteeBlocked.resize(customerSlots);
    this->failed.resize(customerSlots);
}

void StartPass::jobQueued(CustomerId customer, UrgencyClass urgency, SizeLane lane)
{
    this->dirtyLanes[at(urgency)] |= laneBit(lane);
    this->markGuaranteeDirty(customer);
}

void StartPass::markGuaranteeDirty(CustomerId customer)
{
    if (this->guaranteeDirty[customer.value] != 0 || !this->state.bindings.hasGuarantee(customer))
        return;
    this->guaranteeDirty[customer.value] = 1;
    this->dirtyCustomers.push_back(customer.value);
}

void StartPass::cellsFreed()
{
    if (!this->anyGuaranteeBlocked)
        return;
    this->anyGuaranteeBlocked = false;
    for (std::size_t customer = 0; customer < this->guaranteeBlocked.size(); ++customer) {
        if (this->guaranteeBlocked[customer] != 0)
            this->markGuaranteeDirty({static_cast<std::uint16_t>(customer)});
        this->guaranteeBlocked[customer] = 0;
    }
}

void StartPass::markAllDirty()
{
    this->dirtyLanes.fill(allLanes);
    for (std::size_t customer = 0; customer < this->state.bindings.customerCount(); ++customer)
        this->markGuaranteeDirty({static_cast<std::uint16_t>(customer)});
}

void StartPass::run(TimePoint now, std::vector<Decision> &decisions)
{
    this->runProbes(now, decisions);
    this->runGuaranteed(now, decisions);
    this->reservations.advance(now, decisions);
    if (this->seenCapacityEpoch != this->state.fleet.capacityEpoch())
        this->dirtyLanes.fill(allLanes);
    for (const UrgencyClass urgency : classesInOrder)
        this->runClass(urgency, now, decisions);
    this->dirtyLanes.fill(0);
    // Capacity that a failed attempt released again is not a change.
    this->seenCapacityEpoch = this->state.fleet.capacityEpoch();
}

void StartPass::runProbes(TimePoint now, std::vector<Decision> &decisions)
{
    // Probes go first: if all jobs fit guarantees, none would be left to probe with.
    if (this->state.fleet.probes().isEmpty())
        return;
    std::fill(this->failed.begin(), this->failed.end(), 0);
    for (const UrgencyClass urgency : {UrgencyClass::Background, UrgencyClass::Standard}) {
        const auto head = this->state.queue.next(urgency, laneBit(SizeLane::Gang), this->failed);
        if (head)
            this->tryProbe(head->job, urgency, now, decisions);
    }
}

void StartPass::runGuaranteed(TimePoint now, std::vector<Decision> &decisions)
{
    // Visits customers in id order, so that the order of earlier events does not matter.
    std::sort(this->dirtyCustomers.begin(), this->dirtyCustomers.end());
    for (const std::uint16_t customer : this->dirtyCustomers) {
        this->guaranteeDirty[customer] = 0;
        this->runGuaranteedOf({customer}, now, decisions);
    }
    this->dirtyCustomers.clear();
}

void StartPass::runGuaranteedOf(CustomerId customer, TimePoint now,
                                std::vector<Decision> &decisions)
{
    for (const UrgencyClass urgency : classesInOrder) {
        LaneMask open = allLanes;
        while (const auto head = this->state.queue.nextOf(customer, urgency, open)) {
            const QueuedJob &spec = this->state.jobs.row(head->job).spec;
            if (this->canUseCpuOnlyWorker(spec)) {
                open &= ~laneBit(head->lane);
                continue;
            }
            if (this->lifecycle.startGuaranteed(head->job, now, decisions))
                continue;
            if (this->lifecycle.moveChargesFor(head->job, now, decisions))
                continue;
            open &= ~laneBit(head->lane);
            if (!this->lifecycle.hasUnboundCellFor(head->job))
                continue;
            this->guaranteeBlocked[customer.value] = 1;
            this->anyGuaranteeBlocked = true;
        }
    }
}

bool StartPass::canUseCpuOnlyWorker(const QueuedJob &spec) const
{
    // A job without accelerators does not use the guarantee if it can run on a CPU-only worker.
    return spec.accelerators == 0 && this->state.fleet.guaranteePool() != Pool::CpuOnly
        && this->state.budget.allows(this->state.fleet, Pool::CpuOnly, spec.urgency, 1);
}

std::optional<StartPass::Pick> StartPass::pickAged(UrgencyClass urgency, const ClassPass &pass,
                                                   TimePoint now)
{
    const auto below = classBelow(urgency);
    if (!below)
        return std::nullopt;
    const TimePoint until = now - this->state.limits(*below).ageing;
    std::optional<Pick> oldest;
    for (std::size_t index = 0; index < sizeLaneCount; ++index) {
        const auto lane = static_cast<SizeLane>(index);
        if ((pass.agedBlocked & laneBit(lane)) != 0)
            continue;
        const auto head = this->state.queue.oldest(*below, lane, until);
        if (!head)
            continue;
        const TimePoint submitted = this->state.jobs.row(head->job).submitted;
        if (!oldest || submitted < this->state.jobs.row(oldest->head.job).submitted)
            oldest = Pick{*head, Source::Aged};
    }
    return oldest;
}

bool StartPass::isWithinShareLead(CustomerId customer, UrgencyClass urgency) const
{
    const double largest = std::chrono::duration<double>(this->state.settings.maxShareLead).count()
        * (this->state.fleet.slots(Pool::Accelerated) + this->state.fleet.slots(Pool::CpuOnly));
    return this->state.queue.lead(customer, urgency) * this->state.queue.sumOfShares() <= largest;
}

std::optional<StartPass::Pick> StartPass::pickLatestStart(UrgencyClass urgency,
                                                          const ClassPass &pass, TimePoint now)
{
    const TimePoint due = now + this->state.settings.latestStartMargin;
    for (std::size_t index = 0; index < sizeLaneCount; ++index) {
        const auto lane = static_cast<SizeLane>(index);
        if (((pass.latestStartBlocked | pass.blocked) & laneBit(lane)) != 0)
            continue;
        const auto head = this->state.queue.earliestLatestStart(urgency, lane, due);
        if (head && this->isWithinShareLead(head->customer, urgency))
            return Pick{*head, Source::LatestStart};
    }
    return std::nullopt;
}

std::optional<StartPass::Pick> StartPass::pick(UrgencyClass urgency, const ClassPass &pass,
                                               TimePoint now)
{
    // Only one of `startsPerAgedStart` starts goes to a job that has aged into the class. If all
    // waiting jobs have aged, the fair order inside a class has to hold, or the longest queue would
    // win.
    if (this->startsSinceAged[at(urgency)] + 1 >= this->state.settings.startsPerAgedStart) {
        if (const auto aged = this->pickAged(urgency, pass, now))
            return aged;
    }
    if (const auto critical = this->pickLatestStart(urgency, pass, now))
        return critical;
    if (const auto head = this->state.queue.next(urgency, pass.blocked, this->failed))
        return Pick{*head, Source::Fair};
    return std::nullopt;
}

void StartPass::runClass(UrgencyClass urgency, TimePoint now, std::vector<Decision> &decisions)
{
    ClassPass pass{.blocked = static_cast<LaneMask>(allLanes & ~this->dirtyLanes[at(urgency)])};
    const auto below = classBelow(urgency);
    pass.agedBlocked = below ? allLanes & ~this->dirtyLanes[at(*below)] : allLanes;
    std::fill(this->failed.begin(), this->failed.end(), 0);
    while (const auto pick = this->pick(urgency, pass, now)) {
        const Outcome outcome = this->tryBorrow(*pick, urgency, now, decisions);
        this->recordOutcome(*pick, outcome, pass);
        if (outcome != Outcome::Started)
            continue;
        std::uint32_t &count = this->startsSinceAged[at(urgency)];
        count = pick->source == Source::Aged ? 0 : count + 1;
    }
}

void StartPass::recordOutcome(const Pick &pick, Outcome outcome, ClassPass &pass)
{
    if (outcome == Outcome::Started)
        return;
    const LaneMask lane = laneBit(pick.head.lane);
    if (pick.source == Source::Aged) {
        pass.agedBlocked |= lane;
        return;
    }
    if (pick.source == Source::LatestStart)
        pass.latestStartBlocked |= lane;
    else
        this->failed[pick.head.customer.value] |= lane;
    // Another customer's shorter job may still be backfilled on reserved workers.
    const bool mayBackfill
        = this->reservations.count() != 0 && ++pass.backfillTries < maxBackfillTriesPerPass;
    if (outcome == Outcome::LaneBlocked && !mayBackfill)
        pass.blocked |= lane;
    if (pick.head.lane == SizeLane::Gang && ++pass.gangTries >= maxGangTriesPerPass)
        pass.blocked |= lane;
}

bool StartPass::isLaneFull(SizeLane lane, Pool pool) const
{
    // Each lane but Gang corresponds to one cell size; if no cell of that size is idle, no job of
    // the lane fits.
    if (lane == SizeLane::Gang)
        return false;
    const unsigned first = lane <= SizeLane::Slot ? 0 : static_cast<unsigned>(lane) - 1;
    for (unsigned order = first; order < cellOrderCount; ++order) {
        if (!this->state.fleet.workersWithIdleOrder(pool, IdleScope::All, order).isEmpty())
            return false;
    }
    return this->state.fleet.idleNonPowerOfTwo(pool, IdleScope::All).isEmpty();
}

StartPass::Outcome StartPass::tryPool(std::uint32_t job, Pool pool, SizeLane lane, TimePoint now,
                                      std::vector<Decision> &decisions)
{
    const JobRow &row = this->state.jobs.row(job);
    if (this->state.fleet.slots(pool) == 0)
        return Outcome::LaneBlocked;
    if (!this->state.budget.allows(this->state.fleet, pool, row.spec.urgency, row.slots()))
        return lane == SizeLane::Gang ? Outcome::JobBlocked : Outcome::LaneBlocked;
    if (this->lifecycle.startBorrowed(job, pool, now, decisions))
        return Outcome::Started;
    return this->isLaneFull(lane, pool) ? Outcome::LaneBlocked : Outcome::JobBlocked;
}

StartPass::Outcome StartPass::tryBorrow(const Pick &pick, UrgencyClass urgency, TimePoint now,
                                        std::vector<Decision> &decisions)
{
    const std::uint32_t job = pick.head.job;
    if (this->tryProbe(job, urgency, now, decisions))
        return Outcome::Started;
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    Outcome outcome = Outcome::LaneBlocked;
    if (spec.accelerators == 0)
        outcome = this->tryPool(job, Pool::CpuOnly, pick.head.lane, now, decisions);
    if (outcome != Outcome::Started) {
        const Outcome other = this->tryPool(job, Pool::Accelerated, pick.head.lane, now, decisions);
        if (other != Outcome::LaneBlocked)
            outcome = other;
    }
    if (outcome == Outcome::Started)
        return outcome;
    if (this->reservations.backfill(job, now, decisions))
        return Outcome::Started;
    if (this->mayPreemptOwnJob(spec) && this->lifecycle.preemptOwnJob(job, now, decisions))
        return Outcome::Started;
    this->reservations.tryReserve(job, pick.head.lane, now);
    return outcome;
}

bool StartPass::mayPreemptOwnJob(const QueuedJob &spec) const
{
    // Jobs of the same customer are preempted only for urgent jobs, for which a person waits.
    return spec.urgency == UrgencyClass::Urgent
        && this->state.budget.isWithinShare(this->state.fleet, Pool::Accelerated, spec.urgency,
                                            std::max<std::uint32_t>(spec.accelerators, 1));
}

bool StartPass::tryProbe(std::uint32_t job, UrgencyClass urgency, TimePoint now,
                         std::vector<Decision> &decisions)
{
    // A worker that failed is not probed with urgent jobs, and only with jobs that can be started
    // again.
    const WorkerSet &probes = this->state.fleet.probes();
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    if (probes.isEmpty() || urgency == UrgencyClass::Urgent || !spec.isPreemptible)
        return false;
    for (auto worker = probes.next(); worker; worker = probes.next({worker->value + 1})) {
        const WorkerRow &row = this->state.fleet.row(*worker);
        const bool fits = (spec.accelerators == 0) == (row.pool == Pool::CpuOnly)
            && std::max<std::uint32_t>(spec.accelerators, 1) <= row.slots;
        if (fits && this->lifecycle.startBorrowedOn(job, *worker, now, decisions))
            return true;
    }
    return false;
}

} // namespace Hibiscus
