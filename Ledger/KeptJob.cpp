#include <Ledger/KeptJob.h>

#include <algorithm>

namespace Hibiscus {

namespace {

constexpr std::size_t mostRequesters = 64;

} // namespace

KeptJob::AssignVerdict KeptJob::judge(const DispatcherId &from, const AssignJob &message) const
{
    const bool open = this->durable && !this->isFinished() && !this->ending;
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

bool KeptJob::believes(const std::string &instance, JobStatus status) const
{
    if (this->dispatcher && this->dispatcher->instance == instance)
        return true;
    // A former dispatcher knows what it saw happen, but not what its successor has done since.
    const bool seen = status == JobStatus::Done || status == JobStatus::Failed
        || status == JobStatus::Cancelled;
    return seen && this->isAssigned();
}

bool KeptJob::isProvenUnstarted() const
{
    return !this->isAssigned() && !this->pendingAssign;
}

JobAnswer KeptJob::answer() const
{
    if (this->end)
        return *this->end;
    if (this->running)
        return {.status = JobStatus::Running};
    if (this->durable)
        return {.status = JobStatus::Accepted, .reason = "recorded"};
    return {.status = JobStatus::Unknown, .reason = "being recorded"};
}

void KeptJob::addRequester(const JobRequester &requester)
{
    for (JobRequester &known : this->requesters) {
        if (known.instance == requester.instance) {
            known.call = requester.call;
            return;
        }
    }
    if (this->requesters.size() >= mostRequesters)
        this->requesters.erase(this->requesters.begin());
    this->requesters.push_back(requester);
}

} // namespace Hibiscus
