#include <Entry/Dispatcher.h>

#include <cassert>

namespace Hibiscus {

namespace {

constexpr const char *component = "dispatch";

JobAnswer makeAnswer(JobStatus status, std::string reason = {})
{
    JobAnswer answer;
    answer.status = status;
    answer.reason = std::move(reason);
    return answer;
}

/// Retry delay that is returned with a refusal while some workers are out of reach.
constexpr Duration fleetRetryDelay = seconds(1);

JobAnswer refusalAnswer(const Admission &admission)
{
    JobAnswer answer = makeAnswer(JobStatus::NotRun, toString(admission.refusal));
    answer.retryAfter = admission.retryAfter;
    return answer;
}

template <class TypedId, class Key>
TypedId intern(std::map<Key, TypedId> &ids, const Key &key)
{
    const TypedId fresh{static_cast<std::uint32_t>(ids.size())};
    return ids.try_emplace(key, fresh).first->second;
}

} // namespace

Dispatcher::Dispatcher(const Settings &settings, std::unique_ptr<Scheduler> scheduler,
                       std::function<std::string(std::string_view key)> keeperOf, CallId firstCall,
                       TimePoint now)
    : settings(settings)
    , scheduler(std::move(scheduler))
    , keeperOf(std::move(keeperOf))
    , startedAt(now)
    , nextCall(firstCall.value)
{}

Dispatcher::~Dispatcher() = default;

DispatchJob *Dispatcher::findJob(const std::string &key)
{
    const auto it = this->jobs.find(key);
    return it == this->jobs.end() ? nullptr : &it->second;
}

bool Dispatcher::isRecovering(TimePoint now) const
{
    const bool all = this->ownedWorkers() == this->sessions.size() && !this->sessions.empty();
    return !all && now - this->startedAt < this->settings.recoveryTimeout;
}

CustomerId Dispatcher::customerId(const std::string &name)
{
    const auto it = this->customerIds.find(name);
    if (it != this->customerIds.end())
        return it->second;
    const CustomerId id{static_cast<std::uint16_t>(this->customerNames.size())};
    this->customerNames.push_back(name);
    this->customerIds.emplace(name, id);
    return id;
}

void Dispatcher::setConfiguration(const Configuration &configuration, TimePoint now)
{
    const Preset *preset = configuration.activePreset();
    if (!preset)
        return;
    for (const auto &[name, customer] : configuration.customers)
        this->customerId(name);
    // Customer ids are never reused; a removed customer keeps its id and has no guarantee.
    std::vector<Scheduler::CustomerEntitlement> shapes(this->customerNames.size());
    for (std::size_t i = 0; i < shapes.size(); ++i) {
        const auto it = configuration.customers.find(this->customerNames[i]);
        if (it == configuration.customers.end())
            continue;
        shapes[i].share = it->second.share;
        const auto guarantee = it->second.guarantees.find(this->settings.dataCenter);
        if (guarantee != it->second.guarantees.end())
            shapes[i].guarantee = guarantee->second;
    }
    this->scheduler->setCustomers(shapes, now);
    const auto &closed = preset->closedDataCenters;
    const bool isClosed
        = std::find(closed.begin(), closed.end(), this->settings.dataCenter) != closed.end();
    this->scheduler->setPreset(*preset, isClosed, now);
}

QueuedJob Dispatcher::queuedJob(const DispatchJob &job, TimePoint now)
{
    const JobSpec &spec = job.spec;
    QueuedJob queued;
    queued.job = job.id;
    queued.customer = this->customerId(spec.customer);
    queued.caller = intern(this->callerIds, spec.customer + '/' + spec.caller);
    queued.kind = intern(this->kindIds, spec.customer + '/' + spec.kind);
    queued.urgency = spec.urgency;
    queued.adjacency = spec.adjacency;
    queued.accelerators = spec.accelerators;
    queued.memoryMiB = spec.memoryMiB;
    queued.declaredRunTime = spec.declaredRunTime;
    if (spec.deadline)
        queued.deadline = job.acceptedAt + *spec.deadline;
    queued.isPreemptible = spec.idempotent;
    queued.wasAdmitted = spec.durable;
    assert(queued.deadline.value_or(now) >= job.acceptedAt);
    return queued;
}

void Dispatcher::sendReply(const std::string &to, CallId call, const std::string &key,
                           JobAnswer answer, EntryActions &out)
{
    JobUpdate update;
    update.call = call;
    update.from = JobRole::Dispatcher;
    update.key = key;
    update.answer = std::move(answer);
    out.sends.push_back({to, std::move(update)});
}

void Dispatcher::sendUpdate(const DispatchJob &job, EntryActions &out)
{
    const std::string to = job.spec.durable ? this->keeperOf(job.key) : job.requester;
    JobAnswer answer = job.answer;
    if (job.phase != DispatchPhase::Finished) {
        const bool runs = job.phase == DispatchPhase::Running;
        answer = makeAnswer(runs ? JobStatus::Running : JobStatus::Accepted);
        if (job.phase == DispatchPhase::InDoubt)
            answer = makeAnswer(JobStatus::Running, "the job's worker does not answer");
    }
    if (!to.empty())
        this->sendReply(to, job.call, job.key, std::move(answer), out);
}

void Dispatcher::admit(const std::string &from, const AdmitJob &message, TimePoint now,
                       EntryActions &out)
{
    DispatchJob probe;
    probe.key = jobKey(message.spec.customer, message.spec.requestId);
    probe.spec = message.spec;
    probe.acceptedAt = now;
    probe.id = JobId{this->nextJob++};
    QueuedJob queued = this->queuedJob(probe, now);
    queued.wasAdmitted = false;
    Admission admission = this->scheduler->submit(queued, now);
    if (admission.isAccepted())
        this->scheduler->cancel(probe.id, now);
    if (this->mayFitLater(admission))
        admission.retryAfter = fleetRetryDelay;
    const JobAnswer answer
        = admission.isAccepted() ? makeAnswer(JobStatus::Accepted) : refusalAnswer(admission);
    JobUpdate update;
    update.call = message.call;
    update.from = JobRole::Dispatcher;
    update.key = probe.key;
    update.answer = answer;
    update.admission = true;
    out.sends.push_back({from, std::move(update)});
}

void Dispatcher::submit(const std::string &from, const SubmitJob &message, TimePoint now,
                        EntryActions &out)
{
    const std::string key = jobKey(message.spec.customer, message.spec.requestId);
    DispatchJob *known = this->findJob(key);
    const bool wasRefused = known && !known->spec.durable && known->phase == DispatchPhase::Finished
        && known->answer.status == JobStatus::NotRun;
    if (wasRefused) {
        // The refused job never ran, so the same request id may be submitted again.
        this->eraseJob(key);
        known = nullptr;
    }
    if (known) {
        known->requester = from;
        known->call = message.call;
        if (!known->hasPayload) {
            known->spec = message.spec;
            known->hasPayload = true;
        }
        const bool unplaced
            = known->phase == DispatchPhase::Queued || known->phase == DispatchPhase::Assigning;
        const bool overtaken = known->phase == DispatchPhase::InDoubt && known->runsAtMostOnce()
            && message.attempt > known->attempt;
        if ((unplaced || overtaken) && !message.places.empty()) {
            // The keeper recorded an assignment by another dispatcher after the job had been
            // submitted here; adopt the places of that assignment.
            if (known->phase == DispatchPhase::Queued)
                this->removeFromQueue(*known, now);
            this->leaveScheduler(*known, EndKind::Cancelled, false, now);
            known->attempt = message.attempt;
            this->adoptPlaces(*known, message.places, now);
        }
        this->sendUpdate(*known, out);
        return;
    }
    DispatchJob &job = this->jobs[key];
    job.key = key;
    job.spec = message.spec;
    job.requester = from;
    job.call = message.call;
    job.attempt = message.attempt;
    job.acceptedAt = now;
    this->requestTick(job);
    if (!message.places.empty()) {
        this->adoptPlaces(job, message.places, now);
        return;
    }
    // A task that a former dispatcher started may still run on a worker that is not acquired yet,
    // so the job is queued after the recovery time.
    if (job.spec.durable && this->isRecovering(now))
        return;
    Admission admission = this->enqueue(job, now);
    if (admission.isAccepted() || this->isKeptDespiteRefusal(job, admission, now)) {
        this->sendUpdate(job, out);
        return;
    }
    if (this->mayFitLater(admission))
        admission.retryAfter = fleetRetryDelay;
    this->finishJob(job, EndKind::Cancelled, refusalAnswer(admission), now, out);
    // Refused jobs are not kept, so that a flood of refusals uses no memory.
    if (!job.spec.durable)
        this->eraseJob(key);
}

bool Dispatcher::mayFitLater(const Admission &admission) const
{
    return admission.refusal == RefusalReason::NeverFits
        && this->ownedWorkers() < this->sessions.size();
}

bool Dispatcher::isKeptDespiteRefusal(const DispatchJob &job, const Admission &admission,
                                      TimePoint now) const
{
    if (!job.spec.durable)
        return false;
    switch (admission.refusal) {
    case RefusalReason::NotServing:
    case RefusalReason::QueueFull:
        return true;
    case RefusalReason::NeverFits:
        return this->mayFitLater(admission);
    case RefusalReason::UnknownCustomer:
        // The configuration of this instance may be older than the one under which the caller was
        // admitted.
        return now - job.acceptedAt < this->settings.inDoubtTimeout;
    default:
        return false;
    }
}

void Dispatcher::removeFromQueue(DispatchJob &job, TimePoint now)
{
    if (!job.scheduled)
        return;
    this->scheduler->cancel(job.id, now);
    this->keysByJobId.erase(job.id);
    job.scheduled = false;
}

Admission Dispatcher::enqueue(DispatchJob &job, TimePoint now)
{
    job.id = JobId{this->nextJob++};
    job.phase = DispatchPhase::Queued;
    const Admission admission = this->scheduler->submit(this->queuedJob(job, now), now);
    if (admission.isAccepted()) {
        job.scheduled = true;
        this->keysByJobId.emplace(job.id, job.key);
    }
    return admission;
}

void Dispatcher::cancel(const std::string &from, const CancelJob &message, TimePoint now,
                        EntryActions &out)
{
    DispatchJob *job = this->findJob(message.key);
    if (!job) {
        this->sendReply(from, message.call, message.key, makeAnswer(JobStatus::Unknown), out);
        return;
    }
    if (job->phase == DispatchPhase::Finished) {
        this->sendUpdate(*job, out);
        return;
    }
    job->cancelRequested = true;
    this->requestTick(*job);
    if (job->phase == DispatchPhase::Queued) {
        const JobAnswer answer = makeAnswer(JobStatus::NotRun, "cancelled before it started");
        this->removeFromQueue(*job, now);
        this->finishJob(*job, EndKind::Cancelled, answer, now, out);
        return;
    }
    const bool started = job->phase == DispatchPhase::Reserving
        || job->phase == DispatchPhase::Starting || job->phase == DispatchPhase::Running;
    if (started)
        this->endJob(*job, EndReason::Cancel, std::nullopt, now, out);
}

void Dispatcher::query(const std::string &from, const QueryJob &message, TimePoint,
                       EntryActions &out)
{
    DispatchJob *job = this->findJob(message.key);
    if (!job) {
        this->sendReply(from, message.call, message.key, makeAnswer(JobStatus::Unknown), out);
        return;
    }
    if (!job->spec.durable)
        job->requester = from;
    this->sendUpdate(*job, out);
}

void Dispatcher::decide(TimePoint now, EntryActions &out)
{
    this->decisions.clear();
    this->scheduler->decide(now, this->decisions);
    // Applying a decision may call the scheduler, which invalidates the spans of its decisions, so
    // the placements are copied first.
    std::vector<std::vector<Placement>> placements;
    placements.reserve(this->decisions.size());
    for (const Decision &decision : this->decisions)
        placements.emplace_back(decision.placements.begin(), decision.placements.end());
    for (std::size_t i = 0; i < this->decisions.size(); ++i) {
        Decision decision = this->decisions[i];
        decision.placements = placements[i];
        this->applyDecision(decision, now, out);
    }
}

void Dispatcher::applyDecision(const Decision &decision, TimePoint now, EntryActions &out)
{
    const auto it = this->keysByJobId.find(decision.job);
    DispatchJob *job = it == this->keysByJobId.end() ? nullptr : this->findJob(it->second);
    if (!job)
        return;
    switch (decision.kind) {
    case DecisionKind::Start:
        if (job->phase == DispatchPhase::Queued)
            this->assignMembers(*job, decision.placements, now, out);
        return;
    case DecisionKind::Throttle:
        this->sendToAll(*job, WorkerVerb::Throttle, now, out);
        return;
    case DecisionKind::Checkpoint:
        // If the checkpoint is not answered, the scheduler stops the borrowing job by a separate
        // Stop decision.
        job->checkpointing = true;
        this->endJob(*job, EndReason::Preempt, std::nullopt, now, out);
        return;
    case DecisionKind::Stop:
        job->checkpointing = false;
        this->endJob(*job, EndReason::Preempt, std::nullopt, now, out);
        return;
    case DecisionKind::Expire: {
        job->scheduled = false;
        this->keysByJobId.erase(it);
        this->requestTick(*job);
        if (this->isKeptDespiteRefusal(*job, {decision.reason, std::nullopt}, now))
            return;
        const JobAnswer answer = makeAnswer(JobStatus::NotRun, toString(decision.reason));
        this->finishJob(*job, EndKind::Cancelled, answer, now, out);
        return;
    }
    }
}

void Dispatcher::assignMembers(DispatchJob &job, std::span<const Placement> placements,
                               TimePoint now, EntryActions &out)
{
    std::vector<Member> members;
    const std::string stem = job.runsAtMostOnce()
        ? job.key + "#a" + std::to_string(job.attempt)
        : job.key + '#' + this->settings.session.owner + '.' + std::to_string(this->nextTask++);
    for (const Placement &placement : placements) {
        const std::string &name = this->workerNames[placement.worker.value];
        const WorkerSession *session = this->findSession(name);
        assert(session);
        Member member;
        member.worker = placement.worker;
        member.place = {name, session->workerIncarnation(), placement.slots};
        member.task = stem + '.' + std::to_string(members.size());
        members.push_back(std::move(member));
    }
    this->setMembers(job, std::move(members));
    this->requestTick(job);
    if (job.runsAtMostOnce()) {
        job.phase = DispatchPhase::Assigning;
        this->sendAssign(job, now, out);
        return;
    }
    this->reserveOrStart(job, now, out);
}

void Dispatcher::sendAssign(DispatchJob &job, TimePoint now, EntryActions &out)
{
    AssignJob assign;
    assign.call = job.call;
    assign.key = job.key;
    assign.attempt = job.attempt;
    assign.dispatcherIncarnation = this->settings.incarnation;
    if (job.phase == DispatchPhase::Assigning) {
        for (const Member &member : job.members)
            assign.places.push_back(member.place);
    }
    job.resendAt = now + this->settings.resendAfter;
    const std::string keeper = this->keeperOf(job.key);
    if (!keeper.empty())
        out.sends.push_back({keeper, std::move(assign)});
}

void Dispatcher::handleAssignReply(const AssignReply &message, TimePoint now, EntryActions &out)
{
    DispatchJob *job = this->findJob(message.key);
    if (!job || job->attempt != message.attempt)
        return;
    const bool waits
        = job->phase == DispatchPhase::Assigning || job->phase == DispatchPhase::AbandoningAttempt;
    if (!waits)
        return;
    if (!message.accepted) {
        // Another dispatcher owns the job now, or the job has ended; no task of this attempt was
        // started here.
        out.log(LogLevel::Warn, component,
                "The keeper refused an assignment; this dispatcher drops the job.", job->key);
        this->leaveScheduler(*job, EndKind::Cancelled, false, now);
        this->eraseJob(message.key);
        return;
    }
    if (job->phase == DispatchPhase::AbandoningAttempt) {
        ++job->attempt;
        this->removeMembers(*job);
        if (job->cancelRequested) {
            const JobAnswer answer = makeAnswer(JobStatus::NotRun, "cancelled before it started");
            this->finishJob(*job, EndKind::Cancelled, answer, now, out);
            return;
        }
        this->enqueue(*job, now);
        return;
    }
    if (job->cancelRequested) {
        for (Member &member : job->members)
            this->setMemberState(member, MemberState::NeverStarted);
        this->abandonAttempt(*job, now, out);
        return;
    }
    this->reserveOrStart(*job, now, out);
}

void Dispatcher::reserveOrStart(DispatchJob &job, TimePoint now, EntryActions &out)
{
    const bool gang = job.members.size() > 1;
    job.phase = gang ? DispatchPhase::Reserving : DispatchPhase::Starting;
    this->sendToAll(job, gang ? WorkerVerb::Reserve : WorkerVerb::Start, now, out);
    // A worker may have been lost since the scheduler chose it.
    this->advance(job, now, out);
}

void Dispatcher::handleRecorded(const std::string &key, TimePoint, EntryActions &)
{
    DispatchJob *job = this->findJob(key);
    if (!job || job->phase != DispatchPhase::Finished)
        return;
    this->eraseJob(key);
}

void Dispatcher::eraseJob(const std::string &key)
{
    const auto it = this->jobs.find(key);
    assert(it != this->jobs.end());
    this->removeMembers(it->second);
    this->jobsToTick.erase(key);
    this->jobs.erase(it);
}

void Dispatcher::tick(TimePoint now, EntryActions &out)
{
    this->expireCalls(now, out);
    for (auto &[name, session] : this->sessions)
        this->pollSession(name, session, now, out);
    const std::vector<std::string> keys(this->jobsToTick.begin(), this->jobsToTick.end());
    for (const std::string &key : keys) {
        DispatchJob *job = this->findJob(key);
        if (!job || !this->tickJob(*job, now, out))
            this->jobsToTick.erase(key);
    }
    this->decide(now, out);
}

void Dispatcher::release(TimePoint now, EntryActions &out)
{
    for (auto &[name, session] : this->sessions) {
        if (session.state() == WorkerSession::State::Owned)
            this->callWorker(name, session.request(WorkerVerb::Release, {}), {}, 0, now, out);
    }
    for (const auto &[key, job] : this->jobs) {
        if (job.phase == DispatchPhase::Finished) {
            this->sendUpdate(job, out);
            continue;
        }
        JobUpdate update;
        update.call = job.call;
        update.from = JobRole::Dispatcher;
        update.key = key;
        update.notOwner = true;
        const std::string to = job.spec.durable ? this->keeperOf(key) : job.requester;
        if (!to.empty())
            out.sends.push_back({to, std::move(update)});
    }
    out.log(LogLevel::Info, component,
            "Released the dispatcher role for " + this->settings.dataCenter + ".");
}

std::vector<std::pair<std::string, CellCounts>> Dispatcher::shortfalls() const
{
    std::vector<std::pair<std::string, CellCounts>> named;
    for (const Shortfall &shortfall : this->scheduler->shortfalls())
        named.emplace_back(this->customerNames[shortfall.customer.value], shortfall.missing);
    return named;
}

} // namespace Hibiscus
