#include <Ledger/LedgerJob.h>

#include <algorithm>

namespace Hibiscus {

namespace {

constexpr std::size_t maxRequesters = 64;

} // namespace

LedgerJob::AssignVerdict LedgerJob::checkAssign(const DispatcherId &from,
                                                const AssignJob &message) const
{
    const bool open = this->durable && !this->isFinished() && !this->endPending;
    if (!open || this->dispatcher != from)
        return AssignVerdict::Refuse;
    if (this->pendingAssign) {
        const AssignJob &pending = this->pendingAssign->message;
        const bool same = pending.attempt == message.attempt && pending.places == message.places;
        return same ? AssignVerdict::Wait : AssignVerdict::Refuse;
    }
    if (message.places.empty()) {
        if (message.attempt + 1 == this->attempt && !this->isAssigned())
            return AssignVerdict::Repeat;
        return message.attempt == this->attempt ? AssignVerdict::Record : AssignVerdict::Refuse;
    }
    if (message.attempt != this->attempt)
        return AssignVerdict::Refuse;
    if (!this->isAssigned())
        return AssignVerdict::Record;
    return message.places == this->places ? AssignVerdict::Repeat : AssignVerdict::Refuse;
}

bool LedgerJob::acceptsEndFrom(const std::string &instance, JobStatus status) const
{
    if (this->dispatcher && this->dispatcher->instance == instance)
        return true;
    // A former dispatcher may report an outcome that it observed. It can't rule out that its
    // successor has started the job since.
    const bool observed = status == JobStatus::Done || status == JobStatus::Failed
        || status == JobStatus::Cancelled;
    return observed && this->isAssigned();
}

bool LedgerJob::isProvenUnstarted() const
{
    return !this->isAssigned() && !this->pendingAssign;
}

JobAnswer LedgerJob::answer() const
{
    if (this->end)
        return *this->end;
    if (this->running)
        return {.status = JobStatus::Running};
    if (this->durable)
        return {.status = JobStatus::Accepted, .reason = "recorded"};
    return {.status = JobStatus::Unknown, .reason = "being recorded"};
}

void LedgerJob::addRequester(const JobRequester &requester)
{
    for (JobRequester &known : this->requesters) {
        if (known.instance == requester.instance) {
            known.call = requester.call;
            return;
        }
    }
    if (this->requesters.size() >= maxRequesters)
        this->requesters.erase(this->requesters.begin());
    this->requesters.push_back(requester);
}

} // namespace Hibiscus
