#pragma once

#include <Policy/BorrowPlanner.h>
#include <Policy/GuaranteePlanner.h>
#include <Policy/SchedulerState.h>

#include <vector>

namespace Hibiscus {

/// The steps of a job between queue and cells, each of which keeps tables, queue, budget and
/// guarantee book in agreement.
class JobLifecycle
{
public:
    explicit JobLifecycle(SchedulerState &state);

    /// Puts a job that holds nothing into the queue, at the place its submission gives it.
    void enqueue(std::uint32_t job);

    /// Starts a waiting job inside its customer's guarantee, or claims cells there and asks their
    /// borrowers to leave. False, with nothing changed, if it does not fit.
    bool startGuaranteed(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions);
    /// Lets a waiting job take the place, inside its customer's guarantee, of a less urgent job of
    /// the same customer, which is asked to leave. False, with nothing changed, if there is none.
    bool preemptOwnJob(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions);
    /// Charges jobs of the customer to smaller cells where they are, if a larger one comes free by
    /// that for the job. False, with all charged as before, if none does.
    bool moveChargesFor(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions);
    /// Starts a waiting job on idle slots beyond the guarantee.
    bool startBorrowed(std::uint32_t job, Pool pool, TimePoint now,
                       std::vector<Decision> &decisions);
    bool startBorrowedOn(std::uint32_t job, WorkerId worker, TimePoint now,
                         std::vector<Decision> &decisions);
    bool startGangOn(std::uint32_t job, std::span<const WorkerId> workers, TimePoint now,
                     std::vector<Decision> &decisions);
    /// Starts the claiming jobs whose borrowers have all left.
    void startReadyClaims(TimePoint now, std::vector<Decision> &decisions);

    /// Takes in a job that runs already; its row must be new. False if the cells are taken.
    bool adopt(std::uint32_t job, std::span<const Placement> placements, TimePoint now);

    /// The job leaves its cells; its row stays, with no phase of its own.
    void releaseCells(std::uint32_t job, TimePoint now);
    /// A claiming job gives its claim up; its row stays.
    void cancelClaim(std::uint32_t job);
    /// The job runs on, but no longer charged to its customer's guarantee.
    void demote(std::uint32_t job);
    /// Gives up claims and demotes jobs that have part of the worker's bound cells.
    void vacateWorker(WorkerId worker);
    /// Demotes what uses the cell, so that it is unbound; all of a bound rack.
    void vacateCell(std::uint32_t cell);
    /// Asks a borrower to leave for nobody in particular.
    void requestPreemption(std::uint32_t job, TimePoint now);

    /// True if the job did not fit its customer's guarantee although cells for it are unused.
    bool hasUnboundCellFor(std::uint32_t job) const
    {
        return this->guaranteePlanner.hasUnboundCellFor(this->state.jobs.row(job).spec);
    }
    /// Jobs whose cells are held for them until borrowers have left.
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
