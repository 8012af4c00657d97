#pragma once

#include <Policy/JobLifecycle.h>
#include <Policy/SchedulerState.h>

#include <optional>
#include <vector>

namespace Hibiscus {

/// Reserves workers for jobs that find no idle slots while smaller jobs keep taking them: at most
/// one job per class and size lane. Chooses the workers that are expected to be idle soonest. Short
/// jobs may be backfilled on reserved workers until the reservation is older than `backfillCutoff`;
/// afterwards no job of the same or a less urgent class starts there, so the waiting job starts
/// once the last running job has ended. If few borrowers remain, they are migrated.
class Reservations
{
public:
    Reservations(SchedulerState &state, JobLifecycle &lifecycle)
        : state(state)
        , lifecycle(lifecycle)
    {}

    /// Reserves workers for a job that found no idle slots, unless its class and lane already have
    /// a reservation.
    void tryReserve(std::uint32_t job, SizeLane lane, TimePoint now);
    /// Removes obsolete reservations, starts jobs whose workers are idle, and migrates remaining
    /// borrowers.
    void advance(TimePoint now, std::vector<Decision> &decisions);
    /// Starts a job on workers reserved for another job if it is short or more urgent than that
    /// job.
    bool backfill(std::uint32_t job, TimePoint now, std::vector<Decision> &decisions);
    void workerLost(WorkerId worker);
    bool hasReservation(std::uint32_t job) const;
    std::size_t count() const { return this->reservations.size(); }

private:
    struct Reservation
    {
        std::uint32_t job = 0;
        JobId id;
        UrgencyClass urgency = UrgencyClass::Standard;
        SizeLane lane = SizeLane::Gang;
        TimePoint since;
        TimePoint readyAt; ///< Expected time at which all its workers are idle.
        bool hasMigrated = false;
        std::vector<WorkerId> workers;
    };

    struct Candidate
    {
        WorkerId worker;
        TimePoint readyAt;
    };

    void expireRefusals(TimePoint now);
    bool areWorkersIdle(const Reservation &reservation) const;
    void updateReservedSlots();
    bool isObsolete(const Reservation &reservation) const;
    void cancelReservation(std::size_t index);
    bool chooseWorkers(const QueuedJob &spec, TimePoint now);
    void collectCandidates(const QueuedJob &spec, std::uint32_t rack, TimePoint now);
    void chooseWindow(const QueuedJob &spec, std::uint32_t parts, TimePoint now);
    /// Replaces `chosen` by the `parts` candidates that are ready earliest, if these are ready
    /// before `chosen`.
    void chooseEarliest(std::uint32_t parts);
    TimePoint readyAt(WorkerId worker, TimePoint now) const;
    bool tryStart(Reservation &reservation, TimePoint now, std::vector<Decision> &decisions);
    void migrateRemainingBorrowers(Reservation &reservation, TimePoint now);
    bool mayBackfill(const Reservation &reservation, std::uint32_t job, TimePoint now) const;
    /// The urgency of the waiting job, raised by one class once the job has aged.
    UrgencyClass effectiveUrgency(const Reservation &reservation, TimePoint now) const;

    SchedulerState &state;
    JobLifecycle &lifecycle;
    std::vector<Reservation> reservations;
    std::vector<Candidate> candidates;
    std::vector<Candidate> chosen;
    std::vector<std::uint32_t> remainingBorrowers;
    std::uint32_t nextRack = 0; ///< Rack at which the last search for a single worker ended.
    IdMap refusedJobs; ///< Jobs for which no reservation was possible recently.
    std::uint64_t refusalEpoch = 0;
    TimePoint refusalsSince;
};

} // namespace Hibiscus
