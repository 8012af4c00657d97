#pragma once

#include <Policy/Scheduler.h>
#include <Policy/TimerHeap.h>

#include <vector>

namespace Hibiscus {

/// A claiming job that waits for a borrower to release its slots.
struct Claimant
{
    JobId job;
    std::uint32_t claim = 0; ///< Distinguishes successive claims of the same job.
};

/// Preempts borrowers in steps: throttle, checkpoint, stop. The stop is sent early enough for the
/// lease of a worker's task to expire within the lease term, so the slots are free within the term
/// even if the borrower does not answer.
class Reclaimer
{
public:
    struct Settings
    {
        Duration leaseTerm = seconds(10); ///< Bound from the first step until the slots are free.
        /// Delay between throttling and the checkpoint request.
        Duration throttleDuration = milliseconds(500);
        /// Delay from the first step to the stop; must be below the lease term.
        Duration stopDelay = seconds(6);
    };

    explicit Reclaimer(const Settings &settings);

    /// Requests preemption of a job on behalf of `claimant`. A repeated request only adds the
    /// claimant. A job that has not started yet is stopped immediately.
    void requestPreemption(std::uint32_t job, JobId id, bool hasStarted, const Claimant &claimant,
                           TimePoint now);
    /// Asks a job to checkpoint and be placed elsewhere. A migration request never leads to a stop.
    void requestMigration(std::uint32_t job, JobId id, TimePoint now);

    /// Appends the decisions of all steps that are due.
    void advance(TimePoint now, std::vector<Decision> &decisions);
    std::optional<TimePoint> nextStep() const;

    /// The job has released its cells. Appends the claimants that waited for the job.
    void jobReleased(std::uint32_t job, std::vector<Claimant> &claimants);
    bool hasRequest(std::uint32_t job) const;
    std::size_t requestCount() const { return this->requestTotal; }

private:
    struct Request
    {
        JobId id;
        TimePoint since;
        std::uint32_t ticket = 0; ///< 0 if the row is unused.
        std::uint8_t step = 0;
        bool mayStop = false;
        std::vector<Claimant> claimants;
    };

    Request &findOrAddRequest(std::uint32_t job, JobId id, TimePoint now);
    /// Delay from the first step to the given step.
    Duration stepOffset(std::uint8_t step) const;

    Settings settings;
    std::vector<Request> requests; ///< By job index.
    TimerHeap steps;
    std::uint32_t lastTicket = 0;
    std::size_t requestTotal = 0;
};

} // namespace Hibiscus
