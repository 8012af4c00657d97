// The part of Dispatcher that deals with workers: sessions, calls, reports, adoption.

#include <Entry/Dispatcher.h>

#include <cassert>

namespace Hibiscus {

namespace {

constexpr const char *part = "worker";

bool isSessionVerb(WorkerVerb verb)
{
    return verb == WorkerVerb::Acquire || verb == WorkerVerb::Renew || verb == WorkerVerb::Release
        || verb == WorkerVerb::Collect || verb == WorkerVerb::Acknowledge;
}

} // namespace

WorkerSession *Dispatcher::session(const std::string &worker)
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
    // A worker that the list has dropped is kept as long as it answers: the list lags.
    std::erase_if(this->sessions, [&](const auto &entry) {
        return listed.count(entry.first) == 0
            && entry.second.state() != WorkerSession::State::Owned;
    });
    out.log(LogLevel::Debug, part, "Read the list of workers.");
}

void Dispatcher::call(const std::string &worker, WorkerRequest request, const std::string &key,
                      std::size_t member, TimePoint now, EntryActions &out)
{
    const CallId id{this->nextCall++};
    out.workerCalls.push_back({id, worker, request});
    this->calls.emplace(id, PendingCall{worker, std::move(request), key, member, now});
}

void Dispatcher::pollSession(const std::string &name, WorkerSession &session, TimePoint now,
                             EntryActions &out)
{
    std::vector<WorkerRequest> requests;
    WorkerSession::News news;
    const auto open = this->openMembers.find(name);
    const bool collecting = open != this->openMembers.end() && open->second > 0;
    session.poll(collecting, now, requests, news);
    if (news.lost)
        this->workerLost(session, now, out);
    for (WorkerRequest &request : requests)
        this->call(name, std::move(request), {}, 0, now, out);
}

void Dispatcher::expireCalls(TimePoint now, EntryActions &out)
{
    std::vector<CallId> late;
    for (const auto &[id, pending] : this->calls) {
        if (now - pending.since > this->settings.callTimeout + pending.request.wait)
            late.push_back(id);
    }
    for (const CallId id : late)
        this->workerReply(id, WorkerReply{}, now, out);
}

void Dispatcher::workerReply(CallId call, const WorkerReply &reply, TimePoint now,
                             EntryActions &out)
{
    const auto it = this->calls.find(call);
    if (it == this->calls.end())
        return;
    const PendingCall pending = std::move(it->second);
    this->calls.erase(it);
    WorkerSession *session = this->session(pending.worker);
    if (!session)
        return;
    if (isSessionVerb(pending.request.verb)) {
        this->applyNews(pending.worker, session->replied(pending.request, reply, now), now, out);
        this->pollSession(pending.worker, *session, now, out);
        return;
    }
    if (DispatchJob *job = this->find(pending.key))
        this->taskReplied(*job, pending.member, pending.request, reply, now, out);
    if (reply.status == WorkerStatus::Stale && session->refusedAsStale(reply, now))
        this->workerLost(*session, now, out);
}

void Dispatcher::applyNews(const std::string &worker, const WorkerSession::News &news,
                           TimePoint now, EntryActions &out)
{
    WorkerSession &session = *this->session(worker);
    if (news.lost)
        this->workerLost(session, now, out);
    if (news.acquired) {
        this->workerAcquired(session, news.reports, now, out);
        return;
    }
    for (const TaskReport &report : news.reports)
        this->applyReport(session, report, now, out);
}

void Dispatcher::workerAcquired(WorkerSession &session, const std::vector<TaskReport> &reports,
                                TimePoint now, EntryActions &out)
{
    out.log(LogLevel::Info, part, "Acquired " + session.description.name + ".");
    this->scheduler->workerUp(session.id(), session.description, now);
    if (session.description.leaving)
        this->scheduler->workerLeaving(session.id(), now);
    for (const TaskReport &report : reports)
        this->applyReport(session, report, now, out);
}

void Dispatcher::workerLost(WorkerSession &session, TimePoint now, EntryActions &out)
{
    const WorkerId id = session.id();
    out.log(LogLevel::Warn, part, "Lost " + session.description.name + ".");
    this->scheduler->workerDown(id, now);
    std::vector<std::string> hit;
    for (auto &[key, job] : this->jobs) {
        bool concerned = false;
        for (Member &member : job.members) {
            if (member.worker != id || member.isOver())
                continue;
            // A member that was only reserved was never told to start.
            const bool mayRun
                = member.state == MemberState::Starting || member.state == MemberState::Running;
            this->setState(member, mayRun ? MemberState::Lost : MemberState::Unstarted);
            concerned = true;
        }
        if (concerned)
            hit.push_back(key);
    }
    for (const std::string &key : hit) {
        DispatchJob *job = this->find(key);
        if (!job || job->phase == DispatchPhase::Finished || job->phase == DispatchPhase::InDoubt)
            continue;
        if (job->phase == DispatchPhase::Ending)
            this->advance(*job, now, out);
        else if (job->phase != DispatchPhase::Assigning && job->phase != DispatchPhase::GivingUp)
            this->end(*job, EndReason::WorkerFault, id, now, out);
    }
}

void Dispatcher::applyReport(WorkerSession &session, const TaskReport &report, TimePoint now,
                             EntryActions &out)
{
    auto task = this->tasks.find(report.task);
    if (task == this->tasks.end()) {
        const std::optional<TaskText> text = parseTaskText(report.job);
        DispatchJob *adopted = nullptr;
        if (text && report.state != TaskState::NeverStarted)
            adopted = this->adopt(*text, now);
        task = this->tasks.find(report.task);
        if (!adopted || task == this->tasks.end()) {
            // A task of an attempt that nobody stands behind any more must not go on.
            if (report.state == TaskState::Running || report.state == TaskState::Reserved) {
                this->call(session.description.name, session.request(WorkerVerb::Stop, report.task),
                           {}, 0, now, out);
            }
            return;
        }
    }
    DispatchJob *job = this->find(task->second.first);
    assert(job);
    Member &member = job->members[task->second.second];
    if (member.isOver() && member.state != MemberState::Lost)
        return;
    this->applyState(member, report);
    const bool final = report.state == TaskState::Done || report.state == TaskState::Failed;
    if (final) {
        member.sequence = report.sequence;
        session.holdReport(report.sequence);
    }
    this->advance(*job, now, out);
}

void Dispatcher::applyState(Member &member, const TaskReport &report)
{
    switch (report.state) {
    case TaskState::Reserved:
        if (member.state != MemberState::Starting)
            this->setState(member, MemberState::Reserved);
        break;
    case TaskState::Running:
        this->setState(member, MemberState::Running);
        break;
    case TaskState::Done:
        this->setState(member, MemberState::Done);
        member.result = report.result;
        break;
    case TaskState::Failed:
        this->setState(member, MemberState::Failed);
        member.result = report.result;
        break;
    case TaskState::Checkpointed:
        member.checkpointed = true;
        this->setState(member, MemberState::Stopped);
        break;
    case TaskState::Stopped:
        this->setState(member, MemberState::Stopped);
        break;
    case TaskState::NeverStarted:
        this->setState(member, MemberState::Unstarted);
        break;
    }
}

DispatchJob *Dispatcher::adopt(const TaskText &text, TimePoint now)
{
    const std::string key = jobKey(text.spec.customer, text.spec.requestId);
    DispatchJob *known = this->find(key);
    if (known) {
        // A job that waits for its keeper's hand-over after a restart takes its old tasks back.
        const bool waitsUnplaced = known->phase == DispatchPhase::Queued && known->members.empty();
        // A later attempt exists only if the one that is known here was given up, unstarted.
        const bool overtaken = known->runsOnce() && text.attempt > known->attempt
            && known->phase != DispatchPhase::Finished;
        if (!waitsUnplaced && !overtaken)
            return nullptr;
        if (!waitsUnplaced)
            this->leaveScheduler(*known, EndKind::Cancelled, false, now);
        this->withdraw(*known, now);
    }
    DispatchJob &job = this->jobs[key];
    if (!known) {
        job.key = key;
        job.spec = text.spec;
        job.hasPayload = false;
        job.requester = text.requester;
        job.acceptedAt = now;
    }
    job.attempt = text.attempt;
    this->takePlaces(job, text.places, now);
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        this->tasks.erase(job.members[i].task);
        job.members[i].task = text.tasks[i];
        this->tasks[text.tasks[i]] = {key, i};
    }
    return &job;
}

void Dispatcher::takePlaces(DispatchJob &job, const std::vector<TaskPlace> &places, TimePoint now)
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
    this->enterDoubt(job, now);
}

void Dispatcher::scheduleAdopted(DispatchJob &job, TimePoint now)
{
    if (job.scheduled)
        this->leaveScheduler(job, EndKind::Preempted, false, now);
    std::vector<Placement> placements;
    for (const Member &member : job.members) {
        if (!member.isOver())
            placements.push_back({member.worker, member.place.slots});
    }
    job.id = JobId{this->nextJob++};
    job.scheduled = this->scheduler->adopt(this->queuedJob(job, now), placements, now);
    if (job.scheduled)
        this->keysOfJobs.emplace(job.id, job.key);
}

void Dispatcher::setMembers(DispatchJob &job, std::vector<Member> members)
{
    this->forgetTasks(job);
    job.members = std::move(members);
    for (std::size_t i = 0; i < job.members.size(); ++i) {
        const Member &member = job.members[i];
        this->tasks[member.task] = {job.key, i};
        if (!member.isOver())
            ++this->openMembers[member.place.worker];
    }
}

void Dispatcher::forgetTasks(DispatchJob &job)
{
    this->releaseReports(job);
    for (const Member &member : job.members) {
        if (!member.isOver())
            --this->openMembers[member.place.worker];
        this->tasks.erase(member.task);
    }
    job.members.clear();
}

void Dispatcher::setState(Member &member, MemberState state)
{
    const bool wasOpen = !member.isOver();
    member.state = state;
    const bool isOpen = !member.isOver();
    if (wasOpen && !isOpen)
        --this->openMembers[member.place.worker];
    if (!wasOpen && isOpen)
        ++this->openMembers[member.place.worker];
}

void Dispatcher::sendTask(DispatchJob &job, std::size_t index, WorkerVerb verb, TimePoint now,
                          EntryActions &out)
{
    Member &member = job.members[index];
    WorkerSession *session = this->session(member.place.worker);
    if (!session || session->state() != WorkerSession::State::Owned) {
        if (member.state == MemberState::Idle)
            this->setState(member, MemberState::Unstarted);
        return;
    }
    WorkerRequest request = session->request(verb, member.task);
    if (verb == WorkerVerb::Reserve || verb == WorkerVerb::Start) {
        TaskText text{job.spec, job.requester, job.attempt, {}, {}};
        for (const Member &each : job.members) {
            text.places.push_back(each.place);
            text.tasks.push_back(each.task);
        }
        request.job = toJson(text);
        request.slots = member.place.slots;
        request.memoryMiB = job.spec.memoryMiB;
        request.kind = job.spec.kind;
        request.payload = job.spec.payload;
        request.declaredRunTime = job.spec.declaredRunTime;
    }
    if (verb == WorkerVerb::Reserve)
        this->setState(member, MemberState::Reserving);
    if (verb == WorkerVerb::Start)
        this->setState(member, MemberState::Starting);
    member.callSince = now;
    this->call(member.place.worker, std::move(request), job.key, index, now, out);
}

void Dispatcher::taskReplied(DispatchJob &job, std::size_t index, const WorkerRequest &request,
                             const WorkerReply &reply, TimePoint now, EntryActions &out)
{
    if (index >= job.members.size() || job.members[index].task != request.task)
        return;
    Member &member = job.members[index];
    member.callSince.reset();
    const bool lost = member.state == MemberState::Lost;
    if (member.isOver() && !lost)
        return;
    bool reported = false;
    for (const TaskReport &report : reply.reports) {
        if (report.task != member.task)
            continue;
        reported = true;
        if (WorkerSession *session = this->session(member.place.worker))
            this->applyReport(*session, report, now, out);
    }
    // Applying a report may have ended the job or given it new members.
    if (reported || index >= job.members.size() || job.members[index].task != request.task)
        return;
    if (request.verb == WorkerVerb::Start || request.verb == WorkerVerb::Reserve)
        this->startReplied(job, member, reply, now);
    else
        member.retryAt = now + this->settings.resendAfter;
    this->touch(job);
    this->advance(job, now, out);
}

void Dispatcher::startReplied(DispatchJob &job, Member &member, const WorkerReply &reply,
                              TimePoint now)
{
    const bool starting = member.state == MemberState::Starting;
    switch (reply.status) {
    case WorkerStatus::Ok:
        this->setState(member, starting ? MemberState::Running : MemberState::Reserved);
        return;
    case WorkerStatus::NoAnswer:
        // The same task id is sent again; the worker starts it once at most.
        member.uncertain = starting;
        member.retryAt = now + this->settings.resendAfter;
        return;
    case WorkerStatus::Stale:
        if (member.uncertain) {
            this->setState(member, MemberState::Lost);
            return;
        }
        break;
    case WorkerStatus::NotDelivered:
    case WorkerStatus::Leaving:
        if (member.uncertain) {
            member.retryAt = now + this->settings.resendAfter;
            return;
        }
        break;
    default:
        break;
    }
    if (!job.faultyWorker && reply.status != WorkerStatus::Leaving)
        job.faultyWorker = member.worker;
    this->setState(member, MemberState::Unstarted);
}

} // namespace Hibiscus
