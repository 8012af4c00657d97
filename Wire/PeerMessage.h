#pragma once

#include <Core/Ids.h>
#include <Core/Job.h>
#include <Fleet/Worker.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Hibiscus {

/// Sent to every peer twice a second; also how a peer's death is noticed.
struct Heartbeat
{
    std::string instance;
    std::string dataCenter;
    std::uint64_t incarnation = 0; ///< Differs each time the process starts.
    bool ready = false;
    bool draining = false;
    std::uint64_t configRevision = 0;
    std::uint32_t queuedJobs = 0;
    std::uint32_t freeSlots = 0;

    bool operator==(const Heartbeat &) const = default;
};

/// Asks a peer for what it knows beyond a revision of the configuration.
struct ConfigPull
{
    std::uint64_t afterRevision = 0;

    bool operator==(const ConfigPull &) const = default;
};

/// Configuration relayed between peers: a snapshot, changes that follow it, or both.
struct ConfigPush
{
    std::uint64_t snapshotRevision = 0; ///< 0: no snapshot.
    std::string snapshot;
    std::uint64_t firstRevision = 0; ///< Of `changes`.
    std::vector<std::string> changes;

    bool operator==(const ConfigPush &) const = default;
};

/// Which part of the receiving instance a job message is for.
enum class JobRole : std::uint8_t {
    Keeper, ///< Owns the ledger shard of the job's key; makes it durable and sees it through.
    Dispatcher, ///< Owns the data centre's workers.
};

/// Where one part of a job was, or is about to be, started.
struct TaskPlace
{
    std::string worker;
    std::string incarnation; ///< The worker's.
    SlotMask slots = 0;

    bool operator==(const TaskPlace &) const = default;
};

/// Hands a job to its keeper or dispatcher. Idempotent: the key decides.
struct SubmitJob
{
    CallId call;
    JobRole role = JobRole::Keeper;
    std::string dataCenter; ///< Where it is to run.
    JobSpec spec;
    std::uint32_t attempt = 0; ///< Dispatcher: rises with every assignment that was given up.
    std::vector<TaskPlace> places; ///< Dispatcher: where the present attempt may have started.

    bool operator==(const SubmitJob &) const = default;
};

/// Asks a dispatcher whether it would take a job, before the job is recorded anywhere, so that a
/// flood of refused work costs the store nothing. Answered by a JobUpdate: Accepted or NotRun.
struct AdmitJob
{
    CallId call;
    std::string dataCenter; ///< Whose dispatcher is asked.
    JobSpec spec;

    bool operator==(const AdmitJob &) const = default;
};

struct CancelJob
{
    CallId call;
    JobRole role = JobRole::Keeper;
    std::string key;

    bool operator==(const CancelJob &) const = default;
};

struct QueryJob
{
    CallId call;
    JobRole role = JobRole::Keeper;
    std::string key;

    bool operator==(const QueryJob &) const = default;
};

/// News of a job, answering SubmitJob, CancelJob and QueryJob; sent again whenever it changes.
struct JobUpdate
{
    CallId call;
    JobRole from = JobRole::Keeper;
    std::string key;
    JobAnswer answer;
    bool recorded = false; ///< From the keeper: the answer is the end as the ledger holds it.
    bool admission = false; ///< Answers AdmitJob: it speaks of one call and not of the job.
    bool notOwner = false; ///< The receiver does not play that role for this key; ask elsewhere.

    bool operator==(const JobUpdate &) const = default;
};

/// The dispatcher asks the keeper to record where a job is about to start. Only after a positive
/// reply may it start. An empty list gives the attempt up, proven unstarted.
struct AssignJob
{
    CallId call;
    std::string key;
    std::uint32_t attempt = 0;
    std::uint64_t dispatcherIncarnation = 0;
    std::vector<TaskPlace> places;

    bool operator==(const AssignJob &) const = default;
};

struct AssignReply
{
    CallId call;
    std::string key;
    std::uint32_t attempt = 0;
    bool accepted = false;

    bool operator==(const AssignReply &) const = default;
};

/// Everything that one entry instance says to another.
using PeerMessage = std::variant<Heartbeat, ConfigPull, ConfigPush, SubmitJob, AdmitJob, CancelJob,
                                 QueryJob, JobUpdate, AssignJob, AssignReply>;

/// A message with its destination; an instance's own name is delivered to itself.
struct PeerSend
{
    std::string instance;
    PeerMessage message;

    bool operator==(const PeerSend &) const = default;
};

} // namespace Hibiscus
