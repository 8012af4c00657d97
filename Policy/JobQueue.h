#pragma once

#include <Policy/IdMap.h>
#include <Policy/Scheduler.h>
#include <Policy/TimerHeap.h>

#include <array>
#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// Jobs of like size wait in one lane, so that a large one that has to wait never holds up smaller
/// ones behind it.
enum class SizeLane : std::uint8_t { CpuSlot, Slot, Pair, Quad, Worker, Gang };
inline constexpr std::size_t sizeLaneCount = 6;

/// Lanes as bits.
using LaneMask = std::uint8_t;
inline constexpr LaneMask allLanes = (1U << sizeLaneCount) - 1;
constexpr LaneMask laneBit(SizeLane lane)
{
    return static_cast<LaneMask>(1U << static_cast<unsigned>(lane));
}

/// The lane by what the job takes of a worker: its slots, or the slots whose part of the worker's
/// memory it needs if that is more.
SizeLane laneOf(const QueuedJob &job, std::uint32_t memoryPerSlotMiB);

/// The waiting jobs and their order: fair between customers by share (virtual time, one clock for
/// each class), inside a customer fair between callers in the same way, and inside a caller by
/// deadline. Beside that it knows who has waited longest, whose latest start comes next, and who
/// can no longer meet a deadline. Removal is O(1) amortised.
class JobQueue
{
public:
    /// A job that may go next.
    struct Head
    {
        std::uint32_t job = 0;
        CustomerId customer;
        SizeLane lane = SizeLane::CpuSlot;
    };

    /// What the queue has to know of a job.
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
        double work = 0; ///< Slots times expected seconds.
    };

    void setShares(std::span<const double> newShares);

    void push(const Entry &entry);
    void remove(std::uint32_t job);
    bool contains(std::uint32_t job) const;

    /// The head of the customer with the least virtual time among those with a lane that isn't in
    /// `blocked`, nor in the customer's own mask of `failed`.
    std::optional<Head> next(UrgencyClass urgency, LaneMask blocked,
                             std::span<const LaneMask> failed);
    /// The head of one customer in the lanes given.
    std::optional<Head> nextOf(CustomerId customer, UrgencyClass urgency, LaneMask lanes);
    /// The job of that class and lane that was submitted first.
    std::optional<Head> oldest(UrgencyClass urgency, SizeLane lane, TimePoint submittedUntil);
    /// The job whose latest start comes first, if that is due at `due`.
    std::optional<Head> earliestLatestStart(UrgencyClass urgency, SizeLane lane, TimePoint due);
    /// A job that can't meet its deadline even if it takes half of the expected run time.
    std::optional<std::uint32_t> firstInfeasible(TimePoint now);
    std::optional<TimePoint> nextInfeasibleTime();

    /// The customer's and the caller's share is used for `work`; the class's clock follows.
    void chargeCustomer(CustomerId customer, UrgencyClass urgency, double work);
    void chargeCaller(CustomerId customer, CallerId caller, UrgencyClass urgency, double work);
    /// `work` more or less than charged was used. It counts with the next charge.
    void correctCharge(CustomerId customer, CallerId caller, UrgencyClass urgency, bool ofCustomer,
                       double work);
    /// How far the customer is ahead of the class's clock, in work over share.
    double lead(CustomerId customer, UrgencyClass urgency) const;

    std::uint32_t queued(UrgencyClass urgency) const;
    std::uint32_t queued(CustomerId customer, UrgencyClass urgency) const;
    LaneMask lanes(CustomerId customer, UrgencyClass urgency) const;
    /// Sum of the waiting jobs' work.
    double work(CustomerId customer, UrgencyClass urgency) const;
    double work(UrgencyClass urgency) const;
    double sumOfShares() const { return this->shareSum; }
    double share(CustomerId customer) const { return this->customers[customer.value].share; }
    /// Sum of the shares of customers with waiting jobs in that class or a more urgent one.
    double activeShares(UrgencyClass urgency) const;

private:
    static constexpr std::uint32_t none = ~std::uint32_t(0);

    struct WaitingJob
    {
        TimePoint deadline;
        std::uint32_t ticket = 0;
        std::uint32_t job = 0;
    };

    /// The jobs of one caller, class and lane.
    struct CallerQueue
    {
        std::vector<WaitingJob> heap;
        std::uint32_t account = 0;
        std::uint32_t waitingCount = 0;
        bool isInLane = false;
    };

    /// What one caller used of its customer's share in one class.
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

    /// Where a waiting job is, by its index in the job table.
    struct QueuePosition
    {
        std::uint32_t ticket = 0; ///< 0 if it does not wait.
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
    /// The line whose caller comes first; drops empty lines and those whose key is out of date.
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
