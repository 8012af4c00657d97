#pragma once

#include <Gateway/Store.h>
#include <Ledger/LedgerBatch.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// A key as it was last seen.
struct KeyRevision
{
    std::string key;
    std::int64_t revision = 0;

    bool operator==(const KeyRevision &) const = default;
};

/// Where the values of one shard stand in the store. Batch `n` of the log is kept in slot
/// `n % slots`, so a slot is written again once a snapshot covers what it holds; log keys are
/// never removed.
class LedgerLayout
{
public:
    /// `prefix` is of the shard and ends in '/'.
    LedgerLayout(std::string prefix, std::uint32_t slots);

    std::uint32_t slotCount() const { return this->slots; }
    std::uint32_t slotOf(std::uint64_t sequence) const;
    std::string slotKey(std::uint32_t slot) const;
    std::string headKey() const;
    std::string partPrefix() const;

    /// What a slot holds, as seen by one who wants to write batch `sequence` there next.
    enum class Occupant : std::uint8_t {
        Former, ///< Absent, or the batch one round before.
        Same, ///< A batch of this sequence.
        Other, ///< Anything else: the log has moved on.
    };
    Occupant occupant(std::uint64_t sequence, const std::optional<LedgerBatch> &found) const;

private:
    std::string prefix;
    std::uint32_t slots;
};

/// What the store held of a shard when it was read.
struct LoadedLedger
{
    std::vector<LedgerRecord> records; ///< In order, snapshot first.
    std::uint64_t nextSequence = 1;
    std::int64_t headRevision = 0; ///< 0: no snapshot yet.
    std::uint64_t headSequence = 0;
    std::vector<KeyRevision> parts; ///< Of the snapshot.
    std::size_t snapshotBytes = 0;
    std::size_t logBytes = 0; ///< Since the snapshot.
    /// Of each slot that was seen with the former occupant, by slot.
    std::vector<std::optional<std::int64_t>> slotRevisions;
};

/// Reads a shard's snapshot and log while others may be writing them. What it returns is the whole
/// log up to `nextSequence`, proven so if the swap of that slot from its seen revision succeeds.
class LedgerLoader
{
public:
    enum class Step : std::uint8_t {
        Again, ///< Make `request` now.
        Restart, ///< The log moved on meanwhile: start a new loader after a backoff.
        Done, ///< See `result`.
    };

    explicit LedgerLoader(const LedgerLayout &layout);

    StoreRequest request() const;
    /// Takes the reply to the last request; not for NoAnswer, after which the request is repeated.
    Step reply(const StoreReply &reply);

    LoadedLedger &result() { return this->loaded; }
    /// What was found malformed, if that caused a restart.
    const Findings &findings() const { return this->problems; }

private:
    enum class Phase : std::uint8_t { Head, Parts, Slots };

    Step headReply(const StoreReply &reply);
    Step partReply(const StoreReply &reply);
    Step slotsReply(const StoreReply &reply);
    Step readSlot(std::uint32_t slot, const StoreEntry *entry);
    Step follow(std::uint64_t sequence, LedgerBatch &batch, std::size_t bytes);
    std::optional<LedgerBatch> decode(const StoreEntry &entry);
    std::uint32_t pageEnd() const;

    LedgerLayout layout;
    LoadedLedger loaded;
    Findings problems;
    Phase phase = Phase::Head;
    std::vector<std::string> partKeys;
    std::uint64_t sequence = 1; ///< Of the next slot to be read.
    bool tailSeen = false;
};

} // namespace Hibiscus
