#pragma once

#include <Ledger/LedgerRecord.h>
#include <Ledger/LedgerShard.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// A run of an instance that plays the dispatcher's role for a data centre.
struct DispatcherId
{
    std::string instance;
    std::uint64_t incarnation = 0;

    bool operator==(const DispatcherId &) const = default;
};

/// Somebody who waits for news of a job.
struct JobRequester
{
    std::string instance;
    CallId call;

    bool operator==(const JobRequester &) const = default;
};

/// An assignment, or the giving up of one, that is being recorded.
struct PendingAssign
{
    DispatcherId from;
    AssignJob message;
};

/// One job as its keeper knows it. The first part is made of records alone; the second is lost
/// with the keeper.
class KeptJob
{
public:
    enum class AssignVerdict : std::uint8_t {
        Refuse,
        Wait, ///< It is being recorded: the answer will follow.
        Repeat, ///< Recorded before: accept again.
        Record, ///< Record it, then accept.
    };

    /// What to do with an AssignJob.
    AssignVerdict judge(const DispatcherId &from, const AssignJob &message) const;
    /// True if an end reported by `instance` may be recorded.
    bool believes(const std::string &instance, JobStatus status) const;

    bool isFinished() const { return this->end.has_value(); }
    bool isAssigned() const { return !this->places.empty(); }
    /// True if the keeper alone can say that the job never ran: nothing was assigned, and nothing
    /// is about to be.
    bool isProvenUnstarted() const;
    /// What may be told about the job now.
    JobAnswer answer() const;

    /// Adds one who waits. An instance waits once, under its last call.
    void addRequester(const JobRequester &requester);

    // Made of records.
    bool durable = false; ///< The claim is.
    std::string dataCenter;
    JobSpec spec; ///< Without content once the job is finished.
    std::uint64_t digest = 0; ///< Of the spec.
    std::uint32_t attempt = 0;
    std::vector<TaskPlace> places; ///< Of the attempt.
    std::optional<JobAnswer> end;
    TimePoint endedAt{};

    // Lost with the keeper.
    std::optional<AppendId> claim; ///< While it is being recorded.
    std::vector<JobRequester> requesters;
    std::vector<JobRequester> reporters; ///< Dispatchers that reported an end not recorded yet.
    std::optional<DispatcherId> dispatcher; ///< Whom the job was last submitted to.
    std::optional<PendingAssign> pendingAssign;
    std::optional<TimePoint> dueAt; ///< When to submit it to a dispatcher again.
    std::uint32_t tries = 0; ///< Submissions to the dispatcher without an answer.
    bool running = false;
    bool ending = false; ///< An end is being recorded.
    bool cancelled = false; ///< Its caller has asked for that.
};

} // namespace Hibiscus
