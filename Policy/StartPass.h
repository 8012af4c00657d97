#pragma once

#include <Policy/Reservations.h>

#include <vector>

namespace Hibiscus {

/// Goes through the waiting jobs and starts what may start now. Looks only at what changed since
/// the last pass: customers whose guarantee may hold more, and lanes of jobs that came in, or all
/// of them once room came free.
class StartPass
{
public:
    StartPass(SchedulerState &state, JobLifecycle &lifecycle, Reservations &reservations)
        : state(state)
        , lifecycle(lifecycle)
        , reservations(reservations)
    {}

    void setCustomerCount(std::size_t count);
    /// A job of that class and lane came to wait.
    void jobQueued(CustomerId customer, UrgencyClass urgency, SizeLane lane);
    /// The customer's guarantee may hold more than before.
    void markGuaranteeDirty(CustomerId customer);
    /// A job has left; customers whose unused cells could not be bound may try again.
    void cellsFreed();
    void markAllDirty();

    void run(TimePoint now, std::vector<Decision> &decisions);

private:
    enum class Outcome : std::uint8_t {
        Started,
        LaneBlocked, ///< For nobody in this lane.
        JobBlocked, ///< Others of the lane may find room.
    };

    /// Why a job is looked at; each source skips the lanes it found blocked.
    enum class Source : std::uint8_t { LatestStart, Fair, Aged };

    struct Pick
    {
        JobQueue::Head head;
        Source source = Source::Fair;
    };

    struct ClassPass
    {
        LaneMask blocked = 0;
        LaneMask latestStartBlocked = 0;
        LaneMask agedBlocked = 0;
        unsigned gangTries = 0;
        unsigned backfillTries = 0;
    };

    void runProbes(TimePoint now, std::vector<Decision> &decisions);
    void runGuaranteed(TimePoint now, std::vector<Decision> &decisions);
    void runGuaranteedOf(CustomerId customer, TimePoint now, std::vector<Decision> &decisions);
    bool canUseCpuOnlyWorker(const QueuedJob &spec) const;
    void runClass(UrgencyClass urgency, TimePoint now, std::vector<Decision> &decisions);
    std::optional<Pick> pick(UrgencyClass urgency, const ClassPass &pass, TimePoint now);
    std::optional<Pick> pickAged(UrgencyClass urgency, const ClassPass &pass, TimePoint now);
    std::optional<Pick> pickLatestStart(UrgencyClass urgency, const ClassPass &pass, TimePoint now);
    void recordOutcome(const Pick &pick, Outcome outcome, ClassPass &pass);
    Outcome tryBorrow(const Pick &pick, UrgencyClass urgency, TimePoint now,
                      std::vector<Decision> &decisions);
    Outcome tryPool(std::uint32_t job, Pool pool, SizeLane lane, TimePoint now,
                    std::vector<Decision> &decisions);
    bool tryProbe(std::uint32_t job, UrgencyClass urgency, TimePoint now,
                  std::vector<Decision> &decisions);
    bool mayPreemptOwnJob(const QueuedJob &spec) const;
    bool isLaneFull(SizeLane lane, Pool pool) const;
    bool isWithinShareLead(CustomerId customer, UrgencyClass urgency) const;

    SchedulerState &state;
    JobLifecycle &lifecycle;
    Reservations &reservations;
    std::vector<std::uint8_t> guaranteeDirty; ///< By customer.
    std::vector<std::uint8_t> guaranteeBlocked; ///< Has unbound cells that could not be bound.
    std::vector<std::uint16_t> dirtyCustomers;
    bool anyGuaranteeBlocked = false;
    std::array<LaneMask, urgencyClassCount> dirtyLanes{};
    std::vector<LaneMask> failed; ///< By customer, in the class looked at.
    std::array<std::uint32_t, urgencyClassCount> startsSinceAged{};
    std::uint64_t seenCapacityEpoch = 0;
};

} // namespace Hibiscus
