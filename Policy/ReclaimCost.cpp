#include <Policy/ReclaimCost.h>

#include <algorithm>

namespace Hibiscus {

namespace {

/// Cost of one slot by urgency class. One slot of a class outweighs a whole rack of the next less
/// urgent class.
constexpr std::array<double, urgencyClassCount> slotCost{1e8, 1e4, 1};
/// Cost of a job that is already being preempted: low, because it is about to end, but above the
/// cost of idle slots.
constexpr double preemptedJobCost = 0.1;

} // namespace

bool ReclaimCost::mayPreempt(std::uint32_t job) const
{
    const JobRow &row = this->jobs.row(job);
    return row.holdsCells() && !row.isGuaranteed && !row.isPinned;
}

double ReclaimCost::costOf(std::uint32_t job) const
{
    const JobRow &row = this->jobs.row(job);
    if (row.isBeingPreempted)
        return preemptedJobCost;
    return slotCost[static_cast<std::size_t>(row.spec.urgency)] * row.slots();
}

std::optional<double> ReclaimCost::costOfSlots(WorkerId worker, SlotMask slots) const
{
    const WorkerRow &row = this->fleet.row(worker);
    if ((row.held & slots) != 0)
        return std::nullopt;
    double cost = 0;
    std::uint32_t last = noJob;
    for (SlotMask rest = slots & row.occupied; rest != 0; rest &= rest - 1) {
        const std::uint32_t job = this->fleet.jobAt(worker, std::countr_zero(rest));
        // A job's slots on a worker are adjacent, so comparing with the previous slot's job finds
        // duplicates.
        if (job == last)
            continue;
        last = job;
        if (!this->mayPreempt(job))
            return std::nullopt;
        cost += this->costOf(job);
    }
    return cost;
}

std::optional<double> ReclaimCost::costOfSlots(WorkerId worker, SlotMask slots,
                                               std::uint32_t memoryMiB) const
{
    auto cost = this->costOfSlots(worker, slots);
    if (!cost || this->fleet.row(worker).idleMemoryMiB() >= memoryMiB)
        return cost;
    this->scratch.clear();
    this->collect(worker, slots, memoryMiB, this->scratch);
    std::int64_t idle = this->fleet.row(worker).idleMemoryMiB();
    *cost = 0;
    for (const std::uint32_t job : this->scratch) {
        idle += this->jobs.row(job).spec.memoryMiB;
        *cost += this->costOf(job);
    }
    if (idle < memoryMiB)
        return std::nullopt;
    return cost;
}

void ReclaimCost::collect(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB,
                          std::vector<std::uint32_t> &borrowers) const
{
    const WorkerRow &row = this->fleet.row(worker);
    std::int64_t idle = row.idleMemoryMiB();
    for (SlotMask rest = slots & row.occupied; rest != 0; rest &= rest - 1) {
        const std::uint32_t job = this->fleet.jobAt(worker, std::countr_zero(rest));
        const bool isNew = std::find(borrowers.begin(), borrowers.end(), job) == borrowers.end();
        if (isNew)
            borrowers.push_back(job);
    }
    for (const std::uint32_t job : borrowers) {
        for (const Placement &part : this->jobs.placements(job))
            idle += part.worker == worker ? this->jobs.row(job).spec.memoryMiB : 0;
    }
    while (idle < memoryMiB) {
        const std::uint32_t job = this->nextForMemory(worker, slots, borrowers);
        if (job == noJob)
            return;
        borrowers.push_back(job);
        idle += this->jobs.row(job).spec.memoryMiB;
    }
}

std::uint32_t ReclaimCost::nextForMemory(WorkerId worker, SlotMask slots,
                                         const std::vector<std::uint32_t> &chosen) const
{
    std::uint32_t best = noJob;
    for (SlotMask rest = this->fleet.row(worker).occupied & ~slots; rest != 0; rest &= rest - 1) {
        const std::uint32_t job = this->fleet.jobAt(worker, std::countr_zero(rest));
        const bool helps = this->mayPreempt(job) && this->jobs.row(job).spec.memoryMiB != 0
            && std::find(chosen.begin(), chosen.end(), job) == chosen.end();
        if (helps && (best == noJob || this->costOf(job) < this->costOf(best)))
            best = job;
    }
    return best;
}

} // namespace Hibiscus
