#pragma once

#include <Policy/IdMap.h>
#include <Policy/Scheduler.h>
#include <Policy/TimerHeap.h>

#include <array>
#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// Jobs of similar size wait in one lane, so that a large job that has to wait never blocks smaller
/// jobs behind it.
enum class SizeLane : std::uint8_t { CpuSlot, Slot, Pair, Quad, Worker, Gang };
inline constexpr std::size_t sizeLaneCount = 6;

/// A set of lanes, one bit each.
using LaneMask = std::uint8_t;
inline constexpr LaneMask allLanes = (1U << sizeLaneCount) - 1;
constexpr LaneMask laneBit(SizeLane lane)
{
    return static_cast<LaneMask>(1U << static_cast<unsigned>(lane));
}

/// The job's lane by the slots that it takes of a worker: its accelerators, or the slots that
/// correspond to its share of the worker's memory if that is more.
SizeLane laneOf(const QueuedJob &job, std::uint32_t memoryPerSlotMiB);

/// The waiting jobs and their order. Customers, and the callers inside a customer, are ordered by
/// weighted fair queueing (virtual time, with one clock for each class); a caller's jobs are
/// ordered by deadline. Also indexes jobs by submission time, by latest start, and by the time from
/// which their deadline is infeasible. Removal is O(1) amortised.
class JobQueue
{
public:
    /// A job that may start next.
    struct Head
    {
        std::uint32_t job = 0;
        CustomerId customer;
        SizeLane lane = SizeLane::CpuSlot;
    };

    /// The properties of a job that determine its order.
    struct Entry
    {
        std::uint32_t job = 0; ///< Index in the job table.
        CustomerId customer;
        CallerId caller;
        UrgencyClass urgency = UrgencyClass::Standard;
        SizeLane lane = SizeLane::CpuSlot;
        TimePoint submitted;
        std::optional<TimePoint> deadline;
        Duration expected{};
        double work = 0; ///< Slots times expected run time in seconds.
    };

    void setShares(std::span<const double> newShares);

    void push(const Entry &entry);
    void remove(std::uint32_t job);
    bool contains(std::uint32_t job) const;

    /// The head of the customer with the least virtual time, among customers with a lane that is
    /// neither in `blocked` nor in the customer's own mask in `failed`.
    std::optional<Head> next(UrgencyClass urgency, LaneMask blocked,
                             std::span<const LaneMask> failed);
    /// The head of one customer in the given lanes.
    std::optional<Head> nextOf(CustomerId customer, UrgencyClass urgency, LaneMask lanes);
    /// The job of that class and lane that was submitted first, if it was submitted at or before
    /// `submittedUntil`.
    std::optional<Head> oldest(UrgencyClass urgency, SizeLane lane, TimePoint submittedUntil);
    /// The job with the earliest latest start (its deadline minus its expected run time), if that
    /// is not after `due`.
    std::optional<Head> earliestLatestStart(UrgencyClass urgency, SizeLane lane, TimePoint due);
    /// A job with an infeasible deadline: it would miss the deadline even if it took half of its
    /// expected run time.
    std::optional<std::uint32_t> firstInfeasible(TimePoint now);
    std::optional<TimePoint> nextInfeasibleTime();

    /// Charges `work` against the customer's share; the clock of the class advances. `chargeCaller`
    /// does the same for one caller within the customer.
    void chargeCustomer(CustomerId customer, UrgencyClass urgency, double work);
    void chargeCaller(CustomerId customer, CallerId caller, UrgencyClass urgency, double work);
    /// Corrects an earlier charge by `work`, which may be negative. The correction applies with the
    /// next charge.
    void correctCharge(CustomerId customer, CallerId caller, UrgencyClass urgency, bool ofCustomer,
                       double work);
    /// How far the customer is ahead of the clock of the class, in work divided by share.
    double lead(CustomerId customer, UrgencyClass urgency) const;

    std::uint32_t queued(UrgencyClass urgency) const;
    std::uint32_t queued(CustomerId customer, UrgencyClass urgency) const;
    LaneMask lanes(CustomerId customer, UrgencyClass urgency) const;
    /// Total work of the waiting jobs.
    double work(CustomerId customer, UrgencyClass urgency) const;
    double work(UrgencyClass urgency) const;
    double sumOfShares() const { return this->shareSum; }
    double share(CustomerId customer) const { return this->customers[customer.value].share; }
    /// Sum of the shares of customers with waiting jobs of that class or a more urgent one.
    double activeShares(UrgencyClass urgency) const;

private:
    static constexpr std::uint32_t none = ~std::uint32_t(0);

    struct WaitingJob
    {
        TimePoint deadline;
        std::uint32_t ticket = 0;
        std::uint32_t job = 0;
    };

    /// The waiting jobs of one caller, class and lane.
    struct CallerQueue
    {
        std::vector<WaitingJob> heap;
        std::uint32_t account = 0;
        std::uint32_t waitingCount = 0;
        bool isInLane = false;
    };

    /// One caller's use of its customer's share in one class.
    struct Account
    {
        double virtualTime = 0;
        double correction = 0;
    };

    struct CallerQueueKey
    {
        double virtualTime = 0;
        std::uint32_t callerQueue = 0;
    };

    struct Lane
    {
        std::vector<CallerQueueKey> heap;
        std::uint32_t waitingCount = 0;
    };

    struct CustomerClass
    {
        std::array<Lane, sizeLaneCount> lanes;
        LaneMask mask = 0;
        std::uint32_t waitingCount = 0;
        double virtualTime = 0;
        double correction = 0;
        double callerClock = 0;
        double work = 0;
    };

    struct CustomerRow
    {
        std::array<CustomerClass, urgencyClassCount> classes;
        double share = 1.0;
    };

    struct ClassRow
    {
        std::array<TimerHeap, sizeLaneCount> bySubmission;
        std::array<TimerHeap, sizeLaneCount> byLatestStart;
        double clock = 0;
        double work = 0;
        std::uint32_t waitingCount = 0;
    };

    /// The queue position of a job, by its index in the job table.
    struct QueuePosition
    {
        std::uint32_t ticket = 0; ///< 0 if the job is not waiting.
        std::uint32_t callerQueue = 0;
        CustomerId customer;
        UrgencyClass urgency = UrgencyClass::Standard;
        SizeLane lane = SizeLane::CpuSlot;
        double work = 0;
    };

    static bool hasLaterDeadline(const WaitingJob &left, const WaitingJob &right);
    static bool hasLaterVirtualTime(const CallerQueueKey &left, const CallerQueueKey &right);

    CustomerClass &classOf(CustomerId customer, UrgencyClass urgency);
    const CustomerClass &classOf(CustomerId customer, UrgencyClass urgency) const;
    std::uint32_t accountOf(CustomerId customer, CallerId caller, UrgencyClass urgency);
    std::uint32_t callerQueueOf(const Entry &entry);
    void addToLane(CustomerClass &owner, Lane &lane, std::uint32_t callerQueue);
    void pushTimers(const Entry &entry, std::uint32_t ticket);
    void compact(const QueuePosition &position);
    bool isLive(const TimerHeap::Entry &entry) const;
    std::optional<Head> headOf(const TimerHeap::Entry &entry) const;
    /// The caller queue with the least virtual time. Drops empty queues, and reinserts queues whose
    /// key is out of date.
    const CallerQueueKey *front(Lane &lane);
    void dropStale(CallerQueue &callerQueue);

    std::vector<CustomerRow> customers;
    std::array<ClassRow, urgencyClassCount> classes;
    std::vector<CallerQueue> callerQueues;
    std::vector<Account> accounts;
    IdMap callerQueueIndex;
    IdMap accountIndex;
    std::vector<QueuePosition> positions;
    TimerHeap byInfeasibleTime;
    std::uint32_t lastTicket = 0;
    double shareSum = 0;
};

} // namespace Hibiscus
