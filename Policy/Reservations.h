#pragma once

#include <Policy/JobLifecycle.h>
#include <Policy/SchedulerState.h>

#include <optional>
#include <vector>

namespace Hibiscus {

/// Keeps workers for jobs that find no room while smaller ones come and go: at most one job for
/// each class and size lane. The workers are those that look idle soonest. Until then short jobs
/// may still use them; once the wait grows too long nothing new starts there, so the job starts
/// when the last of what runs there now has ended. Few borrowers left over are moved elsewhere.
class Reservations
{
public:
    Reservations(SchedulerState &state, JobLifecycle &lifecycle)
        : state(state)
        , lifecycle(lifecycle)
    {}

    /// The job found no room. Reserves workers for it unless its class and lane have a reservation.
    void tryReserve(std::uint32_t job, SizeLane lane, TimePoint now);
    /// Drops what is over, starts what can start, and moves borrowers that are left over.
    void advance(TimePoint now, std::vector<Decision> &decisions);
    /// Starts a job on workers reserved for others if it is short or more urgent than they are.
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
        TimePoint readyAt; ///< When its workers look idle.
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
    /// The earliest `parts` of `candidates` become `chosen` if they are earlier than it.
    void chooseEarliest(std::uint32_t parts);
    TimePoint readyAt(WorkerId worker, TimePoint now) const;
    bool tryStart(Reservation &reservation, TimePoint now, std::vector<Decision> &decisions);
    void migrateRemainingBorrowers(Reservation &reservation, TimePoint now);
    bool mayBackfill(const Reservation &reservation, std::uint32_t job, TimePoint now) const;
    /// One class higher once the job that waits has aged.
    UrgencyClass effectiveUrgency(const Reservation &reservation, TimePoint now) const;

    SchedulerState &state;
    JobLifecycle &lifecycle;
    std::vector<Reservation> reservations;
    std::vector<Candidate> candidates;
    std::vector<Candidate> chosen;
    std::vector<std::uint32_t> remainingBorrowers;
    std::uint32_t nextRack = 0; ///< Where the last search for one worker ended.
    IdMap refusedJobs; ///< Jobs for which no workers could be reserved lately.
    std::uint64_t refusalEpoch = 0;
    TimePoint refusalsSince;
};

} // namespace Hibiscus
