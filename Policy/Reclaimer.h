#pragma once

#include <Policy/Scheduler.h>
#include <Policy/TimerHeap.h>

#include <vector>

namespace Hibiscus {

/// Who waits for a borrower to leave.
struct Claimant
{
    JobId job;
    std::uint32_t claim = 0; ///< Tells a claim from an earlier one of the same job.
};

/// Asks borrowers to make room, step by step: throttle, checkpoint, stop. The last step comes early
/// enough for a worker's lease to end within the lease term, so room is there within the term
/// whether or not the borrower answers.
class Reclaimer
{
public:
    struct Settings
    {
        Duration leaseTerm = seconds(10); ///< From the first step until the room is there.
        Duration throttleDuration = milliseconds(500); ///< Before the checkpoint is asked for.
        Duration stopDelay = seconds(6); ///< From the first step; below the lease term.
    };

    explicit Reclaimer(const Settings &settings);

    /// Asks a job to leave, for the good of `claimant`. Asking again only adds the claimant.
    /// A job that has not started yet is stopped at once.
    void requestPreemption(std::uint32_t job, JobId id, bool hasStarted, const Claimant &claimant,
                           TimePoint now);
    /// Asks a job to checkpoint and move elsewhere; it is never stopped for that.
    void requestMigration(std::uint32_t job, JobId id, TimePoint now);

    /// Appends the steps that are due.
    void advance(TimePoint now, std::vector<Decision> &decisions);
    std::optional<TimePoint> nextStep() const;

    /// The job has left its cells. Appends the claimants that waited for it.
    void jobReleased(std::uint32_t job, std::vector<Claimant> &claimants);
    bool hasRequest(std::uint32_t job) const;
    std::size_t requestCount() const { return this->requestTotal; }

private:
    struct Request
    {
        JobId id;
        TimePoint since;
        std::uint32_t ticket = 0; ///< 0 if the row is free.
        std::uint8_t step = 0;
        bool mayStop = false;
        std::vector<Claimant> claimants;
    };

    Request &findOrAddRequest(std::uint32_t job, JobId id, TimePoint now);
    /// How long after the first step a step comes.
    Duration stepOffset(std::uint8_t step) const;

    Settings settings;
    std::vector<Request> requests; ///< By the job's index.
    TimerHeap steps;
    std::uint32_t lastTicket = 0;
    std::size_t requestTotal = 0;
};

} // namespace Hibiscus
