#include <Ledger/StoreWrite.h>

#include <utility>

namespace Hibiscus {

StoreWrite::StoreWrite(std::string key, std::string value, std::int64_t expectedRevision)
    : key(std::move(key))
    , value(std::move(value))
    , expectedRevision(expectedRevision)
{}

StoreRequest StoreWrite::request() const
{
    if (this->readsBack)
        return {.verb = StoreVerb::Get, .key = this->key};
    return {.verb = StoreVerb::CompareAndSwap,
            .key = this->key,
            .value = this->value,
            .revision = this->expectedRevision};
}

StoreWrite::Step StoreWrite::reply(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NoAnswer) {
        // Reading the key back loads an overloaded store less than writing the value again.
        this->readsBack = true;
        return Step::Retry;
    }
    if (this->readsBack)
        return this->compareFound(reply);
    if (reply.entries.empty()) {
        this->readsBack = true;
        return Step::Continue;
    }
    if (reply.status == StoreStatus::Ok) {
        this->writtenRevision = reply.entries.front().revision;
        return Step::Written;
    }
    return this->compareFound(reply);
}

StoreWrite::Step StoreWrite::compareFound(const StoreReply &reply)
{
    if (!reply.entries.empty())
        this->found = reply.entries.front();
    if (this->found && this->found->value == this->value) {
        this->writtenRevision = this->found->revision;
        return Step::Written;
    }
    const std::int64_t presentRevision = this->found ? this->found->revision : 0;
    if (presentRevision != this->expectedRevision)
        return Step::Conflict;
    // The write has not taken effect yet. The earlier request may still arrive, but only one of the
    // two can find the expected revision.
    this->readsBack = false;
    return Step::Continue;
}

} // namespace Hibiscus
