#include <Entry/CallerFrontend.h>

#include <Ledger/JobKeeper.h>

#include <algorithm>

namespace Hibiscus {

namespace {

constexpr const char *component = "front";

JobAnswer makeAnswer(JobStatus status, std::string reason)
{
    JobAnswer answer;
    answer.status = status;
    answer.reason = std::move(reason);
    return answer;
}

} // namespace

CallerFrontend::CallerFrontend(const Settings &settings)
    : settings(settings)
{}

void CallerFrontend::setConfiguration(const Configuration &configuration)
{
    this->waitingLimits.clear();
    for (const auto &[name, customer] : configuration.customers)
        this->waitingLimits[name] = customer.waitingCallers;
}

std::size_t CallerFrontend::waitingCalls() const
{
    return this->totalWaiting;
}

bool CallerFrontend::canHoldCall(const std::string &customer) const
{
    if (this->totalWaiting >= this->settings.maxWaitingCalls)
        return false;
    const auto limit = this->waitingLimits.find(customer);
    const auto held = this->waitingByCustomer.find(customer);
    const std::size_t count = held == this->waitingByCustomer.end() ? 0 : held->second;
    return limit == this->waitingLimits.end() || count < limit->second;
}

CallerFrontend::Request &CallerFrontend::findOrOpenRequest(const std::string &customer,
                                                           const std::string &requestId,
                                                           TimePoint now)
{
    const std::string key = jobKey(customer, requestId);
    const auto [it, isNew] = this->requests.try_emplace(key);
    Request &request = it->second;
    if (isNew) {
        request.key = key;
        request.spec.customer = customer;
        request.spec.requestId = requestId;
        request.dataCenter = this->settings.dataCenter;
        request.stageSince = now;
    }
    return request;
}

void CallerFrontend::addWaiter(Request &request, CallId call, TimePoint until, bool wantsFinal)
{
    request.waiters.push_back({call, until, wantsFinal});
    ++this->waitingByCustomer[request.spec.customer];
    ++this->totalWaiting;
}

void CallerFrontend::submit(CallId call, SubmitBody body, const Membership &members, TimePoint now,
                            EntryActions &out)
{
    JobSpec &spec = body.spec;
    const bool wait = body.wait;
    spec.durable = !spec.idempotent || !wait;
    const bool mayHold = this->canHoldCall(spec.customer);
    if (!mayHold && !spec.durable) {
        JobAnswer refusal = makeAnswer(JobStatus::NotRun, "too many callers are waiting");
        refusal.retryAfter = this->settings.refusalRetryDelay;
        out.callerAnswers.push_back({call, spec.requestId, std::move(refusal)});
        return;
    }
    Request &request = this->findOrOpenRequest(spec.customer, spec.requestId, now);
    // If no more calls may be held, the caller of a durable request is answered at acceptance and
    // has to poll.
    this->addWaiter(request, call, now + this->settings.maxWait, wait && mayHold);
    if (request.submitting) {
        // A repeated submission of a request in progress shares its run and its answer.
        if (request.latestAnswer.status != JobStatus::Unknown)
            this->answerWaiters(request, request.latestAnswer, false, out);
        return;
    }
    request.spec = std::move(spec);
    request.submitting = true;
    request.retry = body.retry;
    request.arrivedAt = now;
    this->enterStage(request, request.spec.durable ? Stage::QueryKeeper : Stage::Dispatch, members,
                     now, out);
}

void CallerFrontend::poll(CallId call, const std::string &customer, const std::string &requestId,
                          Duration wait, const Membership &members, TimePoint now,
                          EntryActions &out)
{
    const bool known = this->requests.count(jobKey(customer, requestId)) != 0;
    Request &request = this->findOrOpenRequest(customer, requestId, now);
    const bool holds = wait > Duration::zero() && this->canHoldCall(customer);
    const Duration limit = std::min(wait, this->settings.maxWait);
    this->addWaiter(request, call, now + (holds ? limit : this->settings.roleTimeout), holds);
    if (!known)
        this->enterStage(request, Stage::QueryKeeper, members, now, out);
    else if (request.latestAnswer.status != JobStatus::Unknown)
        this->answerWaiters(request, request.latestAnswer, false, out);
}

void CallerFrontend::cancel(CallId call, const std::string &customer, const std::string &requestId,
                            const Membership &members, TimePoint now, EntryActions &out)
{
    Request &request = this->findOrOpenRequest(customer, requestId, now);
    this->addWaiter(request, call, now + this->settings.maxWait, true);
    request.cancelling = true;
    if (this->isKnownNotRun(request)) {
        this->finishRequest(request, makeAnswer(JobStatus::NotRun, "cancelled before it started"),
                            now, out);
        return;
    }
    const bool dispatched = request.submitting && request.stage == Stage::Dispatch;
    this->enterStage(request, dispatched ? Stage::Dispatch : Stage::QueryKeeper, members, now, out);
}

void CallerFrontend::enterStage(Request &request, Stage stage, const Membership &members,
                                TimePoint now, EntryActions &out)
{
    request.stage = stage;
    request.stageSince = now;
    request.acknowledged = false;
    request.sentTo.clear();
    this->sendStageMessage(request, members, now, out);
}

std::optional<Membership::Member> CallerFrontend::stageReceiver(const Request &request,
                                                                const Membership &members,
                                                                TimePoint now) const
{
    const bool toKeeper = request.stage == Stage::QueryKeeper || request.stage == Stage::Claim;
    if (toKeeper)
        return members.keeperOf(JobKeeper::shardOf(request.key, this->settings.shards), now);
    return members.dispatcherOf(request.dataCenter, now);
}

PeerMessage CallerFrontend::makeMessage(const Request &request) const
{
    const JobRole role = request.stage == Stage::QueryKeeper || request.stage == Stage::Claim
        ? JobRole::Keeper
        : JobRole::Dispatcher;
    if (request.stage == Stage::Admit)
        return AdmitJob{{}, request.dataCenter, request.spec};
    if (request.cancelling)
        return CancelJob{{}, role, request.key};
    const bool submits
        = request.stage == Stage::Claim || (request.stage == Stage::Dispatch && request.submitting);
    if (!submits)
        return QueryJob{{}, role, request.key};
    SubmitJob submit;
    submit.role = role;
    submit.dataCenter = request.dataCenter;
    submit.spec = request.spec;
    return submit;
}

void CallerFrontend::sendStageMessage(Request &request, const Membership &members, TimePoint now,
                                      EntryActions &out)
{
    const std::optional<Membership::Member> to = this->stageReceiver(request, members, now);
    request.sentAt = now;
    if (!to)
        return;
    PeerMessage message = this->makeMessage(request);
    const bool handsOver = std::holds_alternative<SubmitJob>(message);
    const bool receiverChanged
        = to->name != request.sentTo || to->incarnation != request.sentToIncarnation;
    // A former receiver may have started the job that the current one refuses, so the request
    // counts as a retry.
    request.retry = request.retry || (handsOver && request.handedOver && receiverChanged);
    request.handedOver = request.handedOver || handsOver;
    request.sentTo = to->name;
    request.sentToIncarnation = to->incarnation;
    out.sends.push_back({to->name, std::move(message)});
}

std::optional<std::string> CallerFrontend::nextDataCenter(const Request &request,
                                                          const Membership &members,
                                                          TimePoint now) const
{
    std::optional<std::string> best;
    std::uint32_t mostFree = 0;
    for (const std::string &name : members.dataCenters()) {
        const auto &refused = request.refusedBy;
        if (std::find(refused.begin(), refused.end(), name) != refused.end())
            continue;
        const std::optional<Membership::Member> dispatcher = members.dispatcherOf(name, now);
        if (!dispatcher)
            continue;
        const auto heartbeat = members.heartbeats().find(dispatcher->name);
        const std::uint32_t free
            = heartbeat == members.heartbeats().end() ? 0 : heartbeat->second.freeSlots;
        if (!best || free > mostFree) {
            best = name;
            mostFree = free;
        }
    }
    return best;
}

void CallerFrontend::handleUpdate(const std::string &from, const JobUpdate &message,
                                  const Membership &members, TimePoint now, EntryActions &out)
{
    const auto it = this->requests.find(message.key);
    if (it == this->requests.end())
        return;
    Request &request = it->second;
    const bool toKeeper = request.stage == Stage::QueryKeeper || request.stage == Stage::Claim;
    const bool expected = from == request.sentTo && (message.from == JobRole::Keeper) == toKeeper;
    if (!expected)
        return;
    if (message.notOwner) {
        // The role has moved to another instance, which the next tick finds.
        request.acknowledged = false;
        return;
    }
    request.acknowledged = true;
    this->handleStageAnswer(request, message, members, now, out);
    // A request without waiting calls is dropped once its stage is answered.
    if (request.waiters.empty())
        this->requests.erase(it);
}

void CallerFrontend::handleStageAnswer(Request &request, const JobUpdate &message,
                                       const Membership &members, TimePoint now, EntryActions &out)
{
    if (message.from == JobRole::Keeper)
        this->handleKeeperAnswer(request, message, members, now, out);
    else
        this->handleDispatcherAnswer(request, message, members, now, out);
}

void CallerFrontend::handleKeeperAnswer(Request &request, const JobUpdate &message,
                                        const Membership &members, TimePoint now, EntryActions &out)
{
    const JobAnswer &answer = message.answer;
    if (isFinal(answer.status)) {
        const bool unsure = answer.status == JobStatus::NotRun && !message.recorded;
        this->finishRequest(request, unsure ? this->qualifyRefusal(request, answer) : answer, now,
                            out);
        return;
    }
    if (answer.status == JobStatus::Unknown && request.stage == Stage::QueryKeeper) {
        if (request.refusal)
            this->finishRequest(request, this->qualifyRefusal(request, *request.refusal), now, out);
        else if (request.submitting && !request.cancelling)
            this->enterStage(request, Stage::Admit, members, now, out);
        else
            this->enterStage(request, Stage::QueryDispatcher, members, now, out);
        return;
    }
    if (answer.status == JobStatus::Unknown) {
        // The keeper has not yet recorded the claim in the store.
        request.acknowledged = false;
        return;
    }
    request.latestAnswer = answer;
    if (request.stage == Stage::QueryKeeper && request.submitting)
        this->enterStage(request, Stage::Claim, members, now, out);
    this->answerWaiters(request, answer, false, out);
}

void CallerFrontend::handleDispatcherAnswer(Request &request, const JobUpdate &message,
                                            const Membership &members, TimePoint now,
                                            EntryActions &out)
{
    const JobAnswer &answer = message.answer;
    const bool refused = answer.status == JobStatus::NotRun && request.submitting
        && !request.cancelling && answer.reason != "cancelled before it started";
    if (refused) {
        request.refusedBy.push_back(request.dataCenter);
        const std::optional<std::string> next = this->nextDataCenter(request, members, now);
        if (next) {
            request.dataCenter = *next;
            this->enterStage(request, request.stage, members, now, out);
            return;
        }
    }
    if (refused && !request.spec.idempotent) {
        // Another call with the same request id may have been recorded in the meantime, so the
        // keeper is asked before the refusal is returned.
        request.refusal = answer;
        this->enterStage(request, Stage::QueryKeeper, members, now, out);
        return;
    }
    if (isFinal(answer.status)) {
        this->finishRequest(request, answer, now, out);
        return;
    }
    if (request.stage == Stage::Admit) {
        this->enterStage(request, Stage::Claim, members, now, out);
        return;
    }
    if (answer.status == JobStatus::Unknown) {
        if (request.stage == Stage::QueryDispatcher || request.cancelling)
            this->finishRequest(request, makeAnswer(JobStatus::Unknown, "no such request is known"),
                                now, out);
        return;
    }
    request.latestAnswer = answer;
    this->answerWaiters(request, answer, false, out);
}

void CallerFrontend::answerWaiters(Request &request, const JobAnswer &answer, bool final,
                                   EntryActions &out)
{
    const auto ready = [&](const Waiter &waiter) {
        if (!final && waiter.wantsFinal)
            return false;
        out.callerAnswers.push_back({waiter.call, request.spec.requestId, answer});
        --this->waitingByCustomer[request.spec.customer];
        --this->totalWaiting;
        return true;
    };
    std::erase_if(request.waiters, ready);
}

void CallerFrontend::finishRequest(Request &request, const JobAnswer &answer, TimePoint now,
                                   EntryActions &out)
{
    if (request.submitting) {
        this->callMetrics.recordEnd(request.spec.customer, request.spec.urgency, answer.status,
                                    now - request.arrivedAt);
    }
    out.log(LogLevel::Info, component,
            std::string("Request answered as ") + toString(answer.status) + ".", request.key);
    this->answerWaiters(request, answer, true, out);
}

bool CallerFrontend::isKnownNotRun(const Request &request) const
{
    // For a non-idempotent request an earlier call may have run until the keeper has answered that
    // the key is unknown.
    return request.submitting && !request.handedOver && request.spec.idempotent;
}

JobAnswer CallerFrontend::qualifyRefusal(const Request &request, const JobAnswer &refusal) const
{
    // A call that only cancels cannot know of submissions that are delayed at other instances.
    const bool isOnlyCall = !request.retry && request.submitting;
    if (isOnlyCall || request.spec.idempotent)
        return refusal;
    JobAnswer answer = refusal;
    answer.status = JobStatus::Unknown;
    answer.reason += "; an earlier call may be under way";
    return answer;
}

JobAnswer CallerFrontend::currentAnswer(const Request &request) const
{
    if (request.latestAnswer.status != JobStatus::Unknown)
        return request.latestAnswer;
    if (this->isKnownNotRun(request)) {
        JobAnswer answer
            = makeAnswer(JobStatus::NotRun, "no instance accepted the request in time");
        answer.retryAfter = this->settings.refusalRetryDelay;
        return answer;
    }
    return makeAnswer(JobStatus::Unknown, "no answer yet; ask again with the same request id");
}

bool CallerFrontend::tickRequest(Request &request, const Membership &members, TimePoint now,
                                 EntryActions &out)
{
    const JobAnswer current = this->currentAnswer(request);
    std::erase_if(request.waiters, [&](const Waiter &waiter) {
        if (now < waiter.answerBy)
            return false;
        out.callerAnswers.push_back({waiter.call, request.spec.requestId, current});
        --this->waitingByCustomer[request.spec.customer];
        --this->totalWaiting;
        return true;
    });
    // No work is started for calls that are no longer waiting, even if this tick is late.
    if (request.waiters.empty())
        return false;
    const std::optional<Membership::Member> to = this->stageReceiver(request, members, now);
    const bool moved
        = to && (to->name != request.sentTo || to->incarnation != request.sentToIncarnation);
    const Duration wait
        = request.acknowledged ? this->settings.refreshInterval : this->settings.resendAfter;
    if (moved || now - request.sentAt >= wait)
        this->sendStageMessage(request, members, now, out);
    const bool stuck = !request.handedOver && !request.acknowledged
        && now - request.stageSince >= this->settings.roleTimeout;
    if (stuck)
        this->finishRequest(request, current, now, out);
    return !request.waiters.empty();
}

void CallerFrontend::tick(const Membership &members, TimePoint now, EntryActions &out)
{
    for (auto it = this->requests.begin(); it != this->requests.end();) {
        const bool isOpen = this->tickRequest(it->second, members, now, out);
        it = isOpen ? std::next(it) : this->requests.erase(it);
    }
}

} // namespace Hibiscus
