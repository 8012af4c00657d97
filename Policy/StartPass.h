#pragma once

#include <Policy/Reservations.h>

#include <vector>

namespace Hibiscus {

/// Visits the waiting jobs and starts those that can start now. Examines only what changed since
/// the last pass: customers whose guarantees may hold more jobs, and lanes that received jobs, or
/// all lanes once capacity was freed.
class StartPass
{
public:
    StartPass(SchedulerState &state, JobLifecycle &lifecycle, Reservations &reservations)
        : state(state)
        , lifecycle(lifecycle)
        , reservations(reservations)
    {}

    void setCustomerCount(std::size_t count);
    /// A job of that class and lane was queued.
    void jobQueued(CustomerId customer, UrgencyClass urgency, SizeLane lane);
    /// Marks the customer's guarantee for the next pass, because it may hold more jobs.
    void markGuaranteeDirty(CustomerId customer);
    /// A job has released its cells; guarantees with unbound cells that could not be bound are
    /// retried.
    void cellsFreed();
    void markAllDirty();

    void run(TimePoint now, std::vector<Decision> &decisions);

private:
    enum class Outcome : std::uint8_t {
        Started,
        LaneBlocked, ///< No job of this lane fits.
        JobBlocked, ///< Other jobs of the lane may fit.
    };

    /// Why a job was picked. Each source skips the lanes that are blocked for it.
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
    std::vector<LaneMask> failed; ///< Lanes that failed, by customer, in the current class.
    std::array<std::uint32_t, urgencyClassCount> startsSinceAged{};
    std::uint64_t seenCapacityEpoch = 0;
};

} // namespace Hibiscus
