#pragma once

#include <Core/Ids.h>
#include <Core/Time.h>
#include <Fleet/Worker.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hibiscus {

/// What an owner asks of a worker. Every request carries the owner's name and epoch; a worker
/// obeys the highest epoch that has acquired it and refuses lower ones.
enum class WorkerVerb : std::uint8_t {
    Acquire, ///< Take ownership for `ownerTerm` if nobody else's lease is in force.
    Renew, ///< Extend ownership to `ownerTerm` and all tasks' leases to `taskTerm` from now.
    Release, ///< Give ownership up; tasks go on under their leases.
    Reserve, ///< Hold `slots` for `task` until `reserveTerm` has passed or it is started.
    Start, ///< Run `task` on `slots`, reserved or free.
    Stop, ///< End `task` now; also gives a reservation up.
    Checkpoint, ///< Save `task` and end it.
    Throttle, ///< Let `task` run slowly.
    Acknowledge, ///< The reports up to `sequence` are safe; results may be dropped.
    Collect, ///< Wait up to `wait` for reports later than `sequence`.
};

struct WorkerRequest
{
    WorkerVerb verb = WorkerVerb::Renew;
    std::string owner;
    std::uint64_t epoch = 0;
    std::string task; ///< Unique for ever; a worker never starts one id twice.
    SlotMask slots = 0;
    std::uint32_t memoryMiB = 0;
    std::string kind;
    std::string payload;
    std::string job; ///< Start, Reserve: text that the owner gets back in reports.
    Duration declaredRunTime{};
    Duration ownerTerm{};
    Duration taskTerm{};
    Duration reserveTerm{};
    Duration wait{};
    std::uint64_t sequence = 0;

    bool operator==(const WorkerRequest &) const = default;
};

enum class TaskState : std::uint8_t {
    Reserved,
    Running,
    Done,
    Failed,
    Checkpointed,
    Stopped, ///< Stopped after it had started.
    NeverStarted, ///< Reservation ended or was given up; this task id can no longer start.
};

/// The latest news of one task, numbered by the worker.
struct TaskReport
{
    std::uint64_t sequence = 0;
    std::string task;
    std::string job;
    TaskState state = TaskState::Reserved;
    SlotMask slots = 0;
    std::string result; ///< With Done and Failed, until acknowledged.

    bool operator==(const TaskReport &) const = default;
};

enum class WorkerStatus : std::uint8_t {
    Ok,
    Stale, ///< A higher epoch, or another owner's lease, is in force; nothing was done.
    Seen, ///< Start, Reserve: this task id was used before; `reports` holds its state.
    Full, ///< Start, Reserve: slots or memory are taken; nothing was done.
    UnknownTask,
    Leaving, ///< Takes no new work; nothing was done.
    NotDelivered, ///< Never reached the worker, for certain.
    NoAnswer, ///< It may have reached the worker.
};

struct WorkerReply
{
    WorkerStatus status = WorkerStatus::NoAnswer;
    std::string incarnation; ///< Changes when the worker's process lost what it knew.
    std::uint64_t epoch = 0; ///< The highest the worker has obeyed.
    Duration ownerLeaseLeft{}; ///< With Stale: how long the other owner's lease still lasts.
    std::vector<TaskReport> reports; ///< Acquire: of every task that is not acknowledged.
    double load = 0.0; ///< Share of the worker's processors in use, reported with a lag.

    bool operator==(const WorkerReply &) const = default;
};

/// One call that a state machine wants made.
struct WorkerCall
{
    CallId call;
    std::string worker;
    WorkerRequest request;

    bool operator==(const WorkerCall &) const = default;
};

} // namespace Hibiscus
