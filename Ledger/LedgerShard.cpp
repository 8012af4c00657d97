#include <Ledger/LedgerShard.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Hibiscus {

namespace {

constexpr std::uint32_t slotsPerRead = 16;
/// Time without a reply of the store after which an idle owner checks its ownership.
constexpr Duration ownershipCheckInterval = seconds(5);
/// Pending removals above this count are no longer postponed in favour of batches.
constexpr std::size_t maxPostponedRemovals = 32;

} // namespace

const LedgerShard::WriteHandlers LedgerShard::writeHandlers[]
    = {{&LedgerShard::epochWritten, &LedgerShard::epochConflict},
       {&LedgerShard::batchWritten, &LedgerShard::loseOwnership},
       {&LedgerShard::partWritten, &LedgerShard::partConflict},
       {&LedgerShard::headWritten, &LedgerShard::headConflict}};

LedgerShard::LedgerShard(const LedgerShardSettings &settings)
    : settings(settings)
    , layout(settings.prefix, settings.slots)
    , caller(settings.caller)
{}

void LedgerShard::acquire(TimePoint start)
{
    if (!this->isReleased())
        return;
    this->phase = Phase::Loading;
    this->loader.emplace(this->layout);
    this->waitUntil = start;
}

void LedgerShard::release()
{
    this->phase = Phase::Released;
    this->caller.abandon();
    this->loader.reset();
    this->loadedRecords.clear();
    this->queue.clear();
    this->inFlight.clear();
    this->write.reset();
    this->snapshot.reset();
    this->parts.clear();
    this->removals.clear();
    this->partsCursor.clear();
    this->partsListed = false;
}

AppendId LedgerShard::append(LedgerRecord record, std::string text)
{
    assert(this->isOwned());
    const AppendId id{this->nextAppend++};
    this->queue.push_back({.id = id, .record = std::move(record), .text = std::move(text)});
    return id;
}

bool LedgerShard::withdraw(AppendId id)
{
    const auto found = std::lower_bound(
        this->queue.begin(), this->queue.end(), id,
        [](const QueuedRecord &record, AppendId wanted) { return record.id.value < wanted.value; });
    if (found == this->queue.end() || found->id != id)
        return false;
    this->queue.erase(found);
    return true;
}

void LedgerShard::storeReply(CallId call, const StoreReply &reply, TimePoint now,
                             std::vector<StoreCall> &out, LedgerShardEvents &events)
{
    if (!this->caller.accept(call))
        return;
    this->handleReply(reply, now, events);
    this->issueNextCall(now, out);
}

void LedgerShard::tick(TimePoint now, std::vector<StoreCall> &out, LedgerShardEvents &events)
{
    if (this->caller.expire(now))
        this->handleReply(StoreReply{}, now, events);
    this->issueNextCall(now, out);
}

TimePoint LedgerShard::nextWakeup() const
{
    if (this->phase == Phase::Released)
        return TimePoint::max();
    if (this->caller.isBusy())
        return this->caller.timesOutAt();
    if (this->phase == Phase::Loading && !this->write)
        return this->waitUntil;
    const bool reads = this->write && !this->write->writesNext();
    if (reads)
        return this->waitUntil;
    const bool work
        = this->write || this->batchReady() || this->snapshot || !this->removals.empty();
    return std::max(this->waitUntil, work ? this->nextWrite : this->nextCheck);
}

void LedgerShard::handleReply(const StoreReply &reply, TimePoint now, LedgerShardEvents &events)
{
    if (reply.status == StoreStatus::NoAnswer) {
        this->waitUntil = this->caller.backOff(now);
    } else {
        this->caller.noteSuccess();
        this->nextCheck = now + ownershipCheckInterval;
    }
    switch (this->callKind) {
    case CallKind::Load:
        this->loadReply(reply, now);
        break;
    case CallKind::Write:
        this->writeReply(reply, now, events);
        break;
    case CallKind::ReadSlots:
        this->readSlotsReply(reply, events);
        break;
    case CallKind::ListParts:
        this->listPartsReply(reply);
        break;
    case CallKind::RemovePart:
        // Conflict means that the part is gone or was replaced, so nothing is left to remove.
        if (reply.status != StoreStatus::NoAnswer)
            this->removals.pop_front();
        break;
    }
    const bool confirms = this->callKind == CallKind::ReadSlots
        || (this->callKind == CallKind::Write && this->writeKind <= WriteKind::Batch);
    if (confirms && this->isOwned() && !this->write && reply.status != StoreStatus::NoAnswer)
        this->confirmed = now;
}

void LedgerShard::restartLoading(TimePoint now)
{
    this->write.reset();
    this->loader.emplace(this->layout);
    this->waitUntil = this->caller.backOff(now);
}

void LedgerShard::loadReply(const StoreReply &reply, TimePoint now)
{
    if (reply.status == StoreStatus::NoAnswer)
        return;
    const LedgerLoader::Step step = this->loader->reply(reply);
    if (step == LedgerLoader::Step::Restart)
        this->restartLoading(now);
    if (step != LedgerLoader::Step::Done)
        return;
    LoadedLedger &loaded = this->loader->result();
    // The log must not overwrite the slot of the last batch that the snapshot covers, because
    // readers start from it.
    if (loaded.nextSequence >= loaded.headSequence + this->settings.slots) {
        this->restartLoading(now);
        return;
    }
    this->loadedRecords = std::move(loaded.records);
    this->nextSequence = loaded.nextSequence;
    this->headRevision = loaded.headRevision;
    this->headSequence = loaded.headSequence;
    this->headBytes = loaded.snapshotBytes;
    this->parts = std::move(loaded.parts);
    this->logBytes = loaded.logBytes;
    this->slotRevisions = std::move(loaded.slotRevisions);
    this->loader.reset();
    const std::string record = encodeRecord(EpochRecord{});
    this->startWrite(WriteKind::Epoch,
                     this->layout.slotKey(this->layout.slotOf(this->nextSequence)),
                     encodeBatch(this->nextWriter(), this->nextSequence, {&record, 1}, {}),
                     *this->slotRevisions[this->layout.slotOf(this->nextSequence)]);
}

void LedgerShard::writeReply(const StoreReply &reply, TimePoint now, LedgerShardEvents &events)
{
    const WriteHandlers &handlers = writeHandlers[static_cast<std::size_t>(this->writeKind)];
    switch (this->write->reply(reply)) {
    case StoreWrite::Step::Retry:
    case StoreWrite::Step::Continue:
        return;
    case StoreWrite::Step::Written:
        (this->*handlers.written)(events);
        break;
    case StoreWrite::Step::Conflict:
        (this->*handlers.conflict)(events);
        break;
    }
    this->write.reset();
    if (this->phase == Phase::Loading)
        this->restartLoading(now);
}

void LedgerShard::advanceSlot(std::int64_t revision)
{
    this->slotRevisions[this->layout.slotOf(this->nextSequence)] = revision;
    this->logBytes += this->write->bytes();
    ++this->nextSequence;
}

void LedgerShard::epochWritten(LedgerShardEvents &events)
{
    this->advanceSlot(this->write->revision());
    this->phase = Phase::Owned;
    events.loaded = true;
    events.records = std::move(this->loadedRecords);
    this->loadedRecords.clear();
}

void LedgerShard::epochConflict(LedgerShardEvents & /*events*/)
{
    // Another instance wrote to the log after it was read. writeReply restarts loading.
    this->loadedRecords.clear();
}

void LedgerShard::batchWritten(LedgerShardEvents &events)
{
    this->advanceSlot(this->write->revision());
    for (QueuedRecord &queued : this->inFlight)
        events.records.push_back(std::move(queued.record));
    this->inFlight.clear();
}

void LedgerShard::loseOwnership(LedgerShardEvents &events)
{
    this->release();
    events.lost = true;
}

void LedgerShard::readSlotsReply(const StoreReply &reply, LedgerShardEvents &events)
{
    if (reply.status == StoreStatus::NoAnswer)
        return;
    auto entry = reply.entries.begin();
    const std::uint32_t first = this->layout.slotOf(this->nextSequence);
    const std::uint32_t end = first + this->slotsRead;
    for (std::uint32_t slot = first; slot < end; ++slot) {
        const std::string key = this->layout.slotKey(slot);
        const bool present = entry != reply.entries.end() && entry->key == key;
        std::optional<LedgerBatch> batch;
        if (present)
            batch = decodeBatch(entry->value, key).value_or(LedgerBatch{});
        const std::uint64_t sequence = this->nextSequence + slot - first;
        if (this->layout.classifySlot(sequence, batch) != LedgerLayout::SlotContent::Previous) {
            this->loseOwnership(events);
            return;
        }
        this->slotRevisions[slot] = present ? entry->revision : 0;
        if (present)
            ++entry;
    }
}

WriterId LedgerShard::nextWriter()
{
    return {.instance = this->settings.instance,
            .incarnation = this->settings.incarnation,
            .counter = ++this->counter};
}

void LedgerShard::startWrite(WriteKind kind, std::string key, std::string value,
                             std::int64_t revision)
{
    this->writeKind = kind;
    this->write.emplace(std::move(key), std::move(value), revision);
}

bool LedgerShard::hasRoom() const
{
    // A slot may be overwritten once a snapshot covers a later batch. The last quarter of the ring
    // is reserved for epoch records, since a new owner has to write one before it can snapshot.
    const std::uint32_t usable = this->settings.slots - this->settings.slots / 4;
    return this->nextSequence < this->headSequence + usable;
}

bool LedgerShard::slotKnown() const
{
    return this->slotRevisions[this->layout.slotOf(this->nextSequence)].has_value();
}

bool LedgerShard::batchReady() const
{
    return !this->queue.empty() && this->hasRoom();
}

bool LedgerShard::removalsUrgent() const
{
    return this->removals.size() > maxPostponedRemovals;
}

void LedgerShard::startBatch()
{
    std::vector<std::string> texts;
    std::size_t bytes = 0;
    while (!this->queue.empty()) {
        QueuedRecord &next = this->queue.front();
        if (!texts.empty() && bytes + next.text.size() > this->settings.maxBatchBytes)
            break;
        bytes += next.text.size();
        texts.push_back(std::move(next.text));
        this->inFlight.push_back(std::move(next));
        this->queue.pop_front();
    }
    const std::uint32_t slot = this->layout.slotOf(this->nextSequence);
    this->startWrite(WriteKind::Batch, this->layout.slotKey(slot),
                     encodeBatch(this->nextWriter(), this->nextSequence, texts, {}),
                     *this->slotRevisions[slot]);
    this->lastWasMaintenance = false;
}

void LedgerShard::issue(CallKind kind, StoreRequest request, TimePoint now,
                        std::vector<StoreCall> &out)
{
    this->callKind = kind;
    if (request.verb == StoreVerb::CompareAndSwap || request.verb == StoreVerb::Remove)
        this->nextWrite = now + this->settings.commitSpacing;
    this->caller.call(std::move(request), now, out);
}

void LedgerShard::issueNextCall(TimePoint now, std::vector<StoreCall> &out)
{
    if (this->phase == Phase::Released || this->caller.isBusy() || now < this->waitUntil)
        return;
    if (this->loader) {
        this->issue(CallKind::Load, this->loader->request(), now, out);
        return;
    }
    const bool readsBack = this->write && !this->write->writesNext();
    if (now < this->nextWrite && !readsBack)
        return;
    if (!this->write && this->startNextWork(now, out))
        return;
    if (this->write)
        this->issue(CallKind::Write, this->write->request(), now, out);
}

void LedgerShard::readSlots(std::uint32_t count, TimePoint now, std::vector<StoreCall> &out)
{
    const std::uint32_t slot = this->layout.slotOf(this->nextSequence);
    this->slotsRead = std::min(count, this->layout.slotCount() - slot);
    this->issue(CallKind::ReadSlots,
                {.verb = StoreVerb::List,
                 .key = this->layout.slotKey(slot),
                 .end = this->layout.slotKey(slot + this->slotsRead)},
                now, out);
}

bool LedgerShard::startNextWork(TimePoint now, std::vector<StoreCall> &out)
{
    const bool batch = this->batchReady();
    const bool maintenance
        = this->snapshot || this->removalsUrgent() || (!batch && !this->removals.empty());
    if (batch && !(maintenance && !this->lastWasMaintenance)) {
        if (this->slotKnown()) {
            this->startBatch();
            return false;
        }
        this->readSlots(slotsPerRead, now, out);
        return true;
    }
    if (!maintenance) {
        if (now < this->nextCheck)
            return false;
        this->readSlots(1, now, out);
        return true;
    }
    if (this->snapshot && !this->partsListed) {
        const std::string prefix = this->layout.partPrefix();
        std::string end = prefix;
        ++end.back();
        this->issue(CallKind::ListParts,
                    {.verb = StoreVerb::List,
                     .key = std::max(this->partsCursor, prefix),
                     .end = end,
                     .limit = partsPerList},
                    now, out);
        return true;
    }
    this->lastWasMaintenance = true;
    // Under load snapshots follow each other without a gap, so urgent removals go first.
    if (this->snapshot && !this->removalsUrgent()) {
        this->startSnapshotWrite();
        return false;
    }
    this->removePart(now, out);
    return true;
}

} // namespace Hibiscus
