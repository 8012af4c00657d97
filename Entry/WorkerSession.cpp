#include <Entry/WorkerSession.h>

#include <algorithm>

namespace Hibiscus {

namespace {

/// The host of a dead process refuses connections. After two undelivered renewals in a row the
/// worker counts as dead, so that its jobs are rescheduled before the lease expires.
constexpr unsigned maxUndeliveredRenewals = 2;

} // namespace

WorkerSession::WorkerSession(const Settings &settings, const WorkerDescription &description,
                             WorkerId id)
    : description(description)
    , settings(settings)
    , workerId(id)
{}

WorkerRequest WorkerSession::request(WorkerVerb verb, std::string task) const
{
    WorkerRequest request;
    request.verb = verb;
    request.owner = this->settings.owner;
    request.epoch = this->epoch;
    request.task = std::move(task);
    request.taskTerm = this->settings.taskTerm;
    request.reserveTerm = this->settings.ownerTerm;
    return request;
}

void WorkerSession::poll(bool collecting, TimePoint now, std::vector<WorkerRequest> &requests,
                         Update &update)
{
    if (this->callSentAt && now - *this->callSentAt > this->settings.callTimeout) {
        this->callSentAt.reset();
        // The unanswered Acquire may have been granted, and a worker grants each epoch only once.
        if (this->ownership == State::Acquiring)
            ++this->epoch;
    }
    const Duration collectLimit = this->settings.collectWait + this->settings.callTimeout;
    if (this->collectSentAt && now - *this->collectSentAt > collectLimit)
        this->collectSentAt.reset();
    if (this->ownership == State::Owned && now - this->leaseStart > this->settings.ownerTerm)
        update = this->loseLease(now, Duration::zero());
    if (this->ownership == State::Acquiring)
        this->pollAcquire(now, requests);
    else
        this->pollOwned(collecting, now, requests);
}

void WorkerSession::pollAcquire(TimePoint now, std::vector<WorkerRequest> &requests)
{
    if (this->callSentAt || now < this->nextAcquireAt)
        return;
    WorkerRequest acquire = this->request(WorkerVerb::Acquire, {});
    acquire.ownerTerm = this->settings.ownerTerm;
    requests.push_back(std::move(acquire));
    this->callSentAt = now;
}

void WorkerSession::pollOwned(bool collecting, TimePoint now, std::vector<WorkerRequest> &requests)
{
    if (!this->callSentAt && now >= this->nextRenewAt) {
        WorkerRequest renew = this->request(WorkerVerb::Renew, {});
        renew.ownerTerm = this->settings.ownerTerm;
        requests.push_back(std::move(renew));
        this->callSentAt = now;
        this->nextRenewAt = now + this->settings.renewInterval;
    }
    const std::uint64_t safeSequence
        = this->heldReports.empty() ? this->highestSequence : *this->heldReports.begin() - 1;
    const std::uint64_t handled = std::max(this->acknowledged, this->acknowledgeSent);
    if (safeSequence > handled && now >= this->nextAcknowledgeAt) {
        WorkerRequest acknowledge = this->request(WorkerVerb::Acknowledge, {});
        acknowledge.sequence = safeSequence;
        requests.push_back(std::move(acknowledge));
        this->acknowledgeSent = safeSequence;
    }
    if (collecting && !this->collectSentAt) {
        WorkerRequest collect = this->request(WorkerVerb::Collect, {});
        collect.sequence = this->highestSequence;
        collect.wait = this->settings.collectWait;
        requests.push_back(std::move(collect));
        this->collectSentAt = now;
    }
}

WorkerSession::Update WorkerSession::handleReply(const WorkerRequest &request,
                                                 const WorkerReply &reply, TimePoint now)
{
    if (request.epoch != this->epoch)
        return {};
    switch (request.verb) {
    case WorkerVerb::Acquire:
        return this->handleAcquireReply(reply, now);
    case WorkerVerb::Renew:
        return this->handleRenewReply(reply, now);
    case WorkerVerb::Collect: {
        this->collectSentAt.reset();
        if (reply.status != WorkerStatus::Ok || this->ownership != State::Owned)
            return {};
        Update update;
        update.reports = reply.reports;
        this->recordSequences(reply.reports);
        return update;
    }
    case WorkerVerb::Acknowledge:
        this->handleAcknowledgeReply(request.sequence, reply, now);
        return {};
    default:
        return {};
    }
}

void WorkerSession::handleAcknowledgeReply(std::uint64_t sequence, const WorkerReply &reply,
                                           TimePoint now)
{
    if (reply.status == WorkerStatus::Ok) {
        this->acknowledged = std::max(this->acknowledged, sequence);
        return;
    }
    this->acknowledgeSent = this->acknowledged;
    this->nextAcknowledgeAt = now + this->settings.retryInterval;
}

WorkerSession::Update WorkerSession::handleAcquireReply(const WorkerReply &reply, TimePoint now)
{
    if (!this->callSentAt || this->ownership != State::Acquiring)
        return {};
    const TimePoint sentAt = *this->callSentAt;
    this->callSentAt.reset();
    if (reply.status == WorkerStatus::Stale) {
        this->epoch = std::max(this->epoch, reply.epoch) + 1;
        // The current owner may release the worker long before its lease expires, so the retry does
        // not wait for the expiry.
        this->nextAcquireAt = now
            + std::clamp(reply.ownerLeaseLeft, Duration::zero(), this->settings.retryInterval);
        return {};
    }
    this->nextAcquireAt = now + this->settings.retryInterval;
    if (reply.status == WorkerStatus::NoAnswer)
        ++this->epoch;
    if (reply.status != WorkerStatus::Ok)
        return {};
    this->ownership = State::Owned;
    this->leaseStart = sentAt;
    this->nextRenewAt = sentAt + this->settings.renewInterval;
    this->undeliveredRenewals = 0;
    if (this->incarnation != reply.incarnation) {
        // A new worker process starts its report numbers again.
        this->highestSequence = 0;
        this->acknowledged = 0;
        this->acknowledgeSent = 0;
        this->heldReports.clear();
    }
    this->incarnation = reply.incarnation;
    Update update;
    update.acquired = true;
    update.reports = reply.reports;
    this->recordSequences(reply.reports);
    return update;
}

WorkerSession::Update WorkerSession::handleRenewReply(const WorkerReply &reply, TimePoint now)
{
    if (!this->callSentAt || this->ownership != State::Owned)
        return {};
    const TimePoint sentAt = *this->callSentAt;
    this->callSentAt.reset();
    switch (reply.status) {
    case WorkerStatus::Ok:
        this->undeliveredRenewals = 0;
        if (reply.incarnation != this->incarnation)
            return this->loseLease(now, Duration::zero());
        this->leaseStart = sentAt;
        return {};
    case WorkerStatus::Stale:
        this->epoch = std::max(this->epoch, reply.epoch);
        return this->loseLease(now, reply.ownerLeaseLeft);
    case WorkerStatus::NotDelivered:
        ++this->undeliveredRenewals;
        this->nextRenewAt = now + this->settings.retryInterval;
        if (this->undeliveredRenewals >= maxUndeliveredRenewals)
            return this->loseLease(now, this->settings.retryInterval);
        return {};
    default:
        this->nextRenewAt = now + this->settings.retryInterval;
        return {};
    }
}

bool WorkerSession::loseLeaseIfStale(const WorkerReply &reply, TimePoint now)
{
    if (this->ownership != State::Owned || reply.epoch <= this->epoch)
        return false;
    this->epoch = reply.epoch;
    this->loseLease(now, reply.ownerLeaseLeft);
    return true;
}

WorkerSession::Update WorkerSession::loseLease(TimePoint now, Duration retryIn)
{
    this->ownership = State::Acquiring;
    // The higher epoch fences calls of the lost lease that are still in flight.
    ++this->epoch;
    this->callSentAt.reset();
    this->collectSentAt.reset();
    // Replies to calls of the lost lease are ignored, so an unanswered Acknowledge is sent again.
    this->acknowledgeSent = this->acknowledged;
    this->undeliveredRenewals = 0;
    this->nextAcquireAt = now + retryIn;
    Update update;
    update.leaseLost = true;
    return update;
}

void WorkerSession::recordSequences(const std::vector<TaskReport> &reports)
{
    for (const TaskReport &report : reports)
        this->highestSequence = std::max(this->highestSequence, report.sequence);
}

} // namespace Hibiscus
