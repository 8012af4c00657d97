#include <Policy/AdmissionControl.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace {

std::uint32_t slotsOf(const QueuedJob &job)
{
    return std::max<std::uint32_t>(job.accelerators, 1);
}

Admission refuse(RefusalReason reason, std::optional<Duration> retryAfter = std::nullopt)
{
    return {.refusal = reason, .retryAfter = retryAfter};
}

std::uint64_t slotCount(const CellCounts &cells, const CellShape &shape)
{
    const std::uint64_t worker = shape.workerSlots;
    const std::array<std::uint64_t, cellLevelCount> sizes{1, 2, 4, worker,
                                                          worker * shape.rackWorkers};
    std::uint64_t sum = 0;
    for (std::size_t level = 0; level < cellLevelCount; ++level)
        sum += cells[level] * sizes[level];
    return sum;
}

} // namespace

Admission AdmissionControl::admit(const QueuedJob &job, TimePoint now)
{
    if (job.customer.value >= this->state.customerCount)
        return refuse(RefusalReason::UnknownCustomer);
    if (!job.wasAdmitted) {
        const Admission answer = this->checkPreset(job);
        if (!answer.isAccepted())
            return answer;
    }
    // Until the first worker is known, for example after a restart, nothing can be said about
    // whether a job fits.
    if (this->state.fleet.workerCount() != 0 && !this->canEverFit(job))
        return refuse(RefusalReason::NeverFits);
    if (job.wasAdmitted)
        return {};
    return this->checkQueue(job, now);
}

Admission AdmissionControl::checkPreset(const QueuedJob &job) const
{
    if (!this->state.isServing() || this->state.fleet.workerCount() == 0)
        return refuse(RefusalReason::NotServing, this->state.settings.closedRetryDelay);
    if (job.declaredRunTime > this->state.limits(job.urgency).longestRun)
        return refuse(RefusalReason::RunTooLong);
    return {};
}

Duration AdmissionControl::clampedRetryDelay(double seconds) const
{
    const double bounded = std::clamp(seconds, toSeconds(this->state.settings.minRetryDelay),
                                      toSeconds(this->state.settings.maxRetryDelay));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

Admission AdmissionControl::checkQueue(const QueuedJob &job, TimePoint now) const
{
    const std::uint32_t queued = this->state.queue.queued(job.customer, job.urgency);
    const Duration wait = this->expectedWait(job);
    if (queued >= this->state.limits(job.urgency).queuedPerCustomer) {
        // A single queue slot frees up after one job's share of the wait. With many callers refused
        // at once a retry pays off only after a tenth of the queue has drained.
        const double tenthOfQueue = std::max(1.0, queued / 10.0);
        const double perJob = toSeconds(wait) / std::max<std::uint32_t>(queued, 1);
        return refuse(RefusalReason::QueueFull, this->clampedRetryDelay(perJob * tenthOfQueue));
    }
    if (!job.deadline)
        return {};
    const Duration expected = this->state.runTimes.expected(job);
    const Duration slack = *job.deadline - now - expected;
    if (slack < Duration::zero())
        return refuse(RefusalReason::DeadlineUnreachable);
    if (wait > slack)
        return refuse(RefusalReason::DeadlineUnreachable,
                      this->clampedRetryDelay(toSeconds(wait - slack)));
    return {};
}

double AdmissionControl::slotsForClass(const QueuedJob &job) const
{
    const FleetTable &fleet = this->state.fleet;
    double slots = this->state.budget.slotLimit(fleet, Pool::Accelerated, job.urgency);
    if (job.accelerators == 0)
        slots += this->state.budget.slotLimit(fleet, Pool::CpuOnly, job.urgency);
    return std::max(slots, 1.0);
}

Duration AdmissionControl::expectedWait(const QueuedJob &job) const
{
    // A job waits behind the queued work of its own class and of more urgent classes, but never
    // longer than its customer's own queue takes at the customer's share, because the share is
    // granted regardless of the other customers' demand.
    const JobQueue &queue = this->state.queue;
    double totalWork = 0;
    double ownWork = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(job.urgency); ++index) {
        const auto urgency = static_cast<UrgencyClass>(index);
        totalWork += queue.work(urgency);
        ownWork += queue.work(job.customer, urgency);
    }
    if (totalWork <= 0)
        return Duration::zero();
    const double slots = this->slotsForClass(job);
    const bool isQueued = ownWork > 0;
    const double share = queue.share(job.customer);
    const double active = queue.activeShares(job.urgency) + (isQueued ? 0 : share);
    const double guaranteed = static_cast<double>(
        slotCount(this->state.bindings.guarantee(job.customer), this->state.fleet.shape()));
    const double ownSlots = std::max({slots * share / active, guaranteed, 1.0});
    const double wait = std::min(totalWork / slots, ownWork / ownSlots);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

void AdmissionControl::refreshCapacity()
{
    const FleetTable &fleet = this->state.fleet;
    const bool isFresh = this->seenServiceEpoch == fleet.serviceEpoch()
        && this->seenGuaranteeRevision == this->state.bindings.revision();
    if (isFresh)
        return;
    this->seenServiceEpoch = fleet.serviceEpoch();
    this->seenGuaranteeRevision = this->state.bindings.revision();
    this->capacity = {};
    for (std::uint32_t index = 0; index < fleet.workerCount(); ++index) {
        if (this->state.presence[index] != Presence::Present)
            continue;
        const WorkerRow &row = fleet.row({index});
        const auto pool = static_cast<std::size_t>(row.pool);
        std::uint32_t &memory = this->capacity.largestMemory[pool][row.slots];
        memory = std::max(memory, std::max<std::uint32_t>(row.memoryMiB, 1));
        this->capacity.slots[pool] += row.slots;
        if (row.pool != Pool::Accelerated || row.slots != fleet.shape().workerSlots)
            continue;
        ++this->capacity.standardWorkers;
        this->capacity.smallestStandardMemory
            = std::min(this->capacity.smallestStandardMemory, row.memoryMiB);
    }
    // A job that fits a worker also fits a worker with more slots.
    for (auto &memories : this->capacity.largestMemory) {
        for (std::size_t slots = maxSlots; slots-- > 0;)
            memories[slots] = std::max(memories[slots], memories[slots + 1]);
    }
    for (std::size_t customer = 0; customer < this->state.bindings.customerCount(); ++customer) {
        const CustomerId id{static_cast<std::uint16_t>(customer)};
        this->capacity.guaranteedSlots
            += slotCount(this->state.bindings.guarantee(id), fleet.shape());
    }
}

bool AdmissionControl::canEverFit(const QueuedJob &job)
{
    this->refreshCapacity();
    if (!this->fitsWorkers(job))
        return false;
    return this->fitsGuarantee(job) || this->fitsBeyondGuarantees(job);
}

bool AdmissionControl::fitsWorkers(const QueuedJob &job) const
{
    const auto fits = [&](Pool pool) {
        const auto &memories = this->capacity.largestMemory[static_cast<std::size_t>(pool)];
        const std::uint32_t memory = memories[slotsOf(job)];
        return memory != 0 && memory >= job.memoryMiB;
    };
    if (job.accelerators == 0)
        return fits(Pool::CpuOnly) || fits(Pool::Accelerated);
    if (job.accelerators > this->state.fleet.shape().workerSlots)
        return this->gangFitsWorkers(job);
    return fits(Pool::Accelerated);
}

bool AdmissionControl::gangFitsWorkers(const QueuedJob &job) const
{
    const FleetTable &fleet = this->state.fleet;
    if (job.adjacency == Adjacency::Worker || fleet.guaranteePool() != Pool::Accelerated)
        return false;
    const std::uint32_t perWorker = fleet.shape().workerSlots;
    const std::uint32_t parts = (job.accelerators + perWorker - 1) / perWorker;
    if (parts > this->capacity.standardWorkers)
        return false;
    // Shortcut for most gangs: without adjacency and memory constraints the worker count decides,
    // and the racks need not be visited.
    if (job.adjacency == Adjacency::Any && job.memoryMiB <= this->capacity.smallestStandardMemory)
        return true;
    std::uint32_t run = 0;
    std::optional<std::uint32_t> previous;
    for (const std::uint32_t rack : fleet.racksByNumber()) {
        std::uint32_t count = 0;
        for (const WorkerId worker : fleet.racks()[rack].workers) {
            const WorkerRow &row = fleet.row(worker);
            count += this->state.presence[worker.value] == Presence::Present
                && row.pool == Pool::Accelerated && row.slots == perWorker
                && row.memoryMiB >= job.memoryMiB;
        }
        const bool joins = job.adjacency == Adjacency::Any
            || (job.adjacency == Adjacency::NeighboringRacks && previous && count != 0
                && fleet.nextRack(*previous) == rack);
        run = joins ? run + count : count;
        if (run >= parts)
            return true;
        previous = count != 0 ? std::optional(rack) : std::nullopt;
    }
    return false;
}

bool AdmissionControl::fitsGuarantee(const QueuedJob &job) const
{
    const FleetTable &fleet = this->state.fleet;
    const CellCounts &cells = this->state.bindings.guarantee(job.customer);
    const std::uint32_t perWorker = std::max<std::uint32_t>(fleet.shape().workerSlots, 1);
    const std::uint32_t workers = cells[static_cast<std::size_t>(CellLevel::Worker)]
        + cells[static_cast<std::size_t>(CellLevel::Rack)] * fleet.shape().rackWorkers;
    if (slotsOf(job) > perWorker)
        return workers >= (slotsOf(job) + perWorker - 1) / perWorker;
    if (workers != 0)
        return true;
    for (unsigned level = 0; level < static_cast<unsigned>(CellLevel::Worker); ++level) {
        if (cells[level] != 0 && slotsOf(job) <= (1U << level))
            return true;
    }
    return false;
}

bool AdmissionControl::fitsBeyondGuarantees(const QueuedJob &job) const
{
    const auto slotCount
        = [&](Pool pool) { return double(this->capacity.slots[static_cast<std::size_t>(pool)]); };
    const bool hasCpuOnly = job.accelerators == 0 && slotCount(Pool::CpuOnly) > 0;
    const Pool pool = hasCpuOnly ? Pool::CpuOnly : Pool::Accelerated;
    double roomSlots = slotCount(pool);
    if (this->state.preset)
        roomSlots *= std::min(1.0, this->state.limits(job.urgency).largestShare);
    const bool excludesGuaranteedSlots = !job.isPreemptible || !this->state.isLending();
    if (excludesGuaranteedSlots && pool == this->state.fleet.guaranteePool())
        roomSlots = std::min(roomSlots, slotCount(pool) - double(this->capacity.guaranteedSlots));
    return slotsOf(job) <= roomSlots;
}

} // namespace Hibiscus
