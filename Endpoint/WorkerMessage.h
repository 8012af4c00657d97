#pragma once

#include <Core/Ids.h>
#include <Core/Time.h>
#include <Fleet/Worker.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hibiscus {

/// Requests that an owner makes to a worker. Every request carries the owner's name and epoch; a
/// worker serves the highest epoch that has acquired it and refuses lower ones.
enum class WorkerVerb : std::uint8_t {
    Acquire, ///< Take ownership for `ownerTerm` if no other owner's lease is valid.
    Renew, ///< Extend ownership to `ownerTerm` and all tasks' leases to `taskTerm` from now.
    Release, ///< Give up ownership; tasks continue under their leases.
    Reserve, ///< Hold `slots` for `task` until `reserveTerm` has passed or the task is started.
    Start, ///< Run `task` on `slots`, which are reserved for it or free.
    Stop, ///< End `task` now, or give up its reservation.
    Checkpoint, ///< Save the state of `task` and end it.
    Throttle, ///< Reduce the speed of `task`.
    Acknowledge, ///< Confirm the reports up to `sequence`, whose results may be dropped.
    Collect, ///< Wait up to `wait` for reports with a number above `sequence`.
};

struct WorkerRequest
{
    WorkerVerb verb = WorkerVerb::Renew;
    std::string owner;
    std::uint64_t epoch = 0;
    std::string task; ///< Globally unique; a worker never starts the same id twice.
    SlotMask slots = 0;
    std::uint32_t memoryMiB = 0;
    std::string kind;
    std::string payload;
    std::string job; ///< Start, Reserve: text that is returned to the owner in reports.
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
    Stopped, ///< The task was stopped after it had started.
    NeverStarted, ///< The reservation expired or was given up; this task id can no longer start.
};

/// Latest state of one task, with a sequence number assigned by the worker.
struct TaskReport
{
    std::uint64_t sequence = 0;
    std::string task;
    std::string job;
    TaskState state = TaskState::Reserved;
    SlotMask slots = 0;
    std::string result; ///< Set with Done and Failed until the report is acknowledged.

    bool operator==(const TaskReport &) const = default;
};

enum class WorkerStatus : std::uint8_t {
    Ok,
    Stale, ///< A higher epoch or another owner's lease is valid; nothing was done.
    Seen, ///< Start, Reserve: this task id was used before; `reports` holds its state.
    Full, ///< Start, Reserve: slots or memory are taken; nothing was done.
    UnknownTask,
    Leaving, ///< The worker accepts no new work; nothing was done.
    NotDelivered, ///< The request certainly did not reach the worker.
    NoAnswer, ///< No reply came; the request may have reached the worker.
};

struct WorkerReply
{
    WorkerStatus status = WorkerStatus::NoAnswer;
    std::string incarnation; ///< Changes when the worker's process has lost its state.
    std::uint64_t epoch = 0; ///< Highest epoch that has acquired the worker.
    Duration ownerLeaseLeft{}; ///< With Stale: remaining time of the other owner's lease.
    std::vector<TaskReport> reports; ///< With Acquire: reports of all unacknowledged tasks.
    double load = 0.0; ///< Share of the worker's processors in use; lags behind.

    bool operator==(const WorkerReply &) const = default;
};

/// A worker call that a state machine requests from its adapters.
struct WorkerCall
{
    CallId call;
    std::string worker;
    WorkerRequest request;

    bool operator==(const WorkerCall &) const = default;
};

} // namespace Hibiscus
