#pragma once

#include <Config/Configuration.h>
#include <Core/Ids.h>
#include <Core/Job.h>
#include <Core/Time.h>
#include <Fleet/Worker.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Hibiscus {

/// One worker's part of a placed job.
struct Placement
{
    WorkerId worker;
    SlotMask slots = 0;

    bool operator==(const Placement &) const = default;
};

/// A job as the scheduler sees it: small typed values, no text.
struct QueuedJob
{
    JobId job;
    CustomerId customer;
    CallerId caller;
    KindId kind;
    UrgencyClass urgency = UrgencyClass::Standard;
    Adjacency adjacency = Adjacency::Any;
    std::uint16_t accelerators = 0; ///< 0 asks for one slot, on any worker.
    std::uint32_t memoryMiB = 0; ///< On each worker that takes part.
    Duration declaredRunTime{};
    std::optional<TimePoint> deadline; ///< When the answer has to be there.
    /// May be stopped after a checkpoint and started again. A job that may not is never chosen to
    /// make room, so it runs only where that breaks nobody's guarantee.
    bool isPreemptible = true;
    /// Was promised to its caller before: refused only if it never fits.
    bool wasAdmitted = false;
};

enum class RefusalReason : std::uint8_t {
    None,
    UnknownCustomer,
    NeverFits, ///< No worker or group of workers, all of them free, could hold it.
    QueueFull, ///< The customer's bound for this class.
    DeadlineUnreachable, ///< Cannot finish in time behind what is queued before it.
    NotServing, ///< No preset is known, or the data centre is closed by the preset.
    RunTooLong, ///< Declares more than the preset lets this class run.
};
const char *toString(RefusalReason reason);

/// Answer to a submission. Nothing of a refused job has been kept.
struct Admission
{
    RefusalReason refusal = RefusalReason::None;
    std::optional<Duration> retryAfter;

    bool isAccepted() const { return this->refusal == RefusalReason::None; }
};

/// What the scheduler wants done with one job, in the order in which it has to happen.
enum class DecisionKind : std::uint8_t {
    Start, ///< Reserve and start on `placements`, all of them or none.
    Throttle, ///< Slow down; its cells are about to be reclaimed.
    Checkpoint, ///< Save, stop and report `preempted`; the job goes back to the queue.
    Stop, ///< Stop now and report `preempted`.
    Expire, ///< Left the queue unstarted: it can no longer meet its deadline, or never fits now.
};

struct Decision
{
    DecisionKind kind = DecisionKind::Start;
    JobId job;
    std::span<const Placement> placements; ///< Valid until the next call that takes a time.
    RefusalReason reason = RefusalReason::None; ///< With Expire.
};

/// How a started job left its cells.
enum class EndKind : std::uint8_t {
    Finished, ///< Ran to its end.
    Failed, ///< Ran and ended with an error of its own.
    WorkerFault, ///< A worker refused, died or failed it; counts against that worker.
    Preempted, ///< Stopped or checkpointed on a decision.
    Cancelled,
};

/// What is lacking of a customer's guaranteed shape because workers failed or left.
struct Shortfall
{
    CustomerId customer;
    CellCounts missing{};
};

/// Figures for the metrics page and the measurements.
struct SchedulerGauges
{
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t lentSlots = 0; ///< Used by jobs beyond their customer's guarantee.
    std::uint32_t largestFreeCell = 0; ///< Slots of the largest free cell.
    std::array<std::uint32_t, urgencyClassCount> queued{};
    std::array<std::uint32_t, urgencyClassCount> running{};
    std::uint32_t ejectedWorkers = 0;
};

/// Decides for the workers of one data centre: who waits, who starts where, who makes room.
/// Holds no clock and does no I/O; one instance drives it from its events.
///
/// Order of use: setCustomers and setPreset once known, workerUp for every worker, then submit,
/// decide, started/ended in any order. Time passed in never goes back.
class Scheduler
{
public:
    virtual ~Scheduler() = default;

    /// Customers in the order of their ids. Guarantees are those of this data centre.
    struct CustomerEntitlement
    {
        CellCounts guarantee{};
        double share = 1.0;
    };
    virtual void setCustomers(std::span<const CustomerEntitlement> customers, TimePoint now) = 0;
    virtual void setPreset(const Preset &preset, bool dataCenterClosed, TimePoint now) = 0;

    /// A worker became usable or changed; `worker` ids are dense and given out by the caller.
    virtual void workerUp(WorkerId worker, const WorkerDescription &description, TimePoint now) = 0;
    /// No new work for it; what runs there goes on until it ends.
    virtual void workerLeaving(WorkerId worker, TimePoint now) = 0;
    /// The worker is gone. The caller reports `ended` for each job that had a part there.
    virtual void workerDown(WorkerId worker, TimePoint now) = 0;

    virtual Admission submit(const QueuedJob &job, TimePoint now) = 0;
    /// Takes in a job that already runs (after a change of owner). False if the cells are taken.
    virtual bool adopt(const QueuedJob &job, std::span<const Placement> placements, TimePoint now)
        = 0;
    /// Removes a waiting job; O(1) amortised. False if it is not waiting.
    virtual bool cancel(JobId job, TimePoint now) = 0;
    /// The job's tasks run on every one of its placements.
    virtual void jobStarted(JobId job, TimePoint now) = 0;
    /// The job holds its cells no more. With `requeue` it waits again, keeping its place in order.
    virtual void jobEnded(JobId job, EndKind end, std::optional<WorkerId> faultyWorker,
                          bool requeue, TimePoint now)
        = 0;

    /// Appends what has to be done now. Call after every batch of events.
    virtual void decide(TimePoint now, std::vector<Decision> &decisions) = 0;
    /// When decide has to be called next even if nothing happens.
    virtual std::optional<TimePoint> nextWakeup() const = 0;

    virtual SchedulerGauges gauges() const = 0;
    virtual std::vector<Shortfall> shortfalls() const = 0;
};

} // namespace Hibiscus
