#include <Ledger/LedgerLoader.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

namespace Hibiscus {

namespace {

/// Slots read by one call. Bounds the size of the reply.
constexpr std::uint32_t slotsPerPage = 16;

void moveRecords(LedgerBatch &batch, std::vector<LedgerRecord> &records)
{
    records.insert(records.end(), std::make_move_iterator(batch.records.begin()),
                   std::make_move_iterator(batch.records.end()));
}

} // namespace

LedgerLayout::LedgerLayout(std::string prefix, std::uint32_t slots)
    : prefix(std::move(prefix))
    , slots(slots)
{}

std::uint32_t LedgerLayout::slotOf(std::uint64_t sequence) const
{
    return static_cast<std::uint32_t>(sequence % this->slots);
}

std::string LedgerLayout::slotKey(std::uint32_t slot) const
{
    char digits[16];
    std::snprintf(digits, sizeof(digits), "log/%06u", slot);
    return this->prefix + digits;
}

std::string LedgerLayout::headKey() const
{
    return this->prefix + "snapshot";
}

std::string LedgerLayout::partPrefix() const
{
    return this->prefix + "part/";
}

LedgerLayout::SlotContent LedgerLayout::classifySlot(std::uint64_t sequence,
                                                     const std::optional<LedgerBatch> &found) const
{
    if (!found)
        return sequence <= this->slots ? SlotContent::Previous : SlotContent::Other;
    if (found->sequence == sequence)
        return SlotContent::Current;
    return found->sequence + this->slots == sequence ? SlotContent::Previous : SlotContent::Other;
}

LedgerLoader::LedgerLoader(const LedgerLayout &layout)
    : layout(layout)
{
    this->loaded.slotRevisions.resize(layout.slotCount());
}

std::uint32_t LedgerLoader::pageEnd() const
{
    return std::min(this->layout.slotOf(this->sequence) + slotsPerPage, this->layout.slotCount());
}

StoreRequest LedgerLoader::request() const
{
    if (this->phase == Phase::Head)
        return {.verb = StoreVerb::Get, .key = this->layout.headKey()};
    if (this->phase == Phase::Parts)
        return {.verb = StoreVerb::Get, .key = this->partKeys[this->loaded.parts.size()]};
    return {.verb = StoreVerb::List,
            .key = this->layout.slotKey(this->layout.slotOf(this->sequence)),
            .end = this->layout.slotKey(this->pageEnd())};
}

LedgerLoader::Step LedgerLoader::reply(const StoreReply &reply)
{
    if (this->phase == Phase::Head)
        return this->headReply(reply);
    if (this->phase == Phase::Parts)
        return this->partReply(reply);
    return this->slotsReply(reply);
}

std::optional<LedgerBatch> LedgerLoader::decode(const StoreEntry &entry)
{
    tl::expected<LedgerBatch, Findings> batch = decodeBatch(entry.value, entry.key);
    if (batch)
        return std::move(*batch);
    this->problems.append(batch.error());
    return std::nullopt;
}

LedgerLoader::Step LedgerLoader::headReply(const StoreReply &reply)
{
    this->phase = Phase::Slots;
    if (reply.entries.empty())
        return Step::Continue;
    const StoreEntry &entry = reply.entries.front();
    std::optional<LedgerBatch> head = this->decode(entry);
    if (!head)
        return Step::Restart;
    this->loaded.headRevision = entry.revision;
    this->loaded.headSequence = head->sequence;
    this->loaded.snapshotBytes = entry.value.size();
    moveRecords(*head, this->loaded.records);
    this->partKeys = std::move(head->parts);
    // Starts with the last batch that the snapshot covers. If its slot holds another batch, the log
    // has advanced by a whole round since the head was read.
    this->sequence = head->sequence;
    if (!this->partKeys.empty())
        this->phase = Phase::Parts;
    return Step::Continue;
}

LedgerLoader::Step LedgerLoader::partReply(const StoreReply &reply)
{
    // Parts are removed after a newer snapshot has replaced the head.
    if (reply.entries.empty())
        return Step::Restart;
    const StoreEntry &entry = reply.entries.front();
    std::optional<LedgerBatch> part = this->decode(entry);
    if (!part)
        return Step::Restart;
    this->loaded.parts.push_back({.key = entry.key, .revision = entry.revision});
    this->loaded.snapshotBytes += entry.value.size();
    moveRecords(*part, this->loaded.records);
    if (this->loaded.parts.size() == this->partKeys.size())
        this->phase = Phase::Slots;
    return Step::Continue;
}

LedgerLoader::Step LedgerLoader::slotsReply(const StoreReply &reply)
{
    const std::uint32_t end = this->pageEnd();
    auto entry = reply.entries.begin();
    for (std::uint32_t slot = this->layout.slotOf(this->sequence); slot < end; ++slot) {
        const std::string key = this->layout.slotKey(slot);
        const bool present = entry != reply.entries.end() && entry->key == key;
        if (this->readSlot(slot, present ? &*entry : nullptr) == Step::Restart)
            return Step::Restart;
        if (present)
            ++entry;
    }
    return this->tailSeen ? Step::Done : Step::Continue;
}

LedgerLoader::Step LedgerLoader::readSlot(std::uint32_t slot, const StoreEntry *entry)
{
    std::optional<LedgerBatch> batch;
    if (entry) {
        batch = this->decode(*entry);
        if (!batch)
            return Step::Restart;
    }
    const std::uint64_t sequence = this->sequence++;
    switch (this->layout.classifySlot(sequence, batch)) {
    case LedgerLayout::SlotContent::Current:
        return this->appendBatch(sequence, *batch, entry->value.size());
    case LedgerLayout::SlotContent::Previous:
        if (sequence == this->loaded.headSequence)
            return Step::Restart;
        if (!this->tailSeen)
            this->loaded.nextSequence = sequence;
        this->tailSeen = true;
        this->loaded.slotRevisions[slot] = entry ? entry->revision : 0;
        return Step::Continue;
    case LedgerLayout::SlotContent::Other:
        break;
    }
    return Step::Restart;
}

LedgerLoader::Step LedgerLoader::appendBatch(std::uint64_t sequence, LedgerBatch &batch,
                                             std::size_t bytes)
{
    if (this->tailSeen)
        return Step::Restart;
    if (sequence > this->loaded.headSequence) {
        moveRecords(batch, this->loaded.records);
        this->loaded.logBytes += bytes;
    }
    return Step::Continue;
}

} // namespace Hibiscus
