#pragma once

#include <Tasks/TaskJob.h>

#include <functional>
#include <string>
#include <vector>

namespace Hibiscus::Tasks {

/// A worker as it describes itself in the platform's registry.
struct WorkerEntry
{
    std::string id;
    std::string machine; ///< The worker is one life of it. Empty: not told.
    std::string address; ///< IP:port.
    std::string service;
    std::string dataCenter;
    std::vector<std::string> labels; ///< Its kind and its rack.
    Resources capacity;
    bool draining = false;
    std::int64_t incarnation = 0; ///< Start of the worker's process; another value: it lost all.
    std::int64_t clock = 0; ///< The worker's own clock when it wrote this, in ms.
};

/// One run of a task on a worker: starts of a task are numbered upwards from 1.
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
    std::string checkpoint; ///< Empty: start from the beginning.
    std::string permit; ///< Of the placement service; empty: the queue needs none.
    std::int64_t leaseUntil = 0; ///< On the worker's clock, in ms.
    std::int64_t fencingToken = 0;
};

struct StopOrder
{
    RunRef run;
    std::int64_t fencingToken = 0;
};

/// Lets a task work, and load its worker, at a share of its full pace.
struct PaceOrder
{
    RunRef run;
    std::int32_t percent = 100;
    std::int64_t fencingToken = 0;
};

/// Renews the lease of all that runs on the worker, forgets ends and asks for news.
struct RenewOrder
{
    std::int64_t leaseUntil = 0; ///< On the worker's clock, in ms; 0: do not renew.
    std::int64_t fencingToken = 0;
    std::int64_t endsRecorded = 0; ///< Ends up to this number are stored and may be forgotten.
    Duration wait{}; ///< How long the worker may wait for an end before it answers.
};

enum class EndCause : std::uint8_t {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangMemberEnded, ///< Another member of the gang ended.
    GangIncomplete, ///< The other members of the gang did not come in time.
};

struct RunningTask
{
    RunRef run;
    std::string checkpoint;
    std::int32_t percent = 0; ///< Of its work; of a perpetual task, 100 once it is at work.
    /// Over the last half second. Of a task with a response time target: the tail of its response
    /// times in ms; of any other: the cores that it uses.
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
    Fenced, ///< A higher fencing token was seen.
    Superseded, ///< This run or a later one was there already and has ended.
    LeaseExpired, ///< The order came after its lease.
    NotPermitted, ///< The start's permit is missing or not valid here any more.
    NoRoom,
    Invalid,
    Unhealthy, ///< The worker did nothing.
    OtherIncarnation,
    Unknown, ///< No answer; may have been carried out, or may be later.
};

struct WorkerAnswer
{
    WorkerOutcome outcome = WorkerOutcome::Unknown;
    std::int64_t clock = 0; ///< The worker's clock in ms; 0: not told.
    std::int64_t incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

using WorkerHandler = std::function<void(const WorkerAnswer &, TimePoint now)>;

/// Orders to workers. Each call answers exactly once, at the latest after its timeout.
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
