#pragma once

#include <Tasks/TaskJob.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Tasks {

/// Entry of a worker in the platform's registry, written by the worker.
struct WorkerEntry
{
    std::string id;
    std::string machine; ///< A restarted machine has a new worker id. Empty: unknown.
    std::string address; ///< IP:port that accepts orders.
    std::string service;
    std::string dataCenter;
    std::vector<std::string> labels; ///< First the kind of the worker, last its rack.
    Resources capacity;
    bool draining = false;
    /// While the worker drains: the least time, from `clock` on, for which it stays. Empty:
    /// unknown.
    std::optional<Duration> timeLeft;
    /// Start time of the worker's process. A changed value means that the process was restarted and
    /// lost all its tasks.
    std::int64_t incarnation = 0;
    std::int64_t clock = 0; ///< Worker's clock in ms when it wrote the entry.
};

/// Whether a worker with these labels has the label.
bool hasLabel(std::span<const std::string> labels, std::string_view label);

/// Identifies one run of a task on a worker. The runs of a task are numbered from 1.
struct RunRef
{
    std::string job;
    TaskRef task;
    std::int32_t run = 0;

    auto operator<=>(const RunRef &) const = default; // NOLINT(modernize-use-nullptr)
};

struct StartOrder
{
    RunRef run;
    std::string payload;
    std::string checkpoint; ///< Checkpoint to resume from; empty: start from the beginning.
    std::string permit; ///< Permit of the placement service; empty: the queue needs none.
    std::int64_t leaseUntil = 0; ///< End of the lease on the worker's clock, in ms.
    std::int64_t fencingToken = 0;
};

struct StopOrder
{
    RunRef run;
    std::int64_t fencingToken = 0;
};

/// Sets the pace of a task, which limits the load on its worker, in percent of its full pace.
struct PaceOrder
{
    RunRef run;
    std::int32_t percent = 100;
    std::int64_t fencingToken = 0;
};

/// Renews the lease of all tasks on the worker, acknowledges ended tasks and requests the lists of
/// running and ended tasks.
struct RenewOrder
{
    std::int64_t leaseUntil = 0; ///< End of the lease on the worker's clock, in ms; 0: no renewal.
    std::int64_t fencingToken = 0;
    std::int64_t endsRecorded = 0; ///< Ends up to this number are stored; the worker may drop them.
    Duration wait{}; ///< How long the worker may wait for a task to end before it answers.
};

enum class EndCause : std::uint8_t {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangMemberEnded, ///< Another member of the gang ended.
    GangIncomplete, ///< The other members of the gang did not start in time.
};

/// Progress of a task that has done all its work, or of a perpetual task that is at work.
inline constexpr std::int32_t completePercent = 100;

struct RunningTask
{
    RunRef run;
    std::string checkpoint;
    std::int32_t percent = 0; ///< Share of the work done; see completePercent.
    /// Load over the last half second: the tail response time in ms of a task with a response time
    /// target, the cores in use of any other task.
    double load = 0.0;
};

struct EndedTask
{
    std::int64_t number = 0;
    RunRef run;
    EndCause cause = EndCause::Failed;
    std::string checkpoint;
};

enum class WorkerOutcome : std::uint8_t {
    Done,
    Fenced, ///< The worker has seen a higher fencing token.
    Superseded, ///< This run or a later run of the task has already ended on the worker.
    LeaseExpired, ///< The order arrived after the end of its lease.
    NotPermitted, ///< The start's permit is missing or no longer valid on the worker.
    NoRoom,
    Invalid,
    Unhealthy, ///< The worker rejected the order without effect.
    OtherIncarnation,
    Unknown, ///< No answer; the order may have been carried out, or may be carried out later.
};

struct WorkerAnswer
{
    WorkerOutcome outcome = WorkerOutcome::Unknown;
    std::int64_t clock = 0; ///< Worker's clock in ms; 0: unknown.
    std::int64_t incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    bool hasAllEnds = true; ///< False if the worker may hold more ends than `ended` lists.
};

/// Names in log lines.
std::string_view nameOf(EndCause cause);
std::string_view nameOf(WorkerOutcome outcome);
/// "OCCURRENCE.STEP.INDEX".
std::string textOf(const TaskRef &task);
/// "OCCURRENCE.STEP.INDEX#RUN".
std::string textOf(const RunRef &run);

using WorkerHandler = std::function<void(const WorkerAnswer &, TimePoint now)>;

/// Sends orders to workers. Each call invokes its handler exactly once, at the latest after its
/// timeout.
class WorkerLink
{
public:
    virtual ~WorkerLink() = default;

    virtual void start(const WorkerEntry &worker, const StartOrder &order, Duration timeout,
                       WorkerHandler handler)
        = 0;
    virtual void stop(const WorkerEntry &worker, const StopOrder &order, Duration timeout,
                      WorkerHandler handler)
        = 0;
    virtual void setPace(const WorkerEntry &worker, const PaceOrder &order, Duration timeout,
                         WorkerHandler handler)
        = 0;
    virtual void renew(const WorkerEntry &worker, const RenewOrder &order, Duration timeout,
                       WorkerHandler handler)
        = 0;
};

} // namespace Hibiscus::Tasks
