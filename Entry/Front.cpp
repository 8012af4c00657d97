#include <Entry/Front.h>

#include <Ledger/JobKeeper.h>

#include <algorithm>

namespace Hibiscus {

namespace {

constexpr const char *part = "front";

JobAnswer makeAnswer(JobStatus status, std::string reason)
{
    JobAnswer answer;
    answer.status = status;
    answer.reason = std::move(reason);
    return answer;
}

} // namespace

Front::Front(const Settings &settings)
    : settings(settings)
{}

void Front::setConfiguration(const Configuration &configuration)
{
    this->waitingLimits.clear();
    for (const auto &[name, customer] : configuration.customers)
        this->waitingLimits[name] = customer.waitingCallers;
}

std::size_t Front::waitingCalls() const
{
    return this->waitingInAll;
}

bool Front::mayWait(const std::string &customer) const
{
    if (this->waitingInAll >= this->settings.waitingCallers)
        return false;
    const auto limit = this->waitingLimits.find(customer);
    const auto held = this->waiting.find(customer);
    const std::size_t count = held == this->waiting.end() ? 0 : held->second;
    return limit == this->waitingLimits.end() || count < limit->second;
}

Front::Request &Front::open(const std::string &customer, const std::string &requestId,
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

void Front::addWaiter(Request &request, CallId call, TimePoint until, bool wantsFinal)
{
    request.waiters.push_back({call, until, wantsFinal});
    ++this->waiting[request.spec.customer];
    ++this->waitingInAll;
}

void Front::submit(CallId call, SubmitBody body, const Membership &members, TimePoint now,
                   EntryActions &out)
{
    JobSpec &spec = body.spec;
    const bool wait = body.wait;
    spec.durable = !spec.idempotent || !wait;
    const bool room = this->mayWait(spec.customer);
    if (!room && !spec.durable) {
        JobAnswer refusal = makeAnswer(JobStatus::NotRun, "too many callers are waiting");
        refusal.retryAfter = this->settings.refusalRetry;
        out.callerAnswers.push_back({call, spec.requestId, std::move(refusal)});
        return;
    }
    Request &request = this->open(spec.customer, spec.requestId, now);
    // Without room to wait, a durable request's caller is answered at acceptance and polls.
    this->addWaiter(request, call, now + this->settings.waitLimit, wait && room);
    if (request.submitting) {
        // The same request again while it is under way: one run, one answer for both.
        if (request.latest.status != JobStatus::Unknown)
            this->answer(request, request.latest, false, out);
        return;
    }
    request.spec = std::move(spec);
    request.submitting = true;
    request.retry = body.retry;
    request.arrivedAt = now;
    this->enter(request, request.spec.durable ? Stage::AskKeeper : Stage::Dispatch, members, now,
                out);
}

void Front::poll(CallId call, const std::string &customer, const std::string &requestId,
                 Duration wait, const Membership &members, TimePoint now, EntryActions &out)
{
    const bool known = this->requests.count(jobKey(customer, requestId)) != 0;
    Request &request = this->open(customer, requestId, now);
    const bool stays = wait > Duration::zero() && this->mayWait(customer);
    const Duration limit = std::min(wait, this->settings.waitLimit);
    this->addWaiter(request, call, now + (stays ? limit : this->settings.roleWait), stays);
    if (!known)
        this->enter(request, Stage::AskKeeper, members, now, out);
    else if (request.latest.status != JobStatus::Unknown)
        this->answer(request, request.latest, false, out);
}

void Front::cancel(CallId call, const std::string &customer, const std::string &requestId,
                   const Membership &members, TimePoint now, EntryActions &out)
{
    Request &request = this->open(customer, requestId, now);
    this->addWaiter(request, call, now + this->settings.waitLimit, true);
    request.cancelling = true;
    if (this->surelyNotRun(request)) {
        this->finish(request, makeAnswer(JobStatus::NotRun, "cancelled before it started"), now,
                     out);
        return;
    }
    const bool dispatched = request.submitting && request.stage == Stage::Dispatch;
    this->enter(request, dispatched ? Stage::Dispatch : Stage::AskKeeper, members, now, out);
}

void Front::enter(Request &request, Stage stage, const Membership &members, TimePoint now,
                  EntryActions &out)
{
    request.stage = stage;
    request.stageSince = now;
    request.acknowledged = false;
    request.sentTo.clear();
    this->send(request, members, now, out);
}

std::optional<Membership::Member> Front::holder(const Request &request, const Membership &members,
                                                TimePoint now) const
{
    const bool ofKeeper = request.stage == Stage::AskKeeper || request.stage == Stage::Claim;
    if (ofKeeper)
        return members.keeperOf(JobKeeper::shardOf(request.key, this->settings.shards), now);
    return members.dispatcherOf(request.dataCenter, now);
}

PeerMessage Front::message(const Request &request) const
{
    const JobRole role = request.stage == Stage::AskKeeper || request.stage == Stage::Claim
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

void Front::send(Request &request, const Membership &members, TimePoint now, EntryActions &out)
{
    const std::optional<Membership::Member> to = this->holder(request, members, now);
    request.sentAt = now;
    if (!to)
        return;
    PeerMessage message = this->message(request);
    const bool handsOver = std::holds_alternative<SubmitJob>(message);
    const bool elsewhere
        = to->name != request.sentTo || to->incarnation != request.sentToIncarnation;
    // From here on a former holder may have begun what the present one refuses.
    request.retry = request.retry || (handsOver && request.handedOver && elsewhere);
    request.handedOver = request.handedOver || handsOver;
    request.sentTo = to->name;
    request.sentToIncarnation = to->incarnation;
    out.sends.push_back({to->name, std::move(message)});
}

std::optional<std::string> Front::nextDataCenter(const Request &request, const Membership &members,
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

void Front::update(const std::string &from, const JobUpdate &message, const Membership &members,
                   TimePoint now, EntryActions &out)
{
    const auto it = this->requests.find(message.key);
    if (it == this->requests.end())
        return;
    Request &request = it->second;
    const bool ofKeeper = request.stage == Stage::AskKeeper || request.stage == Stage::Claim;
    const bool expected = from == request.sentTo && (message.from == JobRole::Keeper) == ofKeeper;
    if (!expected)
        return;
    if (message.notOwner) {
        // The role has moved; the next tick finds its new holder.
        request.acknowledged = false;
        return;
    }
    request.acknowledged = true;
    this->stageAnswered(request, message, members, now, out);
    // Requests nobody waits for are over as soon as they are answered.
    if (request.waiters.empty())
        this->requests.erase(it);
}

void Front::stageAnswered(Request &request, const JobUpdate &message, const Membership &members,
                          TimePoint now, EntryActions &out)
{
    if (message.from == JobRole::Keeper)
        this->keeperAnswered(request, message, members, now, out);
    else
        this->dispatcherAnswered(request, message, members, now, out);
}

void Front::keeperAnswered(Request &request, const JobUpdate &message, const Membership &members,
                           TimePoint now, EntryActions &out)
{
    const JobAnswer &answer = message.answer;
    if (isFinal(answer.status)) {
        const bool unsure = answer.status == JobStatus::NotRun && !message.recorded;
        this->finish(request, unsure ? this->truthful(request, answer) : answer, now, out);
        return;
    }
    if (answer.status == JobStatus::Unknown && request.stage == Stage::AskKeeper) {
        if (request.refusal)
            this->finish(request, this->truthful(request, *request.refusal), now, out);
        else if (request.submitting && !request.cancelling)
            this->enter(request, Stage::Admit, members, now, out);
        else
            this->enter(request, Stage::AskDispatcher, members, now, out);
        return;
    }
    if (answer.status == JobStatus::Unknown) {
        // The claim is on its way to the store.
        request.acknowledged = false;
        return;
    }
    request.latest = answer;
    if (request.stage == Stage::AskKeeper && request.submitting)
        this->enter(request, Stage::Claim, members, now, out);
    this->answer(request, answer, false, out);
}

void Front::dispatcherAnswered(Request &request, const JobUpdate &message,
                               const Membership &members, TimePoint now, EntryActions &out)
{
    const JobAnswer &answer = message.answer;
    const bool refused = answer.status == JobStatus::NotRun && request.submitting
        && !request.cancelling && answer.reason != "cancelled before it started";
    if (refused) {
        request.refusedBy.push_back(request.dataCenter);
        const std::optional<std::string> next = this->nextDataCenter(request, members, now);
        if (next) {
            request.dataCenter = *next;
            this->enter(request, request.stage, members, now, out);
            return;
        }
    }
    if (refused && !request.spec.idempotent) {
        // Another call with the same id may have been recorded while this one was on its way.
        request.refusal = answer;
        this->enter(request, Stage::AskKeeper, members, now, out);
        return;
    }
    if (isFinal(answer.status)) {
        this->finish(request, answer, now, out);
        return;
    }
    if (request.stage == Stage::Admit) {
        this->enter(request, Stage::Claim, members, now, out);
        return;
    }
    if (answer.status == JobStatus::Unknown) {
        if (request.stage == Stage::AskDispatcher || request.cancelling)
            this->finish(request, makeAnswer(JobStatus::Unknown, "no such request is known"), now,
                         out);
        return;
    }
    request.latest = answer;
    this->answer(request, answer, false, out);
}

void Front::answer(Request &request, const JobAnswer &answer, bool final, EntryActions &out)
{
    const auto ready = [&](const Waiter &waiter) {
        if (!final && waiter.wantsFinal)
            return false;
        out.callerAnswers.push_back({waiter.call, request.spec.requestId, answer});
        --this->waiting[request.spec.customer];
        --this->waitingInAll;
        return true;
    };
    std::erase_if(request.waiters, ready);
}

void Front::finish(Request &request, const JobAnswer &answer, TimePoint now, EntryActions &out)
{
    if (request.submitting) {
        this->callMetrics.ended(request.spec.customer, request.spec.urgency, answer.status,
                                now - request.arrivedAt);
    }
    out.log(LogLevel::Info, part, std::string("Answers ") + toString(answer.status) + ".",
            request.key);
    this->answer(request, answer, true, out);
}

bool Front::surelyNotRun(const Request &request) const
{
    // Until the keeper has said that it does not know the key, an earlier call may have run.
    return request.submitting && !request.handedOver && request.spec.idempotent;
}

JobAnswer Front::truthful(const Request &request, const JobAnswer &refusal) const
{
    // A call that only cancels can't know of submissions that are delayed elsewhere.
    const bool speaksForAll = !request.retry && request.submitting;
    if (speaksForAll || request.spec.idempotent)
        return refusal;
    JobAnswer answer = refusal;
    answer.status = JobStatus::Unknown;
    answer.reason += "; an earlier call may be under way";
    return answer;
}

JobAnswer Front::presentAnswer(const Request &request) const
{
    if (request.latest.status != JobStatus::Unknown)
        return request.latest;
    if (this->surelyNotRun(request)) {
        JobAnswer answer = makeAnswer(JobStatus::NotRun, "nobody could take it in");
        answer.retryAfter = this->settings.refusalRetry;
        return answer;
    }
    return makeAnswer(JobStatus::Unknown, "no answer yet; ask again with the same request id");
}

bool Front::tickRequest(Request &request, const Membership &members, TimePoint now,
                        EntryActions &out)
{
    const JobAnswer present = this->presentAnswer(request);
    std::erase_if(request.waiters, [&](const Waiter &waiter) {
        if (now < waiter.until)
            return false;
        out.callerAnswers.push_back({waiter.call, request.spec.requestId, present});
        --this->waiting[request.spec.customer];
        --this->waitingInAll;
        return true;
    });
    // Nothing is begun for callers who are gone, however late this instance comes to it.
    if (request.waiters.empty())
        return false;
    const std::optional<Membership::Member> to = this->holder(request, members, now);
    const bool moved
        = to && (to->name != request.sentTo || to->incarnation != request.sentToIncarnation);
    const Duration wait
        = request.acknowledged ? this->settings.refreshAfter : this->settings.resendAfter;
    if (moved || now - request.sentAt >= wait)
        this->send(request, members, now, out);
    const bool stuck = !request.handedOver && !request.acknowledged
        && now - request.stageSince >= this->settings.roleWait;
    if (stuck)
        this->finish(request, present, now, out);
    return !request.waiters.empty();
}

void Front::tick(const Membership &members, TimePoint now, EntryActions &out)
{
    for (auto it = this->requests.begin(); it != this->requests.end();) {
        const bool stays = this->tickRequest(it->second, members, now, out);
        it = stays ? std::next(it) : this->requests.erase(it);
    }
}

} // namespace Hibiscus
