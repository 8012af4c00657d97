#pragma once

#include <Core/Ids.h>
#include <Core/Job.h>
#include <Fleet/Worker.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Hibiscus {

/// Sent to every peer twice a second. Missing heartbeats reveal that a peer is dead.
struct Heartbeat
{
    std::string instance;
    std::string dataCenter;
    std::uint64_t incarnation = 0; ///< Unique to each run of the process.
    bool ready = false;
    bool draining = false;
    std::uint64_t configRevision = 0;
    std::uint32_t queuedJobs = 0;
    std::uint32_t freeSlots = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// Requests the configuration changes that a peer knows beyond a revision.
struct ConfigPull
{
    std::uint64_t afterRevision = 0;

    bool operator==(const ConfigPull &) const = default;
};

/// Configuration relayed between peers: a snapshot, the changes that follow it, or both.
struct ConfigPush
{
    std::uint64_t snapshotRevision = 0; ///< 0: no snapshot.
    std::string snapshot;
    std::uint64_t firstRevision = 0; ///< Revision of the first entry of `changes`.
    std::vector<std::string> changes;

    bool operator==(const ConfigPush &) const = default;
};

/// Role of the receiving instance that a job message is addressed to.
enum class JobRole : std::uint8_t {
    Keeper, ///< Owns the ledger shard of the job's key; records the job and drives it to its end.
    Dispatcher, ///< Owns the data centre's workers.
};

/// Worker and slots on which one task of a job was, or is about to be, started.
struct TaskPlace
{
    std::string worker;
    std::string incarnation; ///< Incarnation of the worker.
    SlotMask slots = 0;

    bool operator==(const TaskPlace &) const = default;
};

/// Submits a job to its keeper or dispatcher. Idempotent by the job's key.
struct SubmitJob
{
    CallId call;
    JobRole role = JobRole::Keeper;
    std::string dataCenter; ///< Data centre in which the job is to run.
    JobSpec spec;
    std::uint32_t attempt = 0; ///< For dispatchers: incremented with each abandoned assignment.
    std::vector<TaskPlace> places; ///< For dispatchers: where the current attempt may have started.

    bool operator==(const SubmitJob &) const = default;
};

/// Asks a dispatcher whether it would accept a job, before the job is recorded anywhere, so that a
/// flood of refused jobs causes no load on the store. Answered by a JobUpdate with Accepted or
/// NotRun.
struct AdmitJob
{
    CallId call;
    std::string dataCenter; ///< Data centre whose dispatcher is asked.
    JobSpec spec;

    bool operator==(const AdmitJob &) const = default;
};

/// Asks the keeper or dispatcher of a job to cancel it.
struct CancelJob
{
    CallId call;
    JobRole role = JobRole::Keeper;
    std::string key;

    bool operator==(const CancelJob &) const = default;
};

/// Asks the keeper or dispatcher of a job for its state.
struct QueryJob
{
    CallId call;
    JobRole role = JobRole::Keeper;
    std::string key;

    bool operator==(const QueryJob &) const = default;
};

/// State of a job. Answers SubmitJob, CancelJob and QueryJob, and is sent again whenever the state
/// changes.
struct JobUpdate
{
    CallId call;
    JobRole from = JobRole::Keeper;
    std::string key;
    JobAnswer answer;
    bool recorded = false; ///< From the keeper: the answer is final and recorded in the ledger.
    bool admission = false; ///< Answers AdmitJob; applies to that call and not to the job.
    /// The sender does not hold that role for this key; the message has to be sent to another
    /// instance.
    bool notOwner = false;

    bool operator==(const JobUpdate &) const = default;
};

/// Asks the keeper to record where a job is about to start. The dispatcher may start the job only
/// after a positive reply. An empty list of places abandons an attempt that is proven not to have
/// started.
struct AssignJob
{
    CallId call;
    std::string key;
    std::uint32_t attempt = 0;
    std::uint64_t dispatcherIncarnation = 0;
    std::vector<TaskPlace> places;

    bool operator==(const AssignJob &) const = default;
};

/// Keeper's answer to AssignJob.
struct AssignReply
{
    CallId call;
    std::string key;
    std::uint32_t attempt = 0;
    bool accepted = false;

    bool operator==(const AssignReply &) const = default;
};

/// All messages between entry instances.
using PeerMessage = std::variant<Heartbeat, ConfigPull, ConfigPush, SubmitJob, AdmitJob, CancelJob,
                                 QueryJob, JobUpdate, AssignJob, AssignReply>;

/// A message with its destination. A message to the sending instance itself is delivered locally.
struct PeerSend
{
    std::string instance;
    PeerMessage message;

    bool operator==(const PeerSend &) const = default;
};

} // namespace Hibiscus
