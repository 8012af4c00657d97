#pragma once

#include <Ledger/LedgerRecord.h>
#include <Ledger/LedgerShard.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// Identifies one run of the instance that is the dispatcher of a data centre.
struct DispatcherId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    bool operator==(const DispatcherId &) const = default;
};

/// A call of an instance that waits for updates of a job.
struct JobRequester
{
    std::string instance;
    CallId call;

    bool operator==(const JobRequester &) const = default;
};

/// A request to record or to give up an assignment, whose record is not durable yet.
struct PendingAssign
{
    DispatcherId from;
    AssignJob message;
};

/// One durable job in its keeper's memory. The durable state is derived from ledger records alone.
/// The volatile state is lost when the keeper's process ends.
class LedgerJob
{
public:
    enum class AssignVerdict : std::uint8_t {
        Refuse,
        Wait, ///< The same assignment is being recorded; the answer follows.
        Repeat, ///< The assignment is already recorded; accept it again.
        Record, ///< Record the assignment, then accept it.
    };

    /// Decides how to handle an AssignJob of dispatcher `from`.
    AssignVerdict checkAssign(const DispatcherId &from, const AssignJob &message) const;
    /// Returns true if a final status reported by `instance` may be recorded.
    bool acceptsEndFrom(const std::string &instance, JobStatus status) const;

    bool isFinished() const { return this->end.has_value(); }
    bool isAssigned() const { return !this->places.empty(); }
    /// Returns true if the job has certainly never run: no assignment is recorded or being
    /// recorded.
    bool isProvenUnstarted() const;
    /// Returns the answer to requesters of the job at present.
    JobAnswer answer() const;

    /// Adds a waiting requester. Each instance has one entry, with its latest call.
    void addRequester(const JobRequester &requester);

    // Durable state, derived from ledger records.
    bool durable = false; ///< The claim record is durable.
    std::string dataCenter;
    JobSpec spec; ///< Default-constructed once the job is finished.
    std::uint64_t digest = 0; ///< Digest of the spec, see specDigest.
    std::uint32_t attempt = 0;
    std::vector<TaskPlace> places; ///< Recorded places of the attempt; empty if unassigned.
    std::optional<JobAnswer> end; ///< Recorded final answer.
    TimePoint endedAt{};

    // Volatile state.
    std::optional<AppendId> claimAppend; ///< Set while the claim is being recorded.
    std::vector<JobRequester> requesters;
    std::vector<JobRequester>
        reporters; ///< Dispatchers that reported the final status being recorded.
    std::optional<DispatcherId> dispatcher; ///< Dispatcher that the job was last submitted to.
    std::optional<PendingAssign> pendingAssign;
    std::optional<TimePoint> dueAt; ///< When to submit the job to a dispatcher again.
    std::uint32_t unansweredSubmits = 0; ///< Consecutive submissions without an answer.
    bool running = false;
    bool endPending = false; ///< The final answer is being recorded.
    bool cancelled = false; ///< The caller has asked to cancel the job.
};

} // namespace Hibiscus
