#pragma once

#include <Policy/BorrowPlanner.h>
#include <Policy/GuaranteePlanner.h>
#include <Policy/SchedulerState.h>

#include <vector>

namespace Hibiscus {

/// The transitions of a job between the queue and its cells. Each transition keeps the job table,
/// the queue, the class budget and the guarantee bindings consistent.
class JobLifecycle
{
public:
    explicit JobLifecycle(SchedulerState &state);

    /// Queues a job that holds no cells, ordered by its original submission.
    void enqueue(std::uint32_t job);

    /// Starts a waiting job inside its customer's guarantee, or claims cells there and preempts
    /// their borrowers. Returns false and changes nothing if the job does not fit.
    bool startGuaranteed(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions);
    /// Preempts a less urgent guaranteed job of the same customer and gives its cells to the
    /// waiting job. Returns false and changes nothing if there is no such job.
    bool preemptOwnJob(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions);
    /// Charges running jobs of the customer to smaller cells in place, if that frees a larger cell
    /// for the job. Returns false and restores all charges otherwise.
    bool moveChargesFor(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions);
    /// Starts a waiting job on idle slots outside the guarantee.
    bool startBorrowed(std::uint32_t job, Pool pool, TimePoint now,
                       std::vector<Decision> &decisions);
    bool startBorrowedOn(std::uint32_t job, WorkerId worker, TimePoint now,
                         std::vector<Decision> &decisions);
    bool startGangOn(std::uint32_t job, std::span<const WorkerId> workers, TimePoint now,
                     std::vector<Decision> &decisions);
    /// Starts the claiming jobs whose borrowers have all released their slots.
    void startReadyClaims(TimePoint now, std::vector<Decision> &decisions);

    /// Adopts a running job; its row must be new. Returns false if the slots are taken.
    bool adopt(std::uint32_t job, std::span<const Placement> placements, TimePoint now);

    /// Releases the job's cells. The caller requeues the job or removes its row.
    void releaseCells(std::uint32_t job, TimePoint now);
    /// Cancels the claim of a claiming job; its row stays.
    void cancelClaim(std::uint32_t job);
    /// The job keeps running but is no longer charged to its customer's guarantee.
    void demote(std::uint32_t job);
    /// Cancels claims and demotes jobs that use any of the worker's bound cells.
    void vacateWorker(WorkerId worker);
    /// Cancels claims and demotes jobs that use the cell, so that it is unbound; for a rack's cell,
    /// on the whole bound rack.
    void vacateCell(std::uint32_t cell);
    /// Preempts a borrower without a claiming job.
    void requestPreemption(std::uint32_t job, TimePoint now);

    /// True if the customer has an unbound cell that could hold the job, although the job did not
    /// fit its guarantee.
    bool hasUnboundCellFor(std::uint32_t job) const
    {
        return this->guaranteePlanner.hasUnboundCellFor(this->state.jobs.row(job).spec);
    }
    /// Number of claiming jobs, whose slots are held until their borrowers have released them, by
    /// urgency class.
    std::array<std::uint32_t, urgencyClassCount> claimsByClass() const;
    BorrowConstraints constraintsFor(const QueuedJob &spec) const;
    double expectedWork(std::uint32_t job) const;

private:
    std::uint32_t findOwnVictim(const QueuedJob &spec) const;
    bool mayPreemptFor(const QueuedJob &spec, std::uint32_t other) const;
    void collectJobsIn(std::uint32_t cell, std::vector<std::uint32_t> &jobs) const;
    bool moveChargesOutOf(std::uint32_t cell, std::uint32_t job, TimePoint now,
                          std::vector<Decision> &decisions);
    void restoreCharges(const BoundCell &cell, std::span<const std::uint32_t> jobs);
    bool commitBorrowed(std::uint32_t job, std::span<const Placement> placements, TimePoint now,
                        std::vector<Decision> &decisions);
    void removeFromQueue(std::uint32_t job);
    void emitStart(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions);
    void claim(std::uint32_t job, TimePoint now);
    void countReleasedBorrower(const Claimant &claimant);
    void vacateSlots(WorkerId worker, SlotMask slots);
    void cancelClaimsOn(WorkerId worker, SlotMask slots);
    void countRunning(const JobRow &row, bool isRunning);
    void addToBudget(std::uint32_t job);
    void removeFromBudget(std::uint32_t job);
    bool areSlotsFree(std::span<const Placement> placements) const;

    SchedulerState &state;
    GuaranteePlanner guaranteePlanner;
    BorrowPlanner borrowPlanner;
    GuaranteePlan plan;
    std::vector<std::uint32_t> claims; ///< Jobs in phase Claiming.
    std::vector<JobId> readyClaims;
    std::vector<Claimant> claimants;
    std::vector<std::uint32_t> cellJobs;
    std::uint32_t lastClaim = 0;
};

} // namespace Hibiscus
