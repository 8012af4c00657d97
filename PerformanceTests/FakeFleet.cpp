#include "FakeFleet.h"

#include <Fleet/SlotMasks.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace Hibiscus {

namespace {

constexpr Duration checkpointTime = seconds(1);
constexpr Duration stopTime = milliseconds(100);
constexpr std::uint32_t memoryPerSlotMiB = 1000;

/// Number of slots of `free` that lie in runs of `size` adjacent slots.
std::uint32_t slotsInRuns(SlotMask free, unsigned size)
{
    std::uint32_t sum = 0;
    for (unsigned first = 0; first + size <= slotsPerWorker;) {
        const SlotMask run = lowSlots(size) << first;
        const bool isFree = (free & run) == run;
        sum += isFree ? size : 0;
        first += isFree ? size : 1;
    }
    return sum;
}

/// Aborts on an inconsistent decision, because the results of such a scheduler would be
/// meaningless.
void require(bool isValid, const char *what)
{
    if (isValid)
        return;
    std::fprintf(stderr, "fake workers refused a decision: %s\n", what);
    std::abort();
}

} // namespace

FakeFleet::FakeFleet(Scheduler &scheduler, std::span<const Arrival> arrivals,
                     std::uint32_t silentInterval)
    : scheduler(scheduler)
    , arrivals(arrivals)
    , silentInterval(silentInterval)
    , outcomes(arrivals.size())
    , runs(arrivals.size())
{
    for (std::size_t job = 0; job < arrivals.size(); ++job) {
        if (arrivals[job].spec.accelerators > 1)
            this->gangs.push_back(job);
    }
}

void FakeFleet::addWorkers()
{
    for (std::uint32_t worker = 0; worker < traceWorkers; ++worker) {
        WorkerDescription description;
        description.rack = worker / workersPerRack;
        description.slots = slotsPerWorker;
        description.accelerators = slotsPerWorker;
        description.memoryMiB = memoryPerSlotMiB * slotsPerWorker;
        this->scheduler.workerUp({worker}, description, this->now);
    }
}

void FakeFleet::runUntil(TimePoint until)
{
    this->decide();
    for (TimePoint next = this->nextTime(); next <= until; next = this->nextTime()) {
        this->accumulateFragmentation(next);
        this->now = next;
        this->endDue();
        this->submitDue();
        this->decide();
    }
}

TimePoint FakeFleet::nextTime() const
{
    TimePoint next = TimePoint::max();
    if (this->nextArrival < this->arrivals.size())
        next = this->arrivals[this->nextArrival].when;
    if (!this->ends.empty())
        next = std::min(next, this->ends.top().when);
    const auto wakeup = this->scheduler.nextWakeup();
    if (wakeup && *wakeup > this->now)
        next = std::min(next, *wakeup);
    return next;
}

void FakeFleet::submitDue()
{
    while (this->nextArrival < this->arrivals.size()
           && this->arrivals[this->nextArrival].when <= this->now) {
        const std::size_t job = this->nextArrival++;
        this->outcomes[job].answer = this->scheduler.submit(this->arrivals[job].spec, this->now);
    }
}

void FakeFleet::endDue()
{
    while (!this->ends.empty() && this->ends.top().when <= this->now) {
        const End end = this->ends.top();
        this->ends.pop();
        Run &run = this->runs[end.job];
        if (run.placements.empty() || run.starts != end.start)
            continue;
        for (const Placement &part : run.placements)
            this->used[part.worker.value] &= ~part.slots;
        run.placements.clear();
        const bool isPreempted = end.kind == EndKind::Preempted;
        this->preempted += isPreempted;
        if (!isPreempted)
            this->outcomes[end.job].finished = this->now;
        this->scheduler.jobEnded(this->arrivals[end.job].spec.job, end.kind, std::nullopt,
                                 isPreempted, this->now);
    }
}

void FakeFleet::decide()
{
    this->decisions.clear();
    this->scheduler.decide(this->now, this->decisions);
    for (const Decision &decision : this->decisions)
        this->applyDecision(decision);
}

void FakeFleet::applyDecision(const Decision &decision)
{
    const std::size_t job = decision.job.value - 1;
    const bool isSilent = this->silentInterval != 0 && job % this->silentInterval == 0;
    if (decision.kind == DecisionKind::Start)
        this->start(job, decision.placements);
    else if (decision.kind == DecisionKind::Expire)
        this->outcomes[job].isExpired = true;
    else if (decision.kind == DecisionKind::Checkpoint && !isSilent)
        this->checkpoint(job);
    else if (decision.kind == DecisionKind::Stop)
        this->scheduleEnd(job, stopTime, EndKind::Preempted);
}

void FakeFleet::checkpoint(std::size_t job)
{
    Run &run = this->runs[job];
    if (run.isCheckpointing)
        return;
    run.isCheckpointing = true;
    run.checkpointedRunTime += this->now - run.since;
    this->scheduleEnd(job, checkpointTime, EndKind::Preempted);
}

void FakeFleet::start(std::size_t job, std::span<const Placement> placements)
{
    Run &run = this->runs[job];
    require(run.placements.empty(), "the job is already running");
    std::uint32_t slots = 0;
    for (const Placement &part : placements) {
        SlotMask &mask = this->used[part.worker.value];
        require((mask & part.slots) == 0, "the slot already has a job");
        mask |= part.slots;
        slots += static_cast<std::uint32_t>(std::popcount(part.slots));
    }
    require(slots == this->arrivals[job].spec.accelerators,
            "the job has fewer or more accelerators than requested");
    run.placements.assign(placements.begin(), placements.end());
    ++run.starts;
    run.since = this->now;
    run.isCheckpointing = false;
    Outcome &outcome = this->outcomes[job];
    outcome.started = outcome.started.value_or(this->now);
    this->scheduler.jobStarted(this->arrivals[job].spec.job, this->now);
    this->scheduleEnd(job, this->arrivals[job].runTime - run.checkpointedRunTime,
                      EndKind::Finished);
}

void FakeFleet::scheduleEnd(std::size_t job, Duration after, EndKind kind)
{
    this->ends.push({this->now + after, ++this->lastSequence, job, this->runs[job].starts, kind});
}

std::uint16_t FakeFleet::nextGang()
{
    while (this->firstWaitingGang < this->gangs.size()) {
        const std::size_t job = this->gangs[this->firstWaitingGang];
        const Outcome &outcome = this->outcomes[job];
        if (!outcome.started && outcome.answer.isAccepted() && !outcome.isExpired)
            return this->arrivals[job].spec.accelerators;
        ++this->firstWaitingGang;
    }
    return 0;
}

std::uint32_t FakeFleet::usableSlots(std::uint16_t gang) const
{
    std::uint32_t usable = 0;
    for (const SlotMask mask : this->used)
        usable += slotsInRuns(~mask & lowSlots(slotsPerWorker), std::min(gang, slotsPerWorker));
    return usable >= gang ? usable : 0;
}

void FakeFleet::accumulateFragmentation(TimePoint until)
{
    const TimePoint end = std::min(until, traceBegin + traceSpan);
    const std::uint16_t gang = this->nextGang();
    if (end <= this->now || gang == 0)
        return;
    std::uint32_t free = 0;
    unsigned largest = 0;
    for (const SlotMask mask : this->used) {
        const SlotMask idle = ~mask & lowSlots(slotsPerWorker);
        free += static_cast<std::uint32_t>(std::popcount(idle));
        while (largest < slotsPerWorker && slotsInRuns(idle, largest + 1) != 0)
            ++largest;
    }
    const double length = toSeconds(end - this->now);
    const std::uint32_t usable = this->usableSlots(gang);
    this->measuredSeconds += length;
    this->unusableSum += free == 0 ? 0 : length * (free - usable) / free;
    this->largestFreeCellSum += length * largest;
}

FragmentationMetrics FakeFleet::fragmentation() const
{
    const double length = std::max(this->measuredSeconds, 1e-9);
    return {this->unusableSum / length, this->largestFreeCellSum / length};
}

} // namespace Hibiscus
