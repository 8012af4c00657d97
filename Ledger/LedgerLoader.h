#pragma once

#include <Gateway/Store.h>
#include <Ledger/LedgerBatch.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// A key and the revision at which it was last read or written.
struct KeyRevision
{
    std::string key;
    std::int64_t revision = 0;

    bool operator==(const KeyRevision &) const = default;
};

/// Maps the values of one shard to keys in the store. The log is a ring: batch `n` is stored in
/// slot `n % slots`. A slot is overwritten once a snapshot covers its batch; log keys are never
/// removed.
class LedgerLayout
{
public:
    /// `prefix` is the key prefix of the shard and ends in '/'.
    LedgerLayout(std::string prefix, std::uint32_t slots);

    std::uint32_t slotCount() const { return this->slots; }
    std::uint32_t slotOf(std::uint64_t sequence) const;
    std::string slotKey(std::uint32_t slot) const;
    std::string headKey() const;
    std::string partPrefix() const;

    /// Content of a slot relative to a batch that is about to be written to it.
    enum class SlotContent : std::uint8_t {
        Previous, ///< Empty in the first round, or the batch of the previous round.
        Current, ///< A batch with the same sequence number.
        Other, ///< Any other content; the log has advanced.
    };
    /// Classifies the batch found in the slot of `sequence`.
    SlotContent classifySlot(std::uint64_t sequence, const std::optional<LedgerBatch> &found) const;

private:
    std::string prefix;
    std::uint32_t slots;
};

/// Content of a shard as read from the store.
struct LoadedLedger
{
    std::vector<LedgerRecord> records; ///< In log order, those of the snapshot first.
    std::uint64_t nextSequence = 1;
    std::int64_t headRevision = 0; ///< Store revision of the head; 0 if there is no snapshot.
    std::uint64_t headSequence = 0;
    std::vector<KeyRevision> parts; ///< Parts of the snapshot.
    std::size_t snapshotBytes = 0;
    std::size_t logBytes = 0; ///< Size of the batches after the snapshot.
    /// Revision of each slot that was read with content Previous, by slot.
    std::vector<std::optional<std::int64_t>> slotRevisions;
};

/// Reads a shard's snapshot and log while other instances may be writing them. The result is the
/// whole log before `nextSequence`. A successful compare-and-swap of the slot of `nextSequence`
/// from its read revision proves that the result is complete.
class LedgerLoader
{
public:
    enum class Step : std::uint8_t {
        Continue, ///< Make `request` now.
        Restart, ///< The log advanced while it was read: start a new loader after a backoff.
        Done, ///< The log is read, see `result`.
    };

    explicit LedgerLoader(const LedgerLayout &layout);

    StoreRequest request() const;
    /// Handles the reply to the last request. After NoAnswer, repeat the request instead.
    Step reply(const StoreReply &reply);

    LoadedLedger &result() { return this->loaded; }
    /// Returns the findings of malformed values that caused a restart.
    const Findings &findings() const { return this->problems; }

private:
    enum class Phase : std::uint8_t { Head, Parts, Slots };

    Step headReply(const StoreReply &reply);
    Step partReply(const StoreReply &reply);
    Step slotsReply(const StoreReply &reply);
    Step readSlot(std::uint32_t slot, const StoreEntry *entry);
    Step appendBatch(std::uint64_t sequence, LedgerBatch &batch, std::size_t bytes);
    std::optional<LedgerBatch> decode(const StoreEntry &entry);
    std::uint32_t pageEnd() const;

    LedgerLayout layout;
    LoadedLedger loaded;
    Findings problems;
    Phase phase = Phase::Head;
    std::vector<std::string> partKeys;
    std::uint64_t sequence = 1; ///< Sequence number of the next slot to read.
    bool tailSeen = false;
};

} // namespace Hibiscus
