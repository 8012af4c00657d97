#include <StandIns/StandInStore.h>

#include <algorithm>

namespace Hibiscus {

namespace {

// As in etcd, a range with this end has no upper bound.
constexpr std::string_view unboundedRangeEnd("\0", 1);

bool isInRange(std::string_view key, std::string_view first, std::string_view end)
{
    if (end.empty())
        return key == first;
    return key >= first && (end == unboundedRangeEnd || key < end);
}

bool isWriteVerb(StoreVerb verb)
{
    return verb != StoreVerb::Get && verb != StoreVerb::List;
}

} // namespace

StoreOutcome StandInStore::execute(const StoreRequest &request, TimePoint now)
{
    ++this->storeCounters.calls[static_cast<std::size_t>(request.verb)];
    if (this->activeFaults.down)
        return {};
    this->expireLeases(now);
    StoreOutcome outcome = this->apply(request, now);
    if (isWriteVerb(request.verb) && this->activeFaults.loseAnswers > 0) {
        --this->activeFaults.loseAnswers;
        return {};
    }
    return outcome;
}

StoreOutcome StandInStore::apply(const StoreRequest &request, TimePoint now)
{
    using Handler = StoreOutcome (StandInStore::*)(const StoreRequest &, TimePoint);
    // Indexed by StoreVerb.
    static constexpr std::array<Handler, StoreCounters::verbCount> handlers{
        &StandInStore::get,         &StandInStore::list,       &StandInStore::compareAndSwap,
        &StandInStore::remove,      &StandInStore::grantLease, &StandInStore::keepLease,
        &StandInStore::revokeLease,
    };
    return (this->*handlers.at(static_cast<std::size_t>(request.verb)))(request, now);
}

StoreOutcome StandInStore::get(const StoreRequest &request, TimePoint)
{
    return this->makeOutcome(StoreStatus::Ok, this->findEntry(request.key));
}

StoreOutcome StandInStore::list(const StoreRequest &request, TimePoint)
{
    std::vector<StoreEntry> entries;
    auto record = this->records.lower_bound(request.key);
    for (; record != this->records.end(); ++record) {
        const auto &[key, stored] = *record;
        const bool limitReached = request.limit > 0 && std::ssize(entries) >= request.limit;
        if (limitReached || !isInRange(key, request.key, request.end))
            break;
        entries.push_back({key, stored.value, stored.revision});
    }
    return this->makeOutcome(StoreStatus::Ok, std::move(entries));
}

StoreOutcome StandInStore::compareAndSwap(const StoreRequest &request, TimePoint)
{
    if (request.value.size() > maxValueBytes)
        return this->makeRefusal(StoreRefusal::ValueTooLarge);
    if (this->keyRevision(request.key) != request.revision)
        return this->makeOutcome(StoreStatus::Conflict, this->findEntry(request.key));
    const auto lease = this->leases.find(request.lease);
    if (request.lease != 0 && lease == this->leases.end())
        return this->makeRefusal(StoreRefusal::LeaseNotFound);

    Record &record = this->records[request.key];
    this->detachFromLease(record.lease, request.key);
    record = {request.value, ++this->storeRevision, request.lease};
    if (request.lease != 0)
        lease->second.keys.insert(request.key);
    const StoreEntry entry{request.key, request.value, record.revision};
    this->appendToHistory(false, entry);
    return this->makeOutcome(StoreStatus::Ok, {entry});
}

StoreOutcome StandInStore::remove(const StoreRequest &request, TimePoint)
{
    if (this->keyRevision(request.key) != request.revision)
        return this->makeOutcome(StoreStatus::Conflict, this->findEntry(request.key));
    const auto record = this->records.find(request.key);
    if (record == this->records.end())
        return this->makeOutcome(StoreStatus::Ok);
    this->detachFromLease(record->second.lease, request.key);
    this->records.erase(record);
    this->appendToHistory(true, {request.key, {}, ++this->storeRevision});
    return this->makeOutcome(StoreStatus::Ok);
}

StoreOutcome StandInStore::grantLease(const StoreRequest &request, TimePoint now)
{
    const std::int64_t id = ++this->lastLeaseId;
    this->leases[id] = {request.term, now + request.term, {}};
    return this->makeOutcome(StoreStatus::Ok, {}, id);
}

StoreOutcome StandInStore::keepLease(const StoreRequest &request, TimePoint now)
{
    const auto lease = this->leases.find(request.lease);
    if (lease == this->leases.end())
        return this->makeOutcome(StoreStatus::Conflict, {}, request.lease);
    lease->second.expiresAt = now + lease->second.term;
    return this->makeOutcome(StoreStatus::Ok, {}, request.lease);
}

StoreOutcome StandInStore::revokeLease(const StoreRequest &request, TimePoint)
{
    if (!this->leases.contains(request.lease))
        return this->makeRefusal(StoreRefusal::LeaseNotFound);
    this->removeLease(request.lease);
    return this->makeOutcome(StoreStatus::Ok, {}, request.lease);
}

void StandInStore::countWatch()
{
    ++this->storeCounters.watches;
}

StoreWatchResult StandInStore::pollChanges(std::string_view key, std::string_view end,
                                           std::int64_t fromRevision, TimePoint now)
{
    this->expireLeases(now);
    const bool hasFault = this->activeFaults.down || this->activeFaults.breakWatches;
    if (hasFault || fromRevision <= this->compactedRevision)
        return {{}, true, fromRevision};
    StoreWatchResult result;
    result.nextRevision = std::max(fromRevision, this->storeRevision + 1);
    const auto first = std::lower_bound(
        this->history.begin(), this->history.end(), fromRevision,
        [](const StoreChange &change, std::int64_t from) { return change.revision < from; });
    std::copy_if(first, this->history.end(), std::back_inserter(result.changes),
                 [&](const StoreChange &change) { return isInRange(change.entry.key, key, end); });
    return result;
}

void StandInStore::countBytes(std::size_t received, std::size_t sent)
{
    this->storeCounters.bytesReceived += received;
    this->storeCounters.bytesSent += sent;
}

StoreOutcome StandInStore::makeOutcome(StoreStatus status, std::vector<StoreEntry> entries,
                                       std::int64_t lease) const
{
    return {{status, std::move(entries), this->storeRevision, lease}, StoreRefusal::None};
}

StoreOutcome StandInStore::makeRefusal(StoreRefusal refusal) const
{
    // Matches the status that StoreClient reports: Conflict for a lease that does not exist, and
    // NoAnswer for a value that is too large.
    StoreOutcome outcome;
    outcome.refusal = refusal;
    if (refusal == StoreRefusal::LeaseNotFound)
        outcome.reply.status = StoreStatus::Conflict;
    return outcome;
}

std::vector<StoreEntry> StandInStore::findEntry(std::string_view key) const
{
    const auto record = this->records.find(key);
    if (record == this->records.end())
        return {};
    return {{record->first, record->second.value, record->second.revision}};
}

std::int64_t StandInStore::keyRevision(std::string_view key) const
{
    const auto record = this->records.find(key);
    return record == this->records.end() ? 0 : record->second.revision;
}

void StandInStore::expireLeases(TimePoint now)
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : this->leases) {
        if (lease.expiresAt <= now)
            expired.push_back(id);
    }
    for (const std::int64_t id : expired)
        this->removeLease(id);
}

void StandInStore::removeLease(std::int64_t id)
{
    const auto lease = this->leases.extract(id);
    const auto &keys = lease.mapped().keys;
    if (keys.empty())
        return;
    ++this->storeRevision; // All removals of a lease share one revision.
    for (const std::string &key : keys) {
        this->records.erase(key);
        this->appendToHistory(true, {key, {}, this->storeRevision});
    }
}

void StandInStore::detachFromLease(std::int64_t lease, const std::string &key)
{
    const auto found = this->leases.find(lease);
    if (found != this->leases.end())
        found->second.keys.erase(key);
}

void StandInStore::appendToHistory(bool removed, const StoreEntry &entry)
{
    this->history.push_back({entry.revision, removed, entry});
    if (this->history.size() <= maxHistoryChanges)
        return;
    this->compactedRevision = this->history.front().revision;
    this->history.pop_front();
}

} // namespace Hibiscus
