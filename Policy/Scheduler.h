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

/// The slots that a placed job occupies on one worker.
struct Placement
{
    WorkerId worker;
    SlotMask slots = 0;

    bool operator==(const Placement &) const = default;
};

/// The scheduler's view of a job: small typed values without text.
struct QueuedJob
{
    JobId job;
    CustomerId customer;
    CallerId caller;
    KindId kind;
    UrgencyClass urgency = UrgencyClass::Standard;
    Adjacency adjacency = Adjacency::Any;
    std::uint16_t accelerators = 0; ///< 0 requests one slot on any worker.
    std::uint32_t memoryMiB = 0; ///< On each worker of the placement.
    Duration declaredRunTime{};
    std::optional<TimePoint> deadline; ///< When the answer is due.
    /// The job may be stopped after a checkpoint and started again. A job that is not preemptible
    /// is never chosen as a preemption victim, so it runs only where it violates no guarantee.
    bool isPreemptible = true;
    /// The job was accepted earlier, so it is refused only if its customer is unknown or it never
    /// fits.
    bool wasAdmitted = false;
};

enum class RefusalReason : std::uint8_t {
    None,
    UnknownCustomer,
    NeverFits, ///< No worker or group of workers could hold it, even if all of them were idle.
    QueueFull, ///< The customer's queue limit for this class is reached.
    DeadlineUnreachable, ///< Cannot finish before its deadline, given the work queued before it.
    NotServing, ///< No preset is known, or the preset closes the data centre.
    RunTooLong, ///< The declared run time exceeds the preset's limit for this class.
};
const char *toString(RefusalReason reason);

/// The answer to a submission. No state of a refused job is kept.
struct Admission
{
    RefusalReason refusal = RefusalReason::None;
    std::optional<Duration> retryAfter;

    bool isAccepted() const { return this->refusal == RefusalReason::None; }
};

/// An action on one job. Decisions have to be carried out in the order in which they are made.
enum class DecisionKind : std::uint8_t {
    Start, ///< Reserve and start the job on `placements`, all or none.
    Throttle, ///< Slow the job down; its cells are about to be reclaimed.
    Checkpoint, ///< Save progress, stop and report `preempted`; the job is requeued.
    Stop, ///< Stop now and report `preempted`.
    /// Remove the waiting job: its deadline is infeasible, it no longer fits, or its customer is
    /// gone.
    Expire,
};

struct Decision
{
    DecisionKind kind = DecisionKind::Start;
    JobId job;
    std::span<const Placement> placements; ///< Valid until the next call with a time argument.
    RefusalReason reason = RefusalReason::None; ///< With Expire.
};

/// How a started job ended.
enum class EndKind : std::uint8_t {
    Finished, ///< Ran to completion.
    Failed, ///< Ran and ended with an error of its own.
    WorkerFault, ///< A worker refused the job, died or failed it; counts against that worker.
    Preempted, ///< Stopped or checkpointed by a decision.
    Cancelled,
};

/// The part of a customer's guarantee that cannot be met because workers failed or left.
struct Shortfall
{
    CustomerId customer;
    CellCounts missing{};
};

/// Gauges for the metrics page and for measurements.
struct SchedulerGauges
{
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t lentSlots = 0; ///< Slots used by jobs outside their customer's guarantee.
    std::uint32_t largestFreeCell = 0; ///< Size of the largest free cell in slots.
    std::array<std::uint32_t, urgencyClassCount> queued{};
    std::array<std::uint32_t, urgencyClassCount> running{};
    std::uint32_t ejectedWorkers = 0;
};

/// Scheduler interface for the workers of one data centre: decides which jobs wait, start and are
/// preempted. Has no clock and does no I/O; one instance drives it with events.
///
/// Order of use: setCustomers and setPreset once known, workerUp for every worker, then submit,
/// decide, jobStarted and jobEnded in any order. The times passed in never decrease.
class Scheduler
{
public:
    virtual ~Scheduler() = default;

    /// A customer's guarantee in this data centre and its fair share.
    struct CustomerEntitlement
    {
        CellCounts guarantee{};
        double share = 1.0;
    };
    /// Sets the customers, ordered by id.
    virtual void setCustomers(std::span<const CustomerEntitlement> customers, TimePoint now) = 0;
    virtual void setPreset(const Preset &preset, bool dataCenterClosed, TimePoint now) = 0;

    /// A worker became available or its description changed. Worker ids are dense and assigned by
    /// the caller.
    virtual void workerUp(WorkerId worker, const WorkerDescription &description, TimePoint now) = 0;
    /// The worker is draining: it gets no new work, and its running jobs continue until they end.
    virtual void workerLeaving(WorkerId worker, TimePoint now) = 0;
    /// The worker is gone. The caller reports `jobEnded` for each job with a placement on the
    /// worker.
    virtual void workerDown(WorkerId worker, TimePoint now) = 0;

    virtual Admission submit(const QueuedJob &job, TimePoint now) = 0;
    /// Adopts a job that already runs, after a change of owner. False if its slots are taken.
    virtual bool adopt(const QueuedJob &job, std::span<const Placement> placements, TimePoint now)
        = 0;
    /// Removes a waiting job; O(1) amortised. False if the job is not waiting.
    virtual bool cancel(JobId job, TimePoint now) = 0;
    /// The job's tasks run on all of its placements.
    virtual void jobStarted(JobId job, TimePoint now) = 0;
    /// The job has released its cells. With `requeue` the job waits again and keeps its original
    /// submission time.
    virtual void jobEnded(JobId job, EndKind end, std::optional<WorkerId> faultyWorker,
                          bool requeue, TimePoint now)
        = 0;

    /// Appends the decisions to carry out now. Call after every batch of events.
    virtual void decide(TimePoint now, std::vector<Decision> &decisions) = 0;
    /// When `decide` has to be called next even if no event occurs.
    virtual std::optional<TimePoint> nextWakeup() const = 0;

    virtual SchedulerGauges gauges() const = 0;
    virtual std::vector<Shortfall> shortfalls() const = 0;
};

} // namespace Hibiscus
