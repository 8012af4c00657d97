#include <Policy/FirstFitScheduler.h>

#include <algorithm>
#include <bit>
#include <cassert>

namespace Hibiscus {

namespace {

SlotMask allSlots(std::uint16_t slots)
{
    return slots >= maxSlots ? ~SlotMask(0) : (SlotMask(1) << slots) - 1;
}

/// The lowest `count` adjacent slots of `free`; 0 if there are none.
SlotMask lowestRun(SlotMask free, std::uint16_t slots, std::uint16_t count)
{
    const SlotMask run = allSlots(count);
    for (std::uint16_t first = 0; first + count <= slots; ++first) {
        const SlotMask candidate = run << first;
        if ((free & candidate) == candidate)
            return candidate;
    }
    return 0;
}

} // namespace

void FirstFitScheduler::setCustomers(std::span<const CustomerEntitlement> customers, TimePoint)
{
    this->customers = customers.size();
}

void FirstFitScheduler::setPreset(const Preset &, bool dataCenterClosed, TimePoint)
{
    this->serving = !dataCenterClosed;
}

void FirstFitScheduler::workerUp(WorkerId worker, const WorkerDescription &description, TimePoint)
{
    Worker &entry = this->workers[worker];
    const SlotMask taken = allSlots(entry.slots) & ~entry.free;
    entry.slots = description.slots;
    entry.accelerated = description.accelerators > 0;
    entry.usable = !description.leaving;
    entry.free = allSlots(entry.slots) & ~taken;
}

void FirstFitScheduler::workerLeaving(WorkerId worker, TimePoint)
{
    this->workers[worker].usable = false;
}

void FirstFitScheduler::workerDown(WorkerId worker, TimePoint)
{
    this->workers[worker].usable = false;
}

Admission FirstFitScheduler::submit(const QueuedJob &job, TimePoint)
{
    if (job.customer.value >= this->customers)
        return {RefusalReason::UnknownCustomer, std::nullopt};
    if (!this->serving && !job.wasAdmitted)
        return {RefusalReason::NotServing, seconds(1)};
    // Until the first worker is known, nothing can be said about whether a job fits.
    if (!this->workers.empty() && this->findPlacements(job, true).empty())
        return {RefusalReason::NeverFits, std::nullopt};
    Job &entry = this->jobs[job.job];
    entry.spec = job;
    entry.sequence = ++this->lastSequence;
    this->enqueue(entry);
    return {};
}

bool FirstFitScheduler::adopt(const QueuedJob &job, std::span<const Placement> placements,
                              TimePoint)
{
    for (const Placement &placement : placements) {
        if ((this->workers[placement.worker].free & placement.slots) != placement.slots)
            return false;
    }
    Job &entry = this->jobs[job.job];
    entry.spec = job;
    entry.sequence = ++this->lastSequence;
    entry.placements.assign(placements.begin(), placements.end());
    this->occupy(entry.placements);
    return true;
}

bool FirstFitScheduler::cancel(JobId job, TimePoint)
{
    const auto it = this->jobs.find(job);
    if (it == this->jobs.end() || !it->second.placements.empty())
        return false;
    this->dequeue(it->second);
    this->jobs.erase(it);
    return true;
}

void FirstFitScheduler::jobStarted(JobId, TimePoint) {}

void FirstFitScheduler::jobEnded(JobId job, EndKind, std::optional<WorkerId>, bool requeue,
                                 TimePoint)
{
    const auto it = this->jobs.find(job);
    assert(it != this->jobs.end());
    this->release(it->second.placements);
    it->second.placements.clear();
    if (requeue)
        this->enqueue(it->second);
    else
        this->jobs.erase(it);
}

std::vector<Placement> FirstFitScheduler::findPlacements(const QueuedJob &job,
                                                         bool whenAllFree) const
{
    const std::uint16_t wanted = std::max<std::uint16_t>(job.accelerators, 1);
    std::vector<Placement> found;
    std::uint32_t missing = wanted;
    for (const auto &[id, worker] : this->workers) {
        const bool suits = worker.accelerated || job.accelerators == 0;
        if (!suits || (!whenAllFree && !worker.usable))
            continue;
        const SlotMask free = whenAllFree ? allSlots(worker.slots) : worker.free;
        const auto share
            = static_cast<std::uint16_t>(std::min<std::uint32_t>(missing, worker.slots));
        // Only a job that does not fit on one worker is spread, and only over whole workers.
        const bool spread = wanted > worker.slots;
        if (spread && free != allSlots(worker.slots))
            continue;
        const SlotMask slots = lowestRun(free, worker.slots, spread ? share : wanted);
        if (slots == 0)
            continue;
        found.push_back({id, slots});
        missing -= static_cast<std::uint32_t>(std::popcount(slots));
        if (missing == 0)
            return found;
    }
    return {};
}

void FirstFitScheduler::occupy(std::span<const Placement> placements)
{
    for (const Placement &placement : placements)
        this->workers[placement.worker].free &= ~placement.slots;
}

void FirstFitScheduler::release(std::span<const Placement> placements)
{
    for (const Placement &placement : placements)
        this->workers[placement.worker].free |= placement.slots;
}

void FirstFitScheduler::enqueue(const Job &job)
{
    auto &lane = this->lanes[this->laneOf(job.spec)];
    if (lane.empty())
        this->laneActivated(this->laneOf(job.spec));
    lane.emplace(job.sequence, job.spec.job);
}

void FirstFitScheduler::dequeue(const Job &job)
{
    const auto lane = this->lanes.find(this->laneOf(job.spec));
    lane->second.erase(job.sequence);
    if (lane->second.empty())
        this->lanes.erase(lane);
}

bool FirstFitScheduler::startOne(std::vector<Decision> &decisions)
{
    std::vector<std::uint32_t> order;
    for (const auto &[lane, waiting] : this->lanes)
        order.push_back(lane);
    std::stable_sort(order.begin(), order.end(), [this](std::uint32_t left, std::uint32_t right) {
        return this->rank(left) < this->rank(right);
    });
    for (const std::uint32_t lane : order) {
        Job &job = this->jobs.at(this->lanes.at(lane).begin()->second);
        job.placements = this->findPlacements(job.spec, false);
        if (job.placements.empty())
            continue;
        this->occupy(job.placements);
        this->dequeue(job);
        this->charge(job.spec);
        decisions.push_back(
            {DecisionKind::Start, job.spec.job, job.placements, RefusalReason::None});
        return true;
    }
    return false;
}

void FirstFitScheduler::decide(TimePoint, std::vector<Decision> &decisions)
{
    while (this->serving && this->startOne(decisions)) {}
}

SchedulerGauges FirstFitScheduler::gauges() const
{
    SchedulerGauges gauges;
    for (const auto &[id, worker] : this->workers) {
        gauges.slots += worker.slots;
        gauges.freeSlots += static_cast<std::uint32_t>(std::popcount(worker.free));
        for (std::uint16_t size = worker.slots; size > gauges.largestFreeCell; --size) {
            if (lowestRun(worker.free, worker.slots, size) != 0)
                gauges.largestFreeCell = size;
        }
    }
    for (const auto &[id, job] : this->jobs) {
        auto &counts = job.placements.empty() ? gauges.queued : gauges.running;
        ++counts[static_cast<std::size_t>(job.spec.urgency)];
    }
    return gauges;
}

} // namespace Hibiscus
