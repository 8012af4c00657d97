#include <Entry/WorkerSession.h>

#include <algorithm>

namespace Hibiscus {

namespace {

/// A process that is gone refuses connections; two refusals in a row are taken as its death, so
/// that its work moves on before the lease has lapsed.
constexpr unsigned undeliveredBound = 2;

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
                         News &news)
{
    if (this->callSince && now - *this->callSince > this->settings.callTimeout) {
        this->callSince.reset();
        // The lost Acquire may have been granted; a worker grants each epoch once.
        if (this->ownership == State::Acquiring)
            ++this->epoch;
    }
    const Duration collectLimit = this->settings.collectWait + this->settings.callTimeout;
    if (this->collectSince && now - *this->collectSince > collectLimit)
        this->collectSince.reset();
    if (this->ownership == State::Owned && now - this->leaseFrom > this->settings.ownerTerm)
        news = this->lose(now, Duration::zero());
    if (this->ownership == State::Acquiring)
        this->pollAcquire(now, requests);
    else
        this->pollOwned(collecting, now, requests);
}

void WorkerSession::pollAcquire(TimePoint now, std::vector<WorkerRequest> &requests)
{
    if (this->callSince || now < this->acquireAt)
        return;
    WorkerRequest acquire = this->request(WorkerVerb::Acquire, {});
    acquire.ownerTerm = this->settings.ownerTerm;
    requests.push_back(std::move(acquire));
    this->callSince = now;
}

void WorkerSession::pollOwned(bool collecting, TimePoint now, std::vector<WorkerRequest> &requests)
{
    if (!this->callSince && now >= this->renewAt) {
        WorkerRequest renew = this->request(WorkerVerb::Renew, {});
        renew.ownerTerm = this->settings.ownerTerm;
        requests.push_back(std::move(renew));
        this->callSince = now;
        this->renewAt = now + this->settings.renewEvery;
    }
    const std::uint64_t safe
        = this->heldReports.empty() ? this->seenSequence : *this->heldReports.begin() - 1;
    if (safe > this->acknowledged) {
        WorkerRequest acknowledge = this->request(WorkerVerb::Acknowledge, {});
        acknowledge.sequence = safe;
        requests.push_back(std::move(acknowledge));
        this->acknowledged = safe;
    }
    if (collecting && !this->collectSince) {
        WorkerRequest collect = this->request(WorkerVerb::Collect, {});
        collect.sequence = this->seenSequence;
        collect.wait = this->settings.collectWait;
        requests.push_back(std::move(collect));
        this->collectSince = now;
    }
}

WorkerSession::News WorkerSession::replied(const WorkerRequest &request, const WorkerReply &reply,
                                           TimePoint now)
{
    if (request.epoch != this->epoch)
        return {};
    switch (request.verb) {
    case WorkerVerb::Acquire:
        return this->acquireReplied(reply, now);
    case WorkerVerb::Renew:
        return this->renewReplied(reply, now);
    case WorkerVerb::Collect: {
        this->collectSince.reset();
        if (reply.status != WorkerStatus::Ok || this->ownership != State::Owned)
            return {};
        News news;
        news.reports = reply.reports;
        this->see(reply.reports);
        return news;
    }
    default:
        return {};
    }
}

WorkerSession::News WorkerSession::acquireReplied(const WorkerReply &reply, TimePoint now)
{
    if (!this->callSince || this->ownership != State::Acquiring)
        return {};
    const TimePoint sentAt = *this->callSince;
    this->callSince.reset();
    if (reply.status == WorkerStatus::Stale) {
        this->epoch = std::max(this->epoch, reply.epoch) + 1;
        // The holder may release the worker long before its lease would lapse.
        this->acquireAt
            = now + std::clamp(reply.ownerLeaseLeft, Duration::zero(), this->settings.retryEvery);
        return {};
    }
    this->acquireAt = now + this->settings.retryEvery;
    if (reply.status == WorkerStatus::NoAnswer)
        ++this->epoch;
    if (reply.status != WorkerStatus::Ok)
        return {};
    this->ownership = State::Owned;
    this->leaseFrom = sentAt;
    this->renewAt = sentAt + this->settings.renewEvery;
    this->undelivered = 0;
    if (this->incarnation != reply.incarnation) {
        // Another process numbers its reports anew.
        this->seenSequence = 0;
        this->acknowledged = 0;
        this->heldReports.clear();
    }
    this->incarnation = reply.incarnation;
    News news;
    news.acquired = true;
    news.reports = reply.reports;
    this->see(reply.reports);
    return news;
}

WorkerSession::News WorkerSession::renewReplied(const WorkerReply &reply, TimePoint now)
{
    if (!this->callSince || this->ownership != State::Owned)
        return {};
    const TimePoint sentAt = *this->callSince;
    this->callSince.reset();
    switch (reply.status) {
    case WorkerStatus::Ok:
        this->undelivered = 0;
        if (reply.incarnation != this->incarnation)
            return this->lose(now, Duration::zero());
        this->leaseFrom = sentAt;
        return {};
    case WorkerStatus::Stale:
        this->epoch = std::max(this->epoch, reply.epoch);
        return this->lose(now, reply.ownerLeaseLeft);
    case WorkerStatus::NotDelivered:
        ++this->undelivered;
        this->renewAt = now + this->settings.retryEvery;
        if (this->undelivered >= undeliveredBound)
            return this->lose(now, this->settings.retryEvery);
        return {};
    default:
        this->renewAt = now + this->settings.retryEvery;
        return {};
    }
}

bool WorkerSession::refusedAsStale(const WorkerReply &reply, TimePoint now)
{
    if (this->ownership != State::Owned || reply.epoch <= this->epoch)
        return false;
    this->epoch = reply.epoch;
    this->lose(now, reply.ownerLeaseLeft);
    return true;
}

WorkerSession::News WorkerSession::lose(TimePoint now, Duration retryIn)
{
    this->ownership = State::Acquiring;
    // A rising epoch fences calls of the lost lease that are still on their way.
    ++this->epoch;
    this->callSince.reset();
    this->collectSince.reset();
    this->undelivered = 0;
    this->acquireAt = now + retryIn;
    News news;
    news.lost = true;
    return news;
}

void WorkerSession::see(const std::vector<TaskReport> &reports)
{
    for (const TaskReport &report : reports)
        this->seenSequence = std::max(this->seenSequence, report.sequence);
}

} // namespace Hibiscus
