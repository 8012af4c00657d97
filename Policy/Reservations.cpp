#include <Policy/Reservations.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus {

namespace {

/// Minimum remaining time of a job that has exceeded its expected run time. Such a job is assumed
/// to need another half of its elapsed time, but at least this.
constexpr Duration minRemainingTime = seconds(1);
/// How long a refused reservation is not retried.
constexpr Duration refusalLifetime = seconds(10);
/// A reservation older than this multiple of `backfillCutoff` is removed, so that its job chooses
/// other workers.
constexpr int staleCutoffFactor = 2;
/// Candidate workers for a job that needs a single worker.
constexpr std::size_t maxSingleWorkerCandidates = 128;
/// Reserved workers tried for one backfill job.
constexpr unsigned maxBackfillTries = 16;

std::uint32_t slotsOf(const QueuedJob &spec)
{
    return std::max<std::uint32_t>(spec.accelerators, 1);
}

} // namespace

bool Reservations::hasReservation(std::uint32_t job) const
{
    return std::any_of(this->reservations.begin(), this->reservations.end(),
                       [job](const Reservation &each) { return each.job == job; });
}

void Reservations::tryReserve(std::uint32_t job, SizeLane lane, TimePoint now)
{
    const JobRow &row = this->state.jobs.row(job);
    const UrgencyClass urgency = row.spec.urgency;
    if (slotsOf(row.spec) == 1 && lane <= SizeLane::Slot)
        return;
    if (slotsOf(row.spec)
        > this->state.budget.slotLimit(this->state.fleet, Pool::Accelerated, urgency))
        return;
    for (const Reservation &each : this->reservations) {
        if (each.job == job || (each.urgency == urgency && each.lane == lane))
            return;
    }
    this->expireRefusals(now);
    if (this->refusedJobs.find(row.spec.job.value))
        return;
    if (!this->chooseWorkers(row.spec, now)) {
        this->refusedJobs.insert(row.spec.job.value, 0);
        return;
    }
    Reservation reservation{.job = job, .id = row.spec.job, .urgency = urgency, .lane = lane};
    reservation.since = now;
    for (const Candidate &candidate : this->chosen) {
        reservation.readyAt = std::max(reservation.readyAt, candidate.readyAt);
        reservation.workers.push_back(candidate.worker);
        this->state.fleet.setReserved(candidate.worker, true);
    }
    this->reservations.push_back(std::move(reservation));
}

void Reservations::expireRefusals(TimePoint now)
{
    const bool isFresh = this->refusalEpoch == this->state.fleet.serviceEpoch()
        && now - this->refusalsSince < refusalLifetime;
    if (isFresh)
        return;
    this->refusedJobs = {};
    this->refusalEpoch = this->state.fleet.serviceEpoch();
    this->refusalsSince = now;
}

TimePoint Reservations::readyAt(WorkerId worker, TimePoint now) const
{
    const WorkerRow &row = this->state.fleet.row(worker);
    TimePoint latest = now;
    std::uint32_t last = noJob;
    for (SlotMask rest = row.occupied; rest != 0; rest &= rest - 1) {
        const std::uint32_t job = this->state.fleet.jobAt(worker, std::countr_zero(rest));
        if (job == last)
            continue;
        last = job;
        const JobRow &running = this->state.jobs.row(job);
        TimePoint end = running.startedAt + running.expected;
        if (end <= now)
            end = now + std::max(minRemainingTime, (now - running.startedAt) / 2);
        latest = std::max(latest, end);
    }
    return latest;
}

void Reservations::collectCandidates(const QueuedJob &spec, std::uint32_t rack, TimePoint now)
{
    const FleetTable &fleet = this->state.fleet;
    const BorrowConstraints constraints = this->lifecycle.constraintsFor(spec);
    for (const WorkerId worker : fleet.racks()[rack].workers) {
        const WorkerRow &row = fleet.row(worker);
        const bool fits = row.service == ServiceLevel::Full && row.pool == Pool::Accelerated
            && row.slots == fleet.shape().workerSlots && row.memoryMiB >= spec.memoryMiB;
        const bool isUnavailable
            = row.isReserved || row.held != 0 || (row.bound != 0 && !constraints.mayUseBound);
        if (fits && !isUnavailable)
            this->candidates.push_back({worker, this->readyAt(worker, now)});
    }
}

void Reservations::chooseEarliest(std::uint32_t parts)
{
    if (this->candidates.size() < parts)
        return;
    const auto earlier = [](const Candidate &left, const Candidate &right) {
        return left.readyAt != right.readyAt ? left.readyAt < right.readyAt
                                             : left.worker < right.worker;
    };
    std::sort(this->candidates.begin(), this->candidates.end(), earlier);
    const TimePoint ready = this->candidates[parts - 1].readyAt;
    if (!this->chosen.empty() && this->chosen.back().readyAt <= ready)
        return;
    this->chosen.assign(this->candidates.begin(), this->candidates.begin() + parts);
}

void Reservations::chooseWindow(const QueuedJob &spec, std::uint32_t parts, TimePoint now)
{
    const FleetTable &fleet = this->state.fleet;
    const auto order = fleet.racksByNumber();
    const std::size_t perRack = std::max<std::size_t>(fleet.shape().rackWorkers, 1);
    const std::size_t racks
        = spec.adjacency == Adjacency::Rack ? 1 : (parts + perRack - 1) / perRack + 1;
    for (std::size_t first = 0; first < order.size(); ++first) {
        this->candidates.clear();
        for (std::size_t place = first; place < std::min(first + racks, order.size()); ++place) {
            if (place != first && fleet.nextRack(order[place - 1]) != order[place])
                break;
            this->collectCandidates(spec, order[place], now);
        }
        this->chooseEarliest(parts);
    }
}

bool Reservations::chooseWorkers(const QueuedJob &spec, TimePoint now)
{
    this->chosen.clear();
    const FleetTable &fleet = this->state.fleet;
    const std::uint32_t perWorker = fleet.shape().workerSlots;
    if (perWorker == 0)
        return false;
    const std::uint32_t parts = (slotsOf(spec) + perWorker - 1) / perWorker;
    if (parts > 1 && spec.adjacency != Adjacency::Any) {
        this->chooseWindow(spec, parts, now);
        return !this->chosen.empty();
    }
    this->candidates.clear();
    // A single worker is chosen from a part of the fleet, a different part each time.
    const std::size_t enough = parts == 1 ? maxSingleWorkerCandidates : fleet.workerCount();
    const auto rackCount = static_cast<std::uint32_t>(fleet.racks().size());
    for (std::uint32_t seen = 0; seen < rackCount && this->candidates.size() < enough; ++seen) {
        this->nextRack = (this->nextRack + 1) % rackCount;
        this->collectCandidates(spec, this->nextRack, now);
    }
    this->chooseEarliest(parts);
    return !this->chosen.empty();
}

bool Reservations::isObsolete(const Reservation &reservation) const
{
    const JobRow &row = this->state.jobs.row(reservation.job);
    return row.spec.job != reservation.id || row.phase != JobPhase::Queued;
}

void Reservations::cancelReservation(std::size_t index)
{
    for (const WorkerId worker : this->reservations[index].workers)
        this->state.fleet.setReserved(worker, false);
    this->reservations.erase(this->reservations.begin() + static_cast<std::ptrdiff_t>(index));
}

void Reservations::workerLost(WorkerId worker)
{
    for (std::size_t index = this->reservations.size(); index-- > 0;) {
        const auto &workers = this->reservations[index].workers;
        if (std::find(workers.begin(), workers.end(), worker) != workers.end())
            this->cancelReservation(index);
    }
}

void Reservations::advance(TimePoint now, std::vector<Decision> &decisions)
{
    for (std::size_t index = this->reservations.size(); index-- > 0;) {
        Reservation &reservation = this->reservations[index];
        if (this->isObsolete(reservation) || this->tryStart(reservation, now, decisions)) {
            this->cancelReservation(index);
            continue;
        }
        const bool isStale
            = now - reservation.since > this->state.settings.backfillCutoff * staleCutoffFactor;
        if (this->areWorkersIdle(reservation)) {
            // All workers are idle and the job still may not start on them, because the budget or a
            // guarantee takes precedence.
            this->refusedJobs.insert(reservation.id.value, 0);
            this->cancelReservation(index);
        } else if (isStale) {
            this->cancelReservation(index);
        } else {
            this->migrateRemainingBorrowers(reservation, now);
        }
    }
    this->updateReservedSlots();
}

void Reservations::updateReservedSlots()
{
    std::array<std::uint32_t, urgencyClassCount> kept{};
    for (const Reservation &reservation : this->reservations) {
        for (const WorkerId worker : reservation.workers)
            kept[static_cast<std::size_t>(reservation.urgency)]
                += std::popcount(this->state.fleet.row(worker).idle());
    }
    for (std::size_t urgency = 0; urgency < urgencyClassCount; ++urgency)
        this->state.budget.setReserved(static_cast<UrgencyClass>(urgency), kept[urgency]);
}

bool Reservations::areWorkersIdle(const Reservation &reservation) const
{
    return std::all_of(reservation.workers.begin(), reservation.workers.end(),
                       [this](WorkerId worker) {
                           const WorkerRow &row = this->state.fleet.row(worker);
                           return row.idle() == row.full();
                       });
}

bool Reservations::tryStart(Reservation &reservation, TimePoint now,
                            std::vector<Decision> &decisions)
{
    const QueuedJob &spec = this->state.jobs.row(reservation.job).spec;
    if (!this->state.budget.isWithinShare(this->state.fleet, Pool::Accelerated, spec.urgency,
                                          slotsOf(spec)))
        return false;
    if (reservation.workers.size() == 1)
        return this->lifecycle.startBorrowedOn(reservation.job, reservation.workers.front(), now,
                                               decisions);
    return this->lifecycle.startGangOn(reservation.job, reservation.workers, now, decisions);
}

void Reservations::migrateRemainingBorrowers(Reservation &reservation, TimePoint now)
{
    if (reservation.hasMigrated || now - reservation.since < this->state.settings.migrationDelay)
        return;
    const FleetTable &fleet = this->state.fleet;
    this->remainingBorrowers.clear();
    std::uint32_t slots = 0;
    for (const WorkerId worker : reservation.workers) {
        const WorkerRow &row = fleet.row(worker);
        for (SlotMask rest = row.occupied; rest != 0; rest &= rest - 1) {
            const std::uint32_t job = fleet.jobAt(worker, std::countr_zero(rest));
            if (std::find(this->remainingBorrowers.begin(), this->remainingBorrowers.end(), job)
                != this->remainingBorrowers.end())
                continue;
            // Jobs that are not preemptible, or that are more urgent than the waiting job, have to
            // end by themselves.
            if (!this->state.cost.mayPreempt(job)
                || this->state.jobs.row(job).spec.urgency < reservation.urgency)
                return;
            this->remainingBorrowers.push_back(job);
            slots += this->state.jobs.row(job).slots();
        }
    }
    const JobRow &waiting = this->state.jobs.row(reservation.job);
    if (slots > this->state.settings.maxMigratedShare * waiting.slots())
        return;
    reservation.hasMigrated = true;
    for (const std::uint32_t job : this->remainingBorrowers)
        this->state.reclaimer.requestMigration(job, this->state.jobs.row(job).spec.job, now);
}

UrgencyClass Reservations::effectiveUrgency(const Reservation &reservation, TimePoint now) const
{
    const JobRow &row = this->state.jobs.row(reservation.job);
    const bool hasAged = now - row.submitted >= this->state.limits(reservation.urgency).ageing;
    if (!hasAged || reservation.urgency == UrgencyClass::Urgent)
        return reservation.urgency;
    return static_cast<UrgencyClass>(static_cast<std::size_t>(reservation.urgency) - 1);
}

bool Reservations::mayBackfill(const Reservation &reservation, std::uint32_t job,
                               TimePoint now) const
{
    const JobRow &row = this->state.jobs.row(job);
    if (row.spec.urgency < this->effectiveUrgency(reservation, now))
        return true;
    if (now - reservation.since > this->state.settings.backfillCutoff)
        return false;
    const auto needed
        = std::chrono::duration_cast<Duration>(row.expected * this->state.settings.backfillMargin);
    return now + needed <= reservation.readyAt;
}

bool Reservations::backfill(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions)
{
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    if (slotsOf(spec) > this->state.fleet.shape().workerSlots
        || !this->state.budget.isWithinShare(this->state.fleet, Pool::Accelerated, spec.urgency,
                                             slotsOf(spec)))
        return false;
    for (const Reservation &reservation : this->reservations) {
        if (reservation.job == job || !this->mayBackfill(reservation, job, now))
            continue;
        unsigned tries = 0;
        for (const WorkerId worker : reservation.workers) {
            if (this->state.fleet.row(worker).idle() == 0)
                continue;
            if (this->lifecycle.startBorrowedOn(job, worker, now, decisions))
                return true;
            if (++tries == maxBackfillTries)
                break;
        }
    }
    return false;
}

} // namespace Hibiscus
