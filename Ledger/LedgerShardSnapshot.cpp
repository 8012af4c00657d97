// The member functions of LedgerShard that write snapshots and remove superseded parts.

#include <Ledger/LedgerShard.h>

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

namespace Hibiscus {

bool LedgerShard::needsSnapshot() const
{
    if (!this->isOwned() || this->snapshot)
        return false;
    const std::uint64_t batches = this->nextSequence - 1 - this->headSequence;
    if (batches >= this->settings.slots / 2)
        return true;
    // Waiting until the log is as large as the last snapshot bounds the bytes spent on snapshots.
    return batches >= this->settings.batchesPerSnapshot && this->logBytes >= this->headBytes;
}

void LedgerShard::startSnapshot(std::vector<std::string> records)
{
    assert(this->isOwned() && !this->snapshot);
    Snapshot started;
    started.sequence = this->nextSequence - 1;
    started.coveredLogBytes = this->logBytes;
    std::size_t room = 0;
    for (std::string &record : records) {
        if (record.size() > room || started.chunks.empty()) {
            started.chunks.emplace_back();
            room = this->settings.maxBatchBytes;
        }
        room -= std::min(room, record.size());
        started.chunks.back().push_back(std::move(record));
    }
    this->snapshot = std::move(started);
}

void LedgerShard::startSnapshotWrite()
{
    Snapshot &current = *this->snapshot;
    // A state that fits into the head is written without parts.
    const bool inHead = current.parts.empty() && current.chunks.size() <= 1;
    const WriterId writer = this->nextWriter();
    std::vector<std::string> texts;
    if (!current.chunks.empty()) {
        texts = std::move(current.chunks.front());
        current.chunks.pop_front();
    } else if (!inHead) {
        std::vector<std::string> keys;
        for (const KeyRevision &part : current.parts)
            keys.push_back(part.key);
        this->startWrite(WriteKind::Head, this->layout.headKey(),
                         encodeBatch(writer, current.sequence, {}, keys), this->headRevision);
        return;
    }
    std::string value = encodeBatch(writer, current.sequence, texts, {});
    current.bytes += value.size();
    if (inHead) {
        this->startWrite(WriteKind::Head, this->layout.headKey(), std::move(value),
                         this->headRevision);
        return;
    }
    // The writer's id makes the key unique, so a removed part can't be mistaken for another one.
    std::string key = this->layout.partPrefix() + writer.instance + "/"
        + std::to_string(writer.incarnation) + "/" + std::to_string(writer.counter);
    this->startWrite(WriteKind::Part, std::move(key), std::move(value), 0);
}

void LedgerShard::partWritten(LedgerShardEvents & /*events*/)
{
    this->snapshot->parts.push_back(
        {.key = this->write->keyName(), .revision = this->write->revision()});
}

void LedgerShard::partConflict(LedgerShardEvents & /*events*/)
{
    // Happens only if two processes run under one name and incarnation. The next write of the log
    // detects that.
    this->snapshot.reset();
}

void LedgerShard::headWritten(LedgerShardEvents & /*events*/)
{
    Snapshot &written = *this->snapshot;
    this->removals.insert(this->removals.end(), this->parts.begin(), this->parts.end());
    this->removals.insert(this->removals.end(), written.unreferenced.begin(),
                          written.unreferenced.end());
    this->parts = std::move(written.parts);
    this->headRevision = this->write->revision();
    this->headSequence = written.sequence;
    this->headBytes = written.bytes;
    this->logBytes -= written.coveredLogBytes;
    this->snapshot.reset();
}

void LedgerShard::headConflict(LedgerShardEvents &events)
{
    const std::optional<StoreEntry> &present = this->write->present();
    const tl::expected<LedgerBatch, Findings> head
        = decodeBatch(present ? present->value : std::string(), this->layout.headKey());
    if (!head || head->sequence >= this->nextSequence) {
        // The snapshot covers batches that this instance has not seen: another owner has taken
        // over.
        this->loseOwnership(events);
        return;
    }
    // A former owner's snapshot arrived late. Its content is valid, but its writer may have removed
    // parts that it found unreferenced, including the parts of this snapshot. So these parts are
    // never referenced, and the next snapshot writes new ones.
    this->removals.insert(this->removals.end(), this->snapshot->parts.begin(),
                          this->snapshot->parts.end());
    this->headRevision = present->revision;
    this->headSequence = std::max(this->headSequence, head->sequence);
    this->parts.clear();
    this->partsCursor.clear();
    this->partsListed = false;
    this->snapshot.reset();
}

void LedgerShard::listPartsReply(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NoAnswer)
        return;
    this->partsListed = reply.entries.size() < static_cast<std::size_t>(partsPerList);
    if (!this->partsListed)
        this->partsCursor = reply.entries.back().key + '\0';
    for (const StoreEntry &entry : reply.entries) {
        const auto isEntry = [&entry](const KeyRevision &part) { return part.key == entry.key; };
        if (std::none_of(this->parts.begin(), this->parts.end(), isEntry)
            && std::none_of(this->removals.begin(), this->removals.end(), isEntry))
            this->snapshot->unreferenced.push_back({.key = entry.key, .revision = entry.revision});
    }
}

void LedgerShard::removePart(TimePoint now, std::vector<StoreCall> &out)
{
    const KeyRevision &part = this->removals.front();
    this->issue(CallKind::RemovePart,
                {.verb = StoreVerb::Remove, .key = part.key, .revision = part.revision}, now, out);
}

} // namespace Hibiscus
