// The part of Dispatcher that drives a started job to its end: progress, stopping, in-doubt jobs
// whose worker is out of reach, and completion.

#include <Entry/Dispatcher.h>

#include <cassert>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

constexpr const char *component = "dispatch";

JobAnswer makeAnswer(JobStatus status, std::string reason)
{
    JobAnswer answer;
    answer.status = status;
    answer.reason = std::move(reason);
    return answer;
}

/// Result of the whole job: the result of a single task unchanged, or the results of a gang's tasks
/// as a JSON array in member order.
std::string combinedResult(const DispatchJob &job)
{
    if (job.members.size() == 1)
        return job.members.front().result;
    nlohmann::json results = nlohmann::json::array();
    for (const Member &member : job.members)
        results.push_back(member.result);
    return results.dump();
}

const Member *firstMemberIn(const DispatchJob &job, MemberState state)
{
    const auto same = [state](const Member &member) { return member.state == state; };
    const auto it = std::find_if(job.members.begin(), job.members.end(), same);
    return it == job.members.end() ? nullptr : &*it;
}

} // namespace

void Dispatcher::sendToAll(DispatchJob &job, WorkerVerb verb, TimePoint now, EntryActions &out)
{
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        if (!job.members[i].hasEnded())
            this->sendTaskCall(job, i, verb, now, out);
    }
}

void Dispatcher::advance(DispatchJob &job, TimePoint now, EntryActions &out)
{
    switch (job.phase) {
    case DispatchPhase::Reserving:
        if (job.allMembersIn(MemberState::Reserved)) {
            job.phase = DispatchPhase::Starting;
            this->sendToAll(job, WorkerVerb::Start, now, out);
        } else if (job.anyMemberIn(MemberState::NeverStarted)) {
            this->endJob(job, EndReason::WorkerFault, job.faultyWorker, now, out);
        }
        return;
    case DispatchPhase::Starting:
    case DispatchPhase::Running:
        this->advanceStarting(job, now, out);
        return;
    case DispatchPhase::Ending:
        if (job.allMembersEnded())
            this->concludeEnding(job, now, out);
        return;
    case DispatchPhase::InDoubt:
        this->resolveInDoubt(job, now, out);
        return;
    default:
        return;
    }
}

void Dispatcher::advanceStarting(DispatchJob &job, TimePoint now, EntryActions &out)
{
    if (const Member *failed = firstMemberIn(job, MemberState::Failed)) {
        this->endJob(job, EndReason::MemberFailed, failed->worker, now, out);
        return;
    }
    for (const MemberState bad :
         {MemberState::Lost, MemberState::Stopped, MemberState::NeverStarted}) {
        if (const Member *member = firstMemberIn(job, bad)) {
            const WorkerId faulty = job.faultyWorker.value_or(member->worker);
            this->endJob(job, EndReason::WorkerFault, faulty, now, out);
            return;
        }
    }
    if (job.allMembersIn(MemberState::Done)) {
        JobAnswer answer;
        answer.status = JobStatus::Done;
        answer.result = combinedResult(job);
        this->finishJob(job, EndKind::Finished, std::move(answer), now, out);
        return;
    }
    if (job.phase == DispatchPhase::Starting && !job.anyMemberIn(MemberState::Starting)) {
        job.phase = DispatchPhase::Running;
        if (job.scheduled)
            this->scheduler->jobStarted(job.id, now);
        this->sendUpdate(job, out);
    }
}

void Dispatcher::endJob(DispatchJob &job, EndReason reason, std::optional<WorkerId> faulty,
                        TimePoint now, EntryActions &out)
{
    this->requestTick(job);
    const bool onlyInDoubt
        = job.runsAtMostOnce() && reason == EndReason::WorkerFault
        && job.anyMemberIn(MemberState::Lost)
        && std::all_of(job.members.begin(), job.members.end(), [](const Member &member) {
               return member.state == MemberState::Lost || member.state == MemberState::Done;
           });
    if (onlyInDoubt) {
        this->leaveScheduler(job, EndKind::WorkerFault, false, now);
        this->enterInDoubt(job, now);
        return;
    }
    if (job.phase != DispatchPhase::Ending || reason != EndReason::Preempt)
        job.endReason = reason;
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
        if (member.hasEnded())
            continue;
        if (member.state == MemberState::Idle)
            this->setMemberState(member, MemberState::NeverStarted);
        else
            this->sendTaskCall(job, i, verb, now, out);
    }
}

void Dispatcher::concludeEnding(DispatchJob &job, TimePoint now, EntryActions &out)
{
    job.checkpointing = false;
    if (job.allMembersIn(MemberState::Done)) {
        job.phase = DispatchPhase::Running;
        this->advanceStarting(job, now, out);
        return;
    }
    if (job.endReason == EndReason::Cancel || job.cancelRequested) {
        const bool ran = job.anyMemberMayHaveRun();
        const bool unknown = job.runsAtMostOnce() && job.anyMemberIn(MemberState::Lost);
        JobAnswer answer = makeAnswer(JobStatus::NotRun, "cancelled before it started");
        if (unknown)
            answer = makeAnswer(JobStatus::OutcomeUnknown,
                                "cancelled; the job's worker is out of reach");
        else if (ran)
            answer = makeAnswer(JobStatus::Cancelled, "cancelled by its caller");
        this->finishJob(job, EndKind::Cancelled, std::move(answer), now, out);
        return;
    }
    if (job.runsAtMostOnce()) {
        this->concludeAtMostOnceJob(job, now, out);
        return;
    }
    if (job.endReason == EndReason::Preempt) {
        this->requeue(job, EndKind::Preempted, now, out);
        return;
    }
    if (job.anyMemberMayHaveRun())
        ++job.faults;
    if (job.faults <= this->settings.maxFaultRetries) {
        this->requeue(job, EndKind::WorkerFault, now, out);
        return;
    }
    const Member *failed = firstMemberIn(job, MemberState::Failed);
    JobAnswer answer = makeAnswer(JobStatus::Failed, "the job failed on several workers");
    answer.result = failed ? failed->result : std::string();
    this->finishJob(job, EndKind::Failed, std::move(answer), now, out);
}

void Dispatcher::concludeAtMostOnceJob(DispatchJob &job, TimePoint now, EntryActions &out)
{
    if (!job.anyMemberMayHaveRun()) {
        this->abandonAttempt(job, now, out);
        return;
    }
    const bool partialRunKnown = job.anyMemberIn(MemberState::Failed)
        || job.anyMemberIn(MemberState::Stopped) || job.anyMemberIn(MemberState::NeverStarted);
    if (!partialRunKnown) {
        this->leaveScheduler(job, EndKind::WorkerFault, false, now);
        this->enterInDoubt(job, now);
        return;
    }
    const Member *failed = firstMemberIn(job, MemberState::Failed);
    JobAnswer answer = makeAnswer(JobStatus::Failed, "the job ran in part and is not run again");
    if (failed) {
        answer.reason = "a task of the job failed";
        answer.result = failed->result;
    }
    this->finishJob(job, EndKind::Failed, std::move(answer), now, out);
}

void Dispatcher::abandonAttempt(DispatchJob &job, TimePoint now, EntryActions &out)
{
    this->leaveScheduler(job, EndKind::WorkerFault, false, now);
    job.phase = DispatchPhase::AbandoningAttempt;
    this->requestTick(job);
    this->sendAssign(job, now, out);
}

void Dispatcher::requeue(DispatchJob &job, EndKind kind, TimePoint now, EntryActions &out)
{
    if (!job.hasPayload) {
        // The job was rebuilt from a worker's report without its payload. The keeper or requester
        // submits it again, with the payload, if it has to run again.
        this->leaveScheduler(job, kind, false, now);
        this->eraseJob(std::string(job.key));
        return;
    }
    const bool keepsQueuePosition = job.scheduled;
    job.phase = DispatchPhase::Queued;
    this->leaveScheduler(job, kind, true, now);
    job.faultyWorker.reset();
    this->removeMembers(job);
    if (keepsQueuePosition)
        return;
    const Admission admission = this->enqueue(job, now);
    if (!admission.isAccepted()) {
        JobAnswer answer = makeAnswer(JobStatus::Failed, toString(admission.refusal));
        this->finishJob(job, EndKind::Failed, std::move(answer), now, out);
    }
}

void Dispatcher::leaveScheduler(DispatchJob &job, EndKind kind, bool requeue, TimePoint now)
{
    if (!job.scheduled)
        return;
    this->scheduler->jobEnded(job.id, kind, job.faultyWorker, requeue, now);
    if (requeue)
        return;
    this->keysByJobId.erase(job.id);
    job.scheduled = false;
}

void Dispatcher::finishJob(DispatchJob &job, EndKind kind, JobAnswer answer, TimePoint now,
                           EntryActions &out)
{
    assert(isFinal(answer.status));
    this->leaveScheduler(job, kind, false, now);
    job.phase = DispatchPhase::Finished;
    job.answer = std::move(answer);
    // The recorded outcome of a durable job is final, so a retry under the same request id is
    // pointless.
    if (job.spec.durable)
        job.answer.retryAfter.reset();
    job.discardAt = now + this->settings.answerRetention;
    job.resendAt = now + this->settings.resendAfter;
    this->requestTick(job);
    if (!job.spec.durable)
        this->releaseReports(job);
    out.log(LogLevel::Info, component,
            std::string("Job ended as ") + toString(job.answer.status) + ".", job.key);
    this->sendUpdate(job, out);
}

void Dispatcher::releaseReports(const DispatchJob &job)
{
    for (const Member &member : job.members) {
        WorkerSession *session = this->findSession(member.place.worker);
        if (session && member.sequence != 0)
            session->releaseReport(member.sequence, member.incarnation);
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
    case DispatchPhase::AbandoningAttempt:
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
        this->resolveInDoubt(job, now, out);
        return true;
    case DispatchPhase::Finished:
        return this->tickFinished(job, now, out);
    }
    return false;
}

void Dispatcher::tickQueued(DispatchJob &job, TimePoint now, EntryActions &out)
{
    if (this->isRecovering(now))
        return;
    const Admission admission = this->enqueue(job, now);
    if (admission.isAccepted()) {
        this->sendUpdate(job, out);
        return;
    }
    if (this->isKeptDespiteRefusal(job, admission, now))
        return;
    JobAnswer answer = makeAnswer(JobStatus::NotRun, toString(admission.refusal));
    answer.retryAfter = admission.retryAfter;
    this->finishJob(job, EndKind::Cancelled, std::move(answer), now, out);
}

bool Dispatcher::tickFinished(DispatchJob &job, TimePoint now, EntryActions &out)
{
    if (!job.spec.durable) {
        if (now < job.discardAt)
            return true;
        this->eraseJob(std::string(job.key));
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
        if (member.hasEnded() || member.callSentAt || now < member.retryAt)
            continue;
        WorkerVerb verb = job.checkpointing ? WorkerVerb::Checkpoint : WorkerVerb::Stop;
        if (job.phase != DispatchPhase::Ending) {
            if (member.state != MemberState::Reserving && member.state != MemberState::Starting)
                continue;
            const bool reserving = member.state == MemberState::Reserving;
            verb = reserving ? WorkerVerb::Reserve : WorkerVerb::Start;
        }
        this->sendTaskCall(job, i, verb, now, out);
    }
}

void Dispatcher::enterInDoubt(DispatchJob &job, TimePoint now)
{
    job.phase = DispatchPhase::InDoubt;
    job.inDoubtSince = now;
    this->requestTick(job);
}

bool Dispatcher::isWorkerGone(const Member &member, const DispatchJob &job, TimePoint now)
{
    if (member.state != MemberState::Lost)
        return false;
    const WorkerSession *session = this->findSession(member.place.worker);
    if (!session)
        return now - job.inDoubtSince > this->settings.inDoubtTimeout;
    return session->state() == WorkerSession::State::Owned
        && session->workerIncarnation() != member.place.incarnation;
}

void Dispatcher::resolveInDoubt(DispatchJob &job, TimePoint now, EntryActions &out)
{
    bool workerGone = false;
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        const Member &member = job.members[i];
        workerGone = workerGone || this->isWorkerGone(member, job, now);
        const bool canSendStop
            = member.state == MemberState::Lost && !member.callSentAt && now >= member.retryAt;
        // A worker reports its running tasks when it is acquired. A task that was not reported
        // never started, and a Stop for its id ensures that it never will.
        if (canSendStop && !workerGone)
            this->sendTaskCall(job, i, WorkerVerb::Stop, now, out);
    }
    const bool someLost = job.anyMemberIn(MemberState::Lost);
    if (workerGone && job.runsAtMostOnce()) {
        this->stopMembers(job, now, out);
        JobAnswer answer
            = makeAnswer(JobStatus::OutcomeUnknown, "the job's worker is permanently lost");
        this->finishJob(job, EndKind::WorkerFault, std::move(answer), now, out);
        return;
    }
    if (workerGone || (someLost && !job.runsAtMostOnce() && !this->isRecovering(now))) {
        this->endJob(job, EndReason::WorkerFault, std::nullopt, now, out);
        return;
    }
    if (someLost) {
        if (job.anyMemberIn(MemberState::Running) && !job.scheduled)
            this->scheduleAdopted(job, now);
        return;
    }
    if (job.allMembersIn(MemberState::NeverStarted) && job.runsAtMostOnce()) {
        this->abandonAttempt(job, now, out);
        return;
    }
    if (!job.allMembersIn(MemberState::Done) && !job.anyMemberIn(MemberState::NeverStarted))
        this->scheduleAdopted(job, now);
    job.phase = DispatchPhase::Running;
    this->sendUpdate(job, out);
    this->advanceStarting(job, now, out);
}

} // namespace Hibiscus
