#include <Policy/JobLifecycle.h>

#include <algorithm>
#include <cassert>

// Changes to which job is charged to which cell of one customer's guarantee.

namespace Hibiscus {

namespace {

/// Cells of the customer examined for one job.
constexpr unsigned maxCellTries = 64;
/// A cell with more jobs than this is left unchanged.
constexpr std::size_t maxJobsMoved = 4;

} // namespace

bool JobLifecycle::mayPreemptFor(const QueuedJob &spec, std::uint32_t other) const
{
    const JobRow &row = this->state.jobs.row(other);
    const bool isCandidate = row.holdsCells() && row.isGuaranteed && row.spec.isPreemptible
        && !row.isBeingPreempted && row.spec.urgency > spec.urgency
        && row.slots() >= std::max<std::uint32_t>(spec.accelerators, 1);
    if (!isCandidate)
        return false;
    // An incomplete rack could not be bound again after it was released.
    const auto parts = this->state.jobs.placements(other);
    return std::all_of(parts.begin(), parts.end(), [this](const Placement &part) {
        return this->state.bindings.isComplete(
            *this->state.bindings.cellAt(part.worker, std::countr_zero(part.slots)));
    });
}

std::uint32_t JobLifecycle::findOwnVictim(const QueuedJob &spec) const
{
    const GuaranteeBindings &bindings = this->state.bindings;
    std::uint32_t best = noJob;
    unsigned tries = 0;
    for (std::size_t bucket = GuaranteeBindings::bucketCount; bucket-- > 0;) {
        for (std::uint32_t index = bindings.firstInBucket(spec.customer, bucket);
             index != GuaranteeBindings::noCell && tries < maxCellTries;
             index = bindings.nextInBucket(index), ++tries) {
            const BoundCell &cell = bindings.cell(index);
            for (SlotMask rest = cell.used; rest != 0; rest &= rest - 1) {
                const std::uint32_t other
                    = this->state.fleet.jobAt(cell.worker, std::countr_zero(rest));
                if (other == noJob || other == best || !this->mayPreemptFor(spec, other))
                    continue;
                const bool isBetter = best == noJob
                    || this->state.jobs.row(other).spec.urgency
                        > this->state.jobs.row(best).spec.urgency
                    || (this->state.jobs.row(other).spec.urgency
                            == this->state.jobs.row(best).spec.urgency
                        && this->state.jobs.row(other).slots()
                            < this->state.jobs.row(best).slots());
                if (isBetter)
                    best = other;
            }
        }
    }
    return best;
}

bool JobLifecycle::preemptOwnJob(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions)
{
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    // During a shortfall a cell that is released temporarily may not be bindable again.
    if (!this->state.bindings.hasGuarantee(spec.customer)
        || !isAllZero(this->state.bindings.deficit()))
        return false;
    const std::uint32_t other = this->findOwnVictim(spec);
    if (other == noJob)
        return false;
    this->demote(other);
    if (this->startGuaranteed(job, now, decisions))
        return true;
    JobRow &row = this->state.jobs.row(other);
    row.isGuaranteed
        = this->guaranteePlanner.planInPlace(row.spec, this->state.jobs.placements(other));
    if (row.isGuaranteed)
        this->state.lentSlots -= row.slots();
    return false;
}

void JobLifecycle::collectJobsIn(std::uint32_t index, std::vector<std::uint32_t> &jobs) const
{
    const BoundCell &cell = this->state.bindings.cell(index);
    jobs.clear();
    for (SlotMask rest = cell.used; rest != 0; rest &= rest - 1) {
        const std::uint32_t job = this->state.fleet.jobAt(cell.worker, std::countr_zero(rest));
        if (jobs.empty() || jobs.back() != job)
            jobs.push_back(job);
    }
}

bool JobLifecycle::moveChargesFor(std::uint32_t job, TimePoint now,
                                  std::vector<Decision> &decisions)
{
    const QueuedJob &spec = this->state.jobs.row(job).spec;
    const GuaranteeBindings &bindings = this->state.bindings;
    bool hasSmallerCell = false;
    for (unsigned level = 0; level < static_cast<unsigned>(CellLevel::Worker); ++level)
        hasSmallerCell |= bindings.unbound(spec.customer, static_cast<CellLevel>(level)) != 0;
    if (!hasSmallerCell || !isAllZero(bindings.deficit())
        || spec.accelerators > this->state.fleet.shape().workerSlots)
        return false;
    unsigned tries = 0;
    for (std::size_t bucket = 0; bucket < GuaranteeBindings::fullBucket; ++bucket) {
        for (std::uint32_t index = bindings.firstInBucket(spec.customer, bucket);
             index != GuaranteeBindings::noCell && tries < maxCellTries; ++tries) {
            const std::uint32_t next = bindings.nextInBucket(index);
            const BoundCell &cell = bindings.cell(index);
            const bool isLargeEnough = cell.level != CellLevel::Rack
                && static_cast<unsigned>(std::popcount(cell.slots)) >= spec.accelerators;
            // Any attempt moves cells between buckets, so the list must not be followed further.
            if (isLargeEnough && this->moveChargesOutOf(index, job, now, decisions))
                return true;
            if (isLargeEnough)
                break;
            index = next;
        }
    }
    return false;
}

bool JobLifecycle::moveChargesOutOf(std::uint32_t index, std::uint32_t job, TimePoint now,
                                    std::vector<Decision> &decisions)
{
    const BoundCell cell = this->state.bindings.cell(index);
    this->collectJobsIn(index, this->cellJobs);
    const auto isSinglyPlaced = [this](std::uint32_t other) {
        return other != noJob && this->state.jobs.row(other).isGuaranteed
            && this->state.jobs.placements(other).size() == 1;
    };
    if (this->cellJobs.size() > maxJobsMoved
        || !std::all_of(this->cellJobs.begin(), this->cellJobs.end(), isSinglyPlaced))
        return false;
    for (const std::uint32_t other : this->cellJobs) {
        const JobRow &row = this->state.jobs.row(other);
        this->state.bindings.release(cell.worker, row.firstPlacement.slots, row.spec.memoryMiB);
    }
    std::size_t done = 0;
    while (done < this->cellJobs.size()) {
        const JobRow &row = this->state.jobs.row(this->cellJobs[done]);
        if (!this->guaranteePlanner.planInPlace(row.spec, {&row.firstPlacement, 1}))
            break;
        ++done;
    }
    if (done == this->cellJobs.size() && this->startGuaranteed(job, now, decisions))
        return true;
    for (std::size_t place = 0; place < done; ++place) {
        const JobRow &row = this->state.jobs.row(this->cellJobs[place]);
        this->state.bindings.release(cell.worker, row.firstPlacement.slots, row.spec.memoryMiB);
    }
    this->restoreCharges(cell, this->cellJobs);
    return false;
}

void JobLifecycle::restoreCharges(const BoundCell &cell, std::span<const std::uint32_t> jobs)
{
    const auto bound
        = this->state.bindings.tryBind(cell.customer, cell.level, cell.worker, cell.slots);
    // The state is the same as when this cell was bound, so binding it again succeeds.
    assert(bound.has_value());
    for (const std::uint32_t job : jobs) {
        const JobRow &row = this->state.jobs.row(job);
        this->state.bindings.markUsed(*bound, row.firstPlacement.slots, row.spec.memoryMiB);
    }
}

} // namespace Hibiscus
