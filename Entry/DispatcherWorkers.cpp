// The part of Dispatcher that handles workers: sessions, calls, task reports, and adoption of
// running tasks.

#include <Entry/Dispatcher.h>

#include <cassert>

namespace Hibiscus {

namespace {

constexpr const char *component = "worker";

bool isSessionVerb(WorkerVerb verb)
{
    return verb == WorkerVerb::Acquire || verb == WorkerVerb::Renew || verb == WorkerVerb::Release
        || verb == WorkerVerb::Collect || verb == WorkerVerb::Acknowledge;
}

} // namespace

WorkerSession *Dispatcher::findSession(const std::string &worker)
{
    const auto it = this->sessions.find(worker);
    return it == this->sessions.end() ? nullptr : &it->second;
}

std::size_t Dispatcher::ownedWorkers() const
{
    std::size_t owned = 0;
    for (const auto &[name, session] : this->sessions)
        owned += session.state() == WorkerSession::State::Owned ? 1 : 0;
    return owned;
}

void Dispatcher::setWorkers(std::span<const WorkerDescription> workers, TimePoint now,
                            EntryActions &out)
{
    std::set<std::string> listed;
    for (const WorkerDescription &worker : workers) {
        if (worker.dataCenter != this->settings.dataCenter)
            continue;
        listed.insert(worker.name);
        const auto fresh = WorkerId{static_cast<std::uint32_t>(this->workerNames.size())};
        const auto [id, isNew] = this->workerIds.try_emplace(worker.name, fresh);
        if (isNew)
            this->workerNames.push_back(worker.name);
        const auto [it, added]
            = this->sessions.try_emplace(worker.name, this->settings.session, worker, id->second);
        WorkerSession &session = it->second;
        if (added || session.description == worker)
            continue;
        session.description = worker;
        if (session.state() == WorkerSession::State::Owned) {
            this->scheduler->workerUp(session.id(), worker, now);
            if (worker.leaving)
                this->scheduler->workerLeaving(session.id(), now);
        }
    }
    // The list lags, so an unlisted worker is kept for as long as this dispatcher owns it.
    std::erase_if(this->sessions, [&](const auto &entry) {
        return listed.count(entry.first) == 0
            && entry.second.state() != WorkerSession::State::Owned;
    });
    out.log(LogLevel::Debug, component, "Updated the list of workers.");
}

void Dispatcher::callWorker(const std::string &worker, WorkerRequest request,
                            const std::string &key, std::size_t member, TimePoint now,
                            EntryActions &out)
{
    const CallId id{this->nextCall++};
    out.workerCalls.push_back({id, worker, request});
    this->calls.emplace(id, PendingCall{worker, std::move(request), key, member, now});
}

void Dispatcher::pollSession(const std::string &name, WorkerSession &session, TimePoint now,
                             EntryActions &out)
{
    std::vector<WorkerRequest> requests;
    WorkerSession::Update update;
    const auto open = this->activeMembers.find(name);
    const bool collecting = open != this->activeMembers.end() && open->second > 0;
    session.poll(collecting, now, requests, update);
    if (update.leaseLost)
        this->workerLost(session, now, out);
    for (WorkerRequest &request : requests)
        this->callWorker(name, std::move(request), {}, 0, now, out);
}

void Dispatcher::expireCalls(TimePoint now, EntryActions &out)
{
    std::vector<CallId> late;
    for (const auto &[id, pending] : this->calls) {
        if (now - pending.sentAt > this->settings.callTimeout + pending.request.wait)
            late.push_back(id);
    }
    for (const CallId id : late)
        this->handleWorkerReply(id, WorkerReply{}, now, out);
}

void Dispatcher::handleWorkerReply(CallId call, const WorkerReply &reply, TimePoint now,
                                   EntryActions &out)
{
    const auto it = this->calls.find(call);
    if (it == this->calls.end())
        return;
    const PendingCall pending = std::move(it->second);
    this->calls.erase(it);
    WorkerSession *session = this->findSession(pending.worker);
    if (!session)
        return;
    if (isSessionVerb(pending.request.verb)) {
        this->applySessionUpdate(pending.worker, session->handleReply(pending.request, reply, now),
                                 now, out);
        this->pollSession(pending.worker, *session, now, out);
        return;
    }
    if (DispatchJob *job = this->findJob(pending.key))
        this->handleTaskReply(*job, pending.member, pending.request, reply, now, out);
    if (reply.status == WorkerStatus::Stale && session->loseLeaseIfStale(reply, now))
        this->workerLost(*session, now, out);
}

void Dispatcher::applySessionUpdate(const std::string &worker, const WorkerSession::Update &update,
                                    TimePoint now, EntryActions &out)
{
    WorkerSession &session = *this->findSession(worker);
    if (update.leaseLost)
        this->workerLost(session, now, out);
    if (update.acquired) {
        this->workerAcquired(session, update.reports, now, out);
        return;
    }
    for (const TaskReport &report : update.reports)
        this->applyReport(session, report, now, out);
}

void Dispatcher::workerAcquired(WorkerSession &session, const std::vector<TaskReport> &reports,
                                TimePoint now, EntryActions &out)
{
    out.log(LogLevel::Info, component, "Acquired worker " + session.description.name + ".");
    this->scheduler->workerUp(session.id(), session.description, now);
    if (session.description.leaving)
        this->scheduler->workerLeaving(session.id(), now);
    for (const TaskReport &report : reports)
        this->applyReport(session, report, now, out);
}

void Dispatcher::workerLost(WorkerSession &session, TimePoint now, EntryActions &out)
{
    const WorkerId id = session.id();
    out.log(LogLevel::Warn, component,
            "Lost worker " + session.description.name + "; its running tasks are out of reach.");
    this->scheduler->workerDown(id, now);
    std::vector<std::string> affected;
    for (auto &[key, job] : this->jobs) {
        bool isAffected = false;
        for (Member &member : job.members) {
            if (member.worker != id || member.hasEnded())
                continue;
            // No Start was sent for a member that is only reserved.
            const bool mayRun
                = member.state == MemberState::Starting || member.state == MemberState::Running;
            this->setMemberState(member, mayRun ? MemberState::Lost : MemberState::NeverStarted);
            isAffected = true;
        }
        if (isAffected)
            affected.push_back(key);
    }
    for (const std::string &key : affected) {
        DispatchJob *job = this->findJob(key);
        if (!job || job->phase == DispatchPhase::Finished || job->phase == DispatchPhase::InDoubt)
            continue;
        if (job->phase == DispatchPhase::Ending)
            this->advance(*job, now, out);
        else if (job->phase != DispatchPhase::Assigning
                 && job->phase != DispatchPhase::AbandoningAttempt)
            this->endJob(*job, EndReason::WorkerFault, id, now, out);
    }
}

void Dispatcher::applyReport(WorkerSession &session, const TaskReport &report, TimePoint now,
                             EntryActions &out)
{
    auto task = this->tasks.find(report.task);
    if (task == this->tasks.end()) {
        const std::optional<TaskMetadata> metadata = parseTaskMetadata(report.job);
        DispatchJob *adopted = nullptr;
        if (metadata && report.state != TaskState::NeverStarted)
            adopted = this->adopt(*metadata, now);
        task = this->tasks.find(report.task);
        if (!adopted || task == this->tasks.end()) {
            // The task belongs to an attempt that is no longer valid and must be stopped.
            if (report.state == TaskState::Running || report.state == TaskState::Reserved) {
                this->callWorker(session.description.name,
                                 session.request(WorkerVerb::Stop, report.task), {}, 0, now, out);
            }
            return;
        }
    }
    DispatchJob *job = this->findJob(task->second.first);
    assert(job);
    Member &member = job->members[task->second.second];
    const bool final = report.state == TaskState::Done || report.state == TaskState::Failed;
    // `finishJob` has released the reports of a finished job that is not durable.
    const bool released = job->phase == DispatchPhase::Finished && !job->spec.durable;
    // A session that is new since its worker left the list and came back holds no report yet, so a
    // report that was applied before is held again.
    if (final && !released) {
        member.sequence = report.sequence;
        member.incarnation = session.workerIncarnation();
        session.holdReport(report.sequence);
    }
    if (member.hasEnded() && member.state != MemberState::Lost)
        return;
    this->applyState(member, report);
    this->advance(*job, now, out);
}

void Dispatcher::applyState(Member &member, const TaskReport &report)
{
    switch (report.state) {
    case TaskState::Reserved:
        if (member.state != MemberState::Starting)
            this->setMemberState(member, MemberState::Reserved);
        break;
    case TaskState::Running:
        this->setMemberState(member, MemberState::Running);
        break;
    case TaskState::Done:
        this->setMemberState(member, MemberState::Done);
        member.result = report.result;
        break;
    case TaskState::Failed:
        this->setMemberState(member, MemberState::Failed);
        member.result = report.result;
        break;
    case TaskState::Checkpointed:
        member.checkpointed = true;
        this->setMemberState(member, MemberState::Stopped);
        break;
    case TaskState::Stopped:
        this->setMemberState(member, MemberState::Stopped);
        break;
    case TaskState::NeverStarted:
        this->setMemberState(member, MemberState::NeverStarted);
        break;
    }
}

DispatchJob *Dispatcher::adopt(const TaskMetadata &metadata, TimePoint now)
{
    const std::string key = jobKey(metadata.spec.customer, metadata.spec.requestId);
    DispatchJob *known = this->findJob(key);
    if (known) {
        // After a restart, a queued job without members adopts the tasks that already run for it.
        const bool waitsUnplaced = known->phase == DispatchPhase::Queued && known->members.empty();
        // A later attempt exists only if the attempt known here was abandoned before it started.
        const bool overtaken = known->runsAtMostOnce() && metadata.attempt > known->attempt
            && known->phase != DispatchPhase::Finished;
        if (!waitsUnplaced && !overtaken)
            return nullptr;
        if (!waitsUnplaced)
            this->leaveScheduler(*known, EndKind::Cancelled, false, now);
        this->removeFromQueue(*known, now);
    }
    DispatchJob &job = this->jobs[key];
    if (!known) {
        job.key = key;
        job.spec = metadata.spec;
        job.hasPayload = false;
        job.requester = metadata.requester;
        job.acceptedAt = now;
    }
    job.attempt = metadata.attempt;
    this->adoptPlaces(job, metadata.places, now);
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        this->tasks.erase(job.members[i].task);
        job.members[i].task = metadata.tasks[i];
        this->tasks[metadata.tasks[i]] = {key, i};
    }
    return &job;
}

void Dispatcher::adoptPlaces(DispatchJob &job, const std::vector<TaskPlace> &places, TimePoint now)
{
    std::vector<Member> members;
    for (const TaskPlace &place : places) {
        Member member;
        const auto fresh = WorkerId{static_cast<std::uint32_t>(this->workerNames.size())};
        const auto [id, isNew] = this->workerIds.try_emplace(place.worker, fresh);
        if (isNew)
            this->workerNames.push_back(place.worker);
        member.worker = id->second;
        member.place = place;
        member.task
            = job.key + "#a" + std::to_string(job.attempt) + '.' + std::to_string(members.size());
        member.state = MemberState::Lost;
        members.push_back(std::move(member));
    }
    this->setMembers(job, std::move(members));
    this->enterInDoubt(job, now);
}

void Dispatcher::scheduleAdopted(DispatchJob &job, TimePoint now)
{
    if (job.scheduled)
        this->leaveScheduler(job, EndKind::Preempted, false, now);
    std::vector<Placement> placements;
    for (const Member &member : job.members) {
        if (!member.hasEnded())
            placements.push_back({member.worker, member.place.slots});
    }
    job.id = JobId{this->nextJob++};
    job.scheduled = this->scheduler->adopt(this->queuedJob(job, now), placements, now);
    if (job.scheduled)
        this->keysByJobId.emplace(job.id, job.key);
}

void Dispatcher::setMembers(DispatchJob &job, std::vector<Member> members)
{
    this->removeMembers(job);
    job.members = std::move(members);
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        const Member &member = job.members[i];
        this->tasks[member.task] = {job.key, i};
        if (!member.hasEnded())
            ++this->activeMembers[member.place.worker];
    }
}

void Dispatcher::removeMembers(DispatchJob &job)
{
    this->releaseReports(job);
    for (const Member &member : job.members) {
        if (!member.hasEnded())
            --this->activeMembers[member.place.worker];
        this->tasks.erase(member.task);
    }
    job.members.clear();
}

void Dispatcher::setMemberState(Member &member, MemberState state)
{
    const bool wasOpen = !member.hasEnded();
    member.state = state;
    const bool isOpen = !member.hasEnded();
    if (wasOpen && !isOpen)
        --this->activeMembers[member.place.worker];
    if (!wasOpen && isOpen)
        ++this->activeMembers[member.place.worker];
}

void Dispatcher::sendTaskCall(DispatchJob &job, std::size_t index, WorkerVerb verb, TimePoint now,
                              EntryActions &out)
{
    Member &member = job.members[index];
    WorkerSession *session = this->findSession(member.place.worker);
    if (!session || session->state() != WorkerSession::State::Owned) {
        if (member.state == MemberState::Idle)
            this->setMemberState(member, MemberState::NeverStarted);
        return;
    }
    WorkerRequest request = session->request(verb, member.task);
    if (verb == WorkerVerb::Reserve || verb == WorkerVerb::Start) {
        TaskMetadata metadata{job.spec, job.requester, job.attempt, {}, {}};
        for (const Member &each : job.members) {
            metadata.places.push_back(each.place);
            metadata.tasks.push_back(each.task);
        }
        request.job = toJson(metadata);
        request.slots = member.place.slots;
        request.memoryMiB = job.spec.memoryMiB;
        request.kind = job.spec.kind;
        request.payload = job.spec.payload;
        request.declaredRunTime = job.spec.declaredRunTime;
    }
    if (verb == WorkerVerb::Reserve)
        this->setMemberState(member, MemberState::Reserving);
    if (verb == WorkerVerb::Start)
        this->setMemberState(member, MemberState::Starting);
    member.callSentAt = now;
    this->callWorker(member.place.worker, std::move(request), job.key, index, now, out);
}

void Dispatcher::handleTaskReply(DispatchJob &job, std::size_t index, const WorkerRequest &request,
                                 const WorkerReply &reply, TimePoint now, EntryActions &out)
{
    if (index >= job.members.size() || job.members[index].task != request.task)
        return;
    Member &member = job.members[index];
    member.callSentAt.reset();
    const bool lost = member.state == MemberState::Lost;
    if (member.hasEnded() && !lost)
        return;
    bool reported = false;
    for (const TaskReport &report : reply.reports) {
        if (report.task != member.task)
            continue;
        reported = true;
        if (WorkerSession *session = this->findSession(member.place.worker))
            this->applyReport(*session, report, now, out);
    }
    // Applying a report may have ended the job or replaced its members.
    if (reported || index >= job.members.size() || job.members[index].task != request.task)
        return;
    if (request.verb == WorkerVerb::Start || request.verb == WorkerVerb::Reserve)
        this->handleStartReply(job, member, reply, now, out);
    else
        member.retryAt = now + this->settings.resendAfter;
    this->requestTick(job);
    this->advance(job, now, out);
}

void Dispatcher::handleStartReply(DispatchJob &job, Member &member, const WorkerReply &reply,
                                  TimePoint now, EntryActions &out)
{
    const bool starting = member.state == MemberState::Starting;
    switch (reply.status) {
    case WorkerStatus::Ok:
        this->setMemberState(member, starting ? MemberState::Running : MemberState::Reserved);
        return;
    case WorkerStatus::NoAnswer:
        // The call is repeated with the same task id, which a worker starts at most once.
        member.startUnanswered = starting;
        member.retryAt = now + this->settings.resendAfter;
        return;
    case WorkerStatus::Stale:
        if (member.startUnanswered) {
            this->setMemberState(member, MemberState::Lost);
            return;
        }
        break;
    case WorkerStatus::NotDelivered:
    case WorkerStatus::Leaving:
        if (member.startUnanswered) {
            member.retryAt = now + this->settings.resendAfter;
            return;
        }
        break;
    default:
        if (member.startUnanswered) {
            this->revokeStart(job, member, now, out);
            return;
        }
        break;
    }
    if (!job.faultyWorker && reply.status != WorkerStatus::Leaving)
        job.faultyWorker = member.worker;
    this->setMemberState(member, MemberState::NeverStarted);
}

void Dispatcher::revokeStart(DispatchJob &job, Member &member, TimePoint now, EntryActions &out)
{
    // The refusal answers the latest Start only. Once a Stop is answered, no earlier one can be
    // carried out any more, and the answer says whether one was.
    if (job.phase == DispatchPhase::Starting) {
        this->endJob(job, EndReason::WorkerFault, job.faultyWorker.value_or(member.worker), now,
                     out);
        return;
    }
    // A job that is ending or in doubt sends Stops by itself.
    member.retryAt = now + this->settings.resendAfter;
}

} // namespace Hibiscus
