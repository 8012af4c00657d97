#include <StandIns/StandInStore.h>

#include <algorithm>

namespace Hibiscus {

namespace {

// As in etcd: this end of a range means that it has none.
constexpr std::string_view noEnd("\0", 1);

bool isInRange(std::string_view key, std::string_view first, std::string_view end)
{
    if (end.empty())
        return key == first;
    return key >= first && (end == noEnd || key < end);
}

bool isWrite(StoreVerb verb)
{
    return verb != StoreVerb::Get && verb != StoreVerb::List;
}

} // namespace

StoreOutcome StandInStore::execute(const StoreRequest &request, TimePoint now)
{
    ++this->counted.calls[static_cast<std::size_t>(request.verb)];
    if (this->activeFaults.down)
        return {};
    this->endLapsedLeases(now);
    StoreOutcome outcome = this->apply(request, now);
    if (isWrite(request.verb) && this->activeFaults.loseAnswers > 0) {
        --this->activeFaults.loseAnswers;
        return {};
    }
    return outcome;
}

StoreOutcome StandInStore::apply(const StoreRequest &request, TimePoint now)
{
    using Handler = StoreOutcome (StandInStore::*)(const StoreRequest &, TimePoint);
    // In the order of StoreVerb.
    static constexpr std::array<Handler, StoreCounters::verbCount> handlers{
        &StandInStore::get,         &StandInStore::list,       &StandInStore::swap,
        &StandInStore::remove,      &StandInStore::grantLease, &StandInStore::keepLease,
        &StandInStore::revokeLease,
    };
    return (this->*handlers.at(static_cast<std::size_t>(request.verb)))(request, now);
}

StoreOutcome StandInStore::get(const StoreRequest &request, TimePoint)
{
    return this->answer(StoreStatus::Ok, this->entriesOf(request.key));
}

StoreOutcome StandInStore::list(const StoreRequest &request, TimePoint)
{
    std::vector<StoreEntry> entries;
    auto record = this->records.lower_bound(request.key);
    for (; record != this->records.end(); ++record) {
        const auto &[key, present] = *record;
        const bool full = request.limit > 0 && std::ssize(entries) >= request.limit;
        if (full || !isInRange(key, request.key, request.end))
            break;
        entries.push_back({key, present.value, present.revision});
    }
    return this->answer(StoreStatus::Ok, std::move(entries));
}

StoreOutcome StandInStore::swap(const StoreRequest &request, TimePoint)
{
    if (request.value.size() > maxValueBytes)
        return this->refuse(StoreRefusal::ValueTooLarge);
    if (this->revisionOf(request.key) != request.revision)
        return this->answer(StoreStatus::Conflict, this->entriesOf(request.key));
    const auto lease = this->leases.find(request.lease);
    if (request.lease != 0 && lease == this->leases.end())
        return this->refuse(StoreRefusal::LeaseEnded);

    Record &record = this->records[request.key];
    this->unbind(record.lease, request.key);
    record = {request.value, ++this->storeRevision, request.lease};
    if (request.lease != 0)
        lease->second.keys.insert(request.key);
    const StoreEntry entry{request.key, request.value, record.revision};
    this->note(false, entry);
    return this->answer(StoreStatus::Ok, {entry});
}

StoreOutcome StandInStore::remove(const StoreRequest &request, TimePoint)
{
    if (this->revisionOf(request.key) != request.revision)
        return this->answer(StoreStatus::Conflict, this->entriesOf(request.key));
    const auto record = this->records.find(request.key);
    if (record == this->records.end())
        return this->answer(StoreStatus::Ok);
    this->unbind(record->second.lease, request.key);
    this->records.erase(record);
    this->note(true, {request.key, {}, ++this->storeRevision});
    return this->answer(StoreStatus::Ok);
}

StoreOutcome StandInStore::grantLease(const StoreRequest &request, TimePoint now)
{
    const std::int64_t id = ++this->lastLease;
    this->leases[id] = {request.term, now + request.term, {}};
    return this->answer(StoreStatus::Ok, {}, id);
}

StoreOutcome StandInStore::keepLease(const StoreRequest &request, TimePoint now)
{
    const auto lease = this->leases.find(request.lease);
    if (lease == this->leases.end())
        return this->answer(StoreStatus::Conflict, {}, request.lease);
    lease->second.end = now + lease->second.term;
    return this->answer(StoreStatus::Ok, {}, request.lease);
}

StoreOutcome StandInStore::revokeLease(const StoreRequest &request, TimePoint)
{
    if (!this->leases.contains(request.lease))
        return this->refuse(StoreRefusal::LeaseEnded);
    this->endLease(request.lease);
    return this->answer(StoreStatus::Ok, {}, request.lease);
}

void StandInStore::beginWatch()
{
    ++this->counted.watches;
}

StoreWatchStep StandInStore::watch(std::string_view key, std::string_view end,
                                   std::int64_t fromRevision, TimePoint now)
{
    this->endLapsedLeases(now);
    const bool faulty = this->activeFaults.down || this->activeFaults.breakWatches;
    if (faulty || fromRevision <= this->forgottenRevision)
        return {{}, true, fromRevision};
    StoreWatchStep step;
    step.nextRevision = std::max(fromRevision, this->storeRevision + 1);
    const auto first = std::lower_bound(
        this->history.begin(), this->history.end(), fromRevision,
        [](const StoreChange &change, std::int64_t from) { return change.revision < from; });
    std::copy_if(first, this->history.end(), std::back_inserter(step.changes),
                 [&](const StoreChange &change) { return isInRange(change.entry.key, key, end); });
    return step;
}

void StandInStore::countBytes(std::size_t received, std::size_t sent)
{
    this->counted.bytesReceived += received;
    this->counted.bytesSent += sent;
}

StoreOutcome StandInStore::answer(StoreStatus status, std::vector<StoreEntry> entries,
                                  std::int64_t lease) const
{
    return {{status, std::move(entries), this->storeRevision, lease}, StoreRefusal::None};
}

StoreOutcome StandInStore::refuse(StoreRefusal refusal) const
{
    // StoreClient sees the same: an ended lease is a Conflict, too large a value has no status.
    StoreOutcome outcome;
    outcome.refusal = refusal;
    if (refusal == StoreRefusal::LeaseEnded)
        outcome.reply.status = StoreStatus::Conflict;
    return outcome;
}

std::vector<StoreEntry> StandInStore::entriesOf(std::string_view key) const
{
    const auto record = this->records.find(key);
    if (record == this->records.end())
        return {};
    return {{record->first, record->second.value, record->second.revision}};
}

std::int64_t StandInStore::revisionOf(std::string_view key) const
{
    const auto record = this->records.find(key);
    return record == this->records.end() ? 0 : record->second.revision;
}

void StandInStore::endLapsedLeases(TimePoint now)
{
    std::vector<std::int64_t> lapsed;
    for (const auto &[id, lease] : this->leases) {
        if (lease.end <= now)
            lapsed.push_back(id);
    }
    for (const std::int64_t id : lapsed)
        this->endLease(id);
}

void StandInStore::endLease(std::int64_t id)
{
    const auto lease = this->leases.extract(id);
    const auto &keys = lease.mapped().keys;
    if (keys.empty())
        return;
    ++this->storeRevision; // All removals are one change of the store.
    for (const std::string &key : keys) {
        this->records.erase(key);
        this->note(true, {key, {}, this->storeRevision});
    }
}

void StandInStore::unbind(std::int64_t lease, const std::string &key)
{
    const auto found = this->leases.find(lease);
    if (found != this->leases.end())
        found->second.keys.erase(key);
}

void StandInStore::note(bool removed, const StoreEntry &entry)
{
    this->history.push_back({entry.revision, removed, entry});
    if (this->history.size() <= maxHistory)
        return;
    this->forgottenRevision = this->history.front().revision;
    this->history.pop_front();
}

} // namespace Hibiscus
