// The part of Dispatcher that carries a started job to its end: advance, stop, doubt, finish.

#include <Entry/Dispatcher.h>

#include <cassert>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

constexpr const char *part = "dispatch";

JobAnswer finalAnswer(JobStatus status, std::string reason)
{
    JobAnswer answer;
    answer.status = status;
    answer.reason = std::move(reason);
    return answer;
}

/// The whole answer: a single task's result as it is, a gang's as a JSON array in member order.
std::string wholeResult(const DispatchJob &job)
{
    if (job.members.size() == 1)
        return job.members.front().result;
    nlohmann::json results = nlohmann::json::array();
    for (const Member &member : job.members)
        results.push_back(member.result);
    return results.dump();
}

const Member *firstIn(const DispatchJob &job, MemberState state)
{
    const auto same = [state](const Member &member) { return member.state == state; };
    const auto it = std::find_if(job.members.begin(), job.members.end(), same);
    return it == job.members.end() ? nullptr : &*it;
}

} // namespace

void Dispatcher::sendToAll(DispatchJob &job, WorkerVerb verb, TimePoint now, EntryActions &out)
{
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        if (!job.members[i].isOver())
            this->sendTask(job, i, verb, now, out);
    }
}

void Dispatcher::advance(DispatchJob &job, TimePoint now, EntryActions &out)
{
    switch (job.phase) {
    case DispatchPhase::Reserving:
        if (job.allIn(MemberState::Reserved)) {
            job.phase = DispatchPhase::Starting;
            this->sendToAll(job, WorkerVerb::Start, now, out);
        } else if (job.anyIn(MemberState::Unstarted)) {
            this->end(job, EndReason::WorkerFault, job.faultyWorker, now, out);
        }
        return;
    case DispatchPhase::Starting:
    case DispatchPhase::Running:
        this->advanceStarting(job, now, out);
        return;
    case DispatchPhase::Ending:
        if (job.allOver())
            this->concludeEnding(job, now, out);
        return;
    case DispatchPhase::InDoubt:
        this->settleDoubt(job, now, out);
        return;
    default:
        return;
    }
}

void Dispatcher::advanceStarting(DispatchJob &job, TimePoint now, EntryActions &out)
{
    if (const Member *failed = firstIn(job, MemberState::Failed)) {
        this->end(job, EndReason::MemberFailed, failed->worker, now, out);
        return;
    }
    for (const MemberState bad :
         {MemberState::Lost, MemberState::Stopped, MemberState::Unstarted}) {
        if (const Member *member = firstIn(job, bad)) {
            const WorkerId faulty = job.faultyWorker.value_or(member->worker);
            this->end(job, EndReason::WorkerFault, faulty, now, out);
            return;
        }
    }
    if (job.allIn(MemberState::Done)) {
        JobAnswer answer;
        answer.status = JobStatus::Done;
        answer.result = wholeResult(job);
        this->finish(job, EndKind::Finished, std::move(answer), now, out);
        return;
    }
    if (job.phase == DispatchPhase::Starting && !job.anyIn(MemberState::Starting)) {
        job.phase = DispatchPhase::Running;
        if (job.scheduled)
            this->scheduler->jobStarted(job.id, now);
        this->sendUpdate(job, out);
    }
}

void Dispatcher::end(DispatchJob &job, EndReason reason, std::optional<WorkerId> faulty,
                     TimePoint now, EntryActions &out)
{
    this->touch(job);
    const bool onlyDoubt
        = job.runsOnce() && reason == EndReason::WorkerFault && job.anyIn(MemberState::Lost)
        && std::all_of(job.members.begin(), job.members.end(), [](const Member &member) {
               return member.state == MemberState::Lost || member.state == MemberState::Done;
           });
    if (onlyDoubt) {
        this->leaveScheduler(job, EndKind::WorkerFault, false, now);
        this->enterDoubt(job, now);
        return;
    }
    if (job.phase != DispatchPhase::Ending || reason != EndReason::Preempt)
        job.ending = reason;
    job.phase = DispatchPhase::Ending;
    if (faulty)
        job.faultyWorker = faulty;
    this->stopMembers(job, now, out);
    this->advance(job, now, out);
}

void Dispatcher::stopMembers(DispatchJob &job, TimePoint now, EntryActions &out)
{
    const WorkerVerb verb = job.checkpointing ? WorkerVerb::Checkpoint : WorkerVerb::Stop;
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        Member &member = job.members[i];
        if (member.isOver())
            continue;
        if (member.state == MemberState::Idle)
            this->setState(member, MemberState::Unstarted);
        else
            this->sendTask(job, i, verb, now, out);
    }
}

void Dispatcher::concludeEnding(DispatchJob &job, TimePoint now, EntryActions &out)
{
    job.checkpointing = false;
    if (job.allIn(MemberState::Done)) {
        job.phase = DispatchPhase::Running;
        this->advanceStarting(job, now, out);
        return;
    }
    if (job.ending == EndReason::Cancel || job.cancelRequested) {
        const bool ran = job.anyMayHaveRun();
        const bool unknown = job.runsOnce() && job.anyIn(MemberState::Lost);
        JobAnswer answer = finalAnswer(JobStatus::NotRun, "cancelled before it started");
        if (unknown)
            answer
                = finalAnswer(JobStatus::OutcomeUnknown, "cancelled; its worker is out of reach");
        else if (ran)
            answer = finalAnswer(JobStatus::Cancelled, "cancelled by its caller");
        this->finish(job, EndKind::Cancelled, std::move(answer), now, out);
        return;
    }
    if (job.runsOnce()) {
        this->concludeRunsOnce(job, now, out);
        return;
    }
    if (job.ending == EndReason::Preempt) {
        this->requeue(job, EndKind::Preempted, now, out);
        return;
    }
    if (job.anyMayHaveRun())
        ++job.faults;
    if (job.faults <= this->settings.retriesAfterFault) {
        this->requeue(job, EndKind::WorkerFault, now, out);
        return;
    }
    const Member *failed = firstIn(job, MemberState::Failed);
    JobAnswer answer = finalAnswer(JobStatus::Failed, "it failed on several workers");
    answer.result = failed ? failed->result : std::string();
    this->finish(job, EndKind::Failed, std::move(answer), now, out);
}

void Dispatcher::concludeRunsOnce(DispatchJob &job, TimePoint now, EntryActions &out)
{
    if (!job.anyMayHaveRun()) {
        this->giveUpAttempt(job, now, out);
        return;
    }
    const bool partKnown = job.anyIn(MemberState::Failed) || job.anyIn(MemberState::Stopped)
        || job.anyIn(MemberState::Unstarted);
    if (!partKnown) {
        this->leaveScheduler(job, EndKind::WorkerFault, false, now);
        this->enterDoubt(job, now);
        return;
    }
    const Member *failed = firstIn(job, MemberState::Failed);
    JobAnswer answer = finalAnswer(JobStatus::Failed, "it ran in part and is not run again");
    if (failed) {
        answer.reason = "its task failed";
        answer.result = failed->result;
    }
    this->finish(job, EndKind::Failed, std::move(answer), now, out);
}

void Dispatcher::giveUpAttempt(DispatchJob &job, TimePoint now, EntryActions &out)
{
    this->leaveScheduler(job, EndKind::WorkerFault, false, now);
    job.phase = DispatchPhase::GivingUp;
    this->touch(job);
    this->sendAssign(job, now, out);
}

void Dispatcher::requeue(DispatchJob &job, EndKind kind, TimePoint now, EntryActions &out)
{
    if (!job.hasPayload) {
        // Rebuilt from a report; whoever wants it run again hands it over anew, with its payload.
        this->leaveScheduler(job, kind, false, now);
        this->drop(std::string(job.key));
        return;
    }
    const bool keepsPlace = job.scheduled;
    job.phase = DispatchPhase::Queued;
    this->leaveScheduler(job, kind, true, now);
    job.faultyWorker.reset();
    this->forgetTasks(job);
    if (keepsPlace)
        return;
    const Admission admission = this->enqueue(job, now);
    if (!admission.isAccepted()) {
        JobAnswer answer = finalAnswer(JobStatus::Failed, toString(admission.refusal));
        this->finish(job, EndKind::Failed, std::move(answer), now, out);
    }
}

void Dispatcher::leaveScheduler(DispatchJob &job, EndKind kind, bool requeue, TimePoint now)
{
    if (!job.scheduled)
        return;
    this->scheduler->jobEnded(job.id, kind, job.faultyWorker, requeue, now);
    if (requeue)
        return;
    this->keysOfJobs.erase(job.id);
    job.scheduled = false;
}

void Dispatcher::finish(DispatchJob &job, EndKind kind, JobAnswer answer, TimePoint now,
                        EntryActions &out)
{
    assert(isFinal(answer.status));
    this->leaveScheduler(job, kind, false, now);
    job.phase = DispatchPhase::Finished;
    job.answer = std::move(answer);
    // What is recorded is final; there is nothing to try again under this id.
    if (job.spec.durable)
        job.answer.retryAfter.reset();
    job.forgetAt = now + this->settings.answersKept;
    job.resendAt = now + this->settings.resendAfter;
    this->touch(job);
    if (!job.spec.durable)
        this->releaseReports(job);
    out.log(LogLevel::Info, part, std::string("Ended as ") + toString(job.answer.status) + ".",
            job.key);
    this->sendUpdate(job, out);
}

void Dispatcher::releaseReports(const DispatchJob &job)
{
    for (const Member &member : job.members) {
        WorkerSession *session = this->session(member.place.worker);
        if (session && member.sequence != 0)
            session->releaseReport(member.sequence);
    }
}

bool Dispatcher::tickJob(DispatchJob &job, TimePoint now, EntryActions &out)
{
    switch (job.phase) {
    case DispatchPhase::Queued:
        if (!job.scheduled)
            this->tickQueued(job, now, out);
        return job.phase != DispatchPhase::Queued || !job.scheduled;
    case DispatchPhase::Assigning:
    case DispatchPhase::GivingUp:
        if (now >= job.resendAt)
            this->sendAssign(job, now, out);
        return true;
    case DispatchPhase::Reserving:
    case DispatchPhase::Starting:
    case DispatchPhase::Ending:
        this->retryMembers(job, now, out);
        return true;
    case DispatchPhase::Running:
        return false;
    case DispatchPhase::InDoubt:
        this->settleDoubt(job, now, out);
        return true;
    case DispatchPhase::Finished:
        return this->tickFinished(job, now, out);
    }
    return false;
}

void Dispatcher::tickQueued(DispatchJob &job, TimePoint now, EntryActions &out)
{
    if (this->recovering(now))
        return;
    const Admission admission = this->enqueue(job, now);
    if (admission.isAccepted()) {
        this->sendUpdate(job, out);
        return;
    }
    if (this->isHeld(job, admission, now))
        return;
    JobAnswer answer = finalAnswer(JobStatus::NotRun, toString(admission.refusal));
    answer.retryAfter = admission.retryAfter;
    this->finish(job, EndKind::Cancelled, std::move(answer), now, out);
}

bool Dispatcher::tickFinished(DispatchJob &job, TimePoint now, EntryActions &out)
{
    if (!job.spec.durable) {
        if (now < job.forgetAt)
            return true;
        this->drop(std::string(job.key));
        return false;
    }
    if (now >= job.resendAt) {
        this->sendUpdate(job, out);
        job.resendAt = now + this->settings.resendAfter;
    }
    return true;
}

void Dispatcher::retryMembers(DispatchJob &job, TimePoint now, EntryActions &out)
{
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        const Member &member = job.members[i];
        if (member.isOver() || member.callSince || now < member.retryAt)
            continue;
        WorkerVerb verb = job.checkpointing ? WorkerVerb::Checkpoint : WorkerVerb::Stop;
        if (job.phase != DispatchPhase::Ending) {
            if (member.state != MemberState::Reserving && member.state != MemberState::Starting)
                continue;
            const bool reserving = member.state == MemberState::Reserving;
            verb = reserving ? WorkerVerb::Reserve : WorkerVerb::Start;
        }
        this->sendTask(job, i, verb, now, out);
    }
}

void Dispatcher::enterDoubt(DispatchJob &job, TimePoint now)
{
    job.phase = DispatchPhase::InDoubt;
    job.doubtSince = now;
    this->touch(job);
}

bool Dispatcher::isGone(const Member &member, const DispatchJob &job, TimePoint now)
{
    if (member.state != MemberState::Lost)
        return false;
    const WorkerSession *session = this->session(member.place.worker);
    if (!session)
        return now - job.doubtSince > this->settings.doubt;
    return session->state() == WorkerSession::State::Owned
        && session->workerIncarnation() != member.place.incarnation;
}

void Dispatcher::settleDoubt(DispatchJob &job, TimePoint now, EntryActions &out)
{
    bool gone = false;
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        const Member &member = job.members[i];
        gone = gone || this->isGone(member, job, now);
        const bool askable
            = member.state == MemberState::Lost && !member.callSince && now >= member.retryAt;
        // What runs is named when its worker is acquired. A task that was not named never
        // started, and naming it in a Stop makes that final.
        if (askable && !gone)
            this->sendTask(job, i, WorkerVerb::Stop, now, out);
    }
    const bool someLost = job.anyIn(MemberState::Lost);
    if (gone && job.runsOnce()) {
        this->stopMembers(job, now, out);
        JobAnswer answer = finalAnswer(JobStatus::OutcomeUnknown, "its worker is gone for good");
        this->finish(job, EndKind::WorkerFault, std::move(answer), now, out);
        return;
    }
    if (gone || (someLost && !job.runsOnce() && !this->recovering(now))) {
        this->end(job, EndReason::WorkerFault, std::nullopt, now, out);
        return;
    }
    if (someLost) {
        if (job.anyIn(MemberState::Running) && !job.scheduled)
            this->scheduleAdopted(job, now);
        return;
    }
    if (job.allIn(MemberState::Unstarted) && job.runsOnce()) {
        this->giveUpAttempt(job, now, out);
        return;
    }
    if (!job.allIn(MemberState::Done) && !job.anyIn(MemberState::Unstarted))
        this->scheduleAdopted(job, now);
    job.phase = DispatchPhase::Running;
    this->sendUpdate(job, out);
    this->advanceStarting(job, now, out);
}

} // namespace Hibiscus
