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

/// Where one member's task stands, as far as its dispatcher knows.
enum class MemberState : std::uint8_t {
    Idle, ///< Nothing was sent.
    Reserving, ///< Sent, unanswered.
    Reserved,
    Starting, ///< Sent, unanswered: it may run.
    Running,
    // From here on the task holds nothing on its worker any more.
    NeverStarted, ///< Proven: this task id never ran and never will.
    Done,
    Failed,
    Stopped, ///< Ran, and ended before its end.
    Lost, ///< Its worker is out of reach; it may have run.
};

/// One part of a job on one worker.
struct Member
{
    WorkerId worker;
    TaskPlace place;
    std::string task;
    MemberState state = MemberState::Idle;
    std::string result;
    std::uint64_t sequence = 0; ///< Of the report that ended it.
    bool checkpointed = false;
    bool startUnanswered = false; ///< A Start went unanswered, so a later refusal proves nothing.
    std::optional<TimePoint> callSentAt; ///< Of an unanswered Reserve, Start or Stop.
    TimePoint retryAt{}; ///< When an unanswered call may be sent again.

    bool hasEnded() const { return this->state >= MemberState::NeverStarted; }
    bool mayHaveRun() const { return this->hasEnded() && this->state != MemberState::NeverStarted; }
};

enum class DispatchPhase : std::uint8_t {
    Queued, ///< With the scheduler.
    Assigning, ///< The keeper is recording where it will start.
    Reserving, ///< A gang's members are being reserved.
    Starting,
    Running,
    Ending, ///< Its tasks are being stopped, for `endReason`.
    AbandoningAttempt, ///< The keeper is recording that the attempt never started.
    InDoubt, ///< Not idempotent, and its worker is out of reach.
    Finished, ///< `answer` is final and being handed over.
};

/// Why a job's tasks are being stopped.
enum class EndReason : std::uint8_t { Preempt, Cancel, WorkerFault, MemberFailed, Abandon };

/// One job at its dispatcher.
struct DispatchJob
{
    std::string key;
    JobSpec spec;
    bool hasPayload = true; ///< False if it was rebuilt from a worker's report.
    std::string requester; ///< Instance that gets the updates of a job that is not durable.
    CallId call; ///< The requester's.
    JobId id; ///< The scheduler's; changes each time it is handed to it anew.
    bool scheduled = false; ///< The scheduler knows it under `id`.
    DispatchPhase phase = DispatchPhase::Queued;
    EndReason endReason = EndReason::Preempt;
    bool checkpointing = false; ///< Ending by checkpoint, until a stop is decided.
    std::optional<WorkerId> faultyWorker;
    std::uint32_t attempt = 0;
    std::uint32_t faults = 0; ///< Runs lost to workers, for the retry limit.
    std::vector<Member> members;
    JobAnswer answer;
    bool cancelRequested = false;
    TimePoint acceptedAt{};
    TimePoint inDoubtSince{};
    TimePoint resendAt{}; ///< When an unanswered message to the keeper is sent again.
    TimePoint discardAt{}; ///< When a finished job without a keeper is dropped.

    /// Runs at most once, so each start is recorded first and never repeated on a guess.
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
