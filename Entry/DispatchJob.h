#pragma once

#include <Core/Ids.h>
#include <Core/Job.h>
#include <Endpoint/WorkerMessage.h>
#include <Wire/PeerMessage.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// State of one member's task as its dispatcher knows it.
enum class MemberState : std::uint8_t {
    Idle, ///< Nothing has been sent to the worker.
    Reserving, ///< A Reserve was sent and is unanswered.
    Reserved,
    Starting, ///< A Start was sent and is unanswered: the task may run.
    Running,
    // In all later states the task holds no slots on its worker.
    NeverStarted, ///< Proven: this task id has not run and can no longer run.
    Done,
    Failed,
    Stopped, ///< The task was stopped after it had started.
    Lost, ///< The worker is out of reach; the task may have run.
};

/// One task of a job and the worker that it is placed on.
struct Member
{
    WorkerId worker;
    TaskPlace place;
    std::string task;
    MemberState state = MemberState::Idle;
    std::string result;
    std::uint64_t sequence = 0; ///< Sequence number of the report that ended the task.
    std::string incarnation; ///< The worker's process that numbered this report.
    bool checkpointed = false;
    /// A Start went unanswered, so a later refusal does not prove that the task never ran.
    bool startUnanswered = false;
    std::optional<TimePoint> callSentAt; ///< When the unanswered Reserve, Start or Stop was sent.
    TimePoint retryAt{}; ///< When an unanswered call may be sent again.

    bool hasEnded() const { return this->state >= MemberState::NeverStarted; }
    bool mayHaveRun() const { return this->hasEnded() && this->state != MemberState::NeverStarted; }
};

/// Phase of a job at its dispatcher.
enum class DispatchPhase : std::uint8_t {
    Queued, ///< Waits in the scheduler's queue.
    Assigning, ///< The keeper is recording where the job will start.
    Reserving, ///< The slots of a gang's members are being reserved.
    Starting,
    Running,
    Ending, ///< The job's tasks are being stopped because of `endReason`.
    AbandoningAttempt, ///< The keeper is recording that the attempt never started.
    InDoubt, ///< A task may run on a worker that is out of reach.
    Finished, ///< `answer` is final and being delivered.
};

/// Why a job's tasks are being stopped.
enum class EndReason : std::uint8_t { Preempt, Cancel, WorkerFault, MemberFailed, Abandon };

/// A job as its dispatcher tracks it.
struct DispatchJob
{
    std::string key;
    JobSpec spec;
    bool hasPayload = true; ///< False if the job was rebuilt from a worker's report.
    std::string requester; ///< Instance that receives the updates of a job that is not durable.
    CallId call; ///< Call id chosen by the requester.
    JobId id; ///< The scheduler's id; changes each time the job is submitted to the scheduler.
    bool scheduled = false; ///< The scheduler holds the job under `id`.
    DispatchPhase phase = DispatchPhase::Queued;
    EndReason endReason = EndReason::Preempt;
    /// The job is ended by a checkpoint until the scheduler decides to stop it.
    bool checkpointing = false;
    std::optional<WorkerId> faultyWorker;
    std::uint32_t attempt = 0;
    /// Runs that failed or were lost with a worker; counts towards the retry limit.
    std::uint32_t faults = 0;
    std::vector<Member> members;
    JobAnswer answer;
    bool cancelRequested = false;
    TimePoint acceptedAt{};
    TimePoint inDoubtSince{};
    TimePoint resendAt{}; ///< When an unanswered message to the keeper is sent again.
    TimePoint discardAt{}; ///< When a finished job without a keeper is dropped.

    /// True for non-idempotent jobs: each start is recorded before it is made and is repeated only
    /// if the earlier attempt is proven not to have run.
    bool runsAtMostOnce() const { return !this->spec.idempotent; }
    bool allMembersEnded() const
    {
        return std::all_of(this->members.begin(), this->members.end(),
                           [](const Member &member) { return member.hasEnded(); });
    }
    bool allMembersIn(MemberState state) const
    {
        return std::all_of(this->members.begin(), this->members.end(),
                           [state](const Member &member) { return member.state == state; });
    }
    bool anyMemberIn(MemberState state) const
    {
        return std::any_of(this->members.begin(), this->members.end(),
                           [state](const Member &member) { return member.state == state; });
    }
    bool anyMemberMayHaveRun() const
    {
        return std::any_of(this->members.begin(), this->members.end(),
                           [](const Member &member) { return member.mayHaveRun(); });
    }
};

} // namespace Hibiscus
