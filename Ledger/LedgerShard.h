#pragma once

#include <Ledger/LedgerBatch.h>
#include <Ledger/LedgerLoader.h>
#include <Ledger/StoreCaller.h>
#include <Ledger/StoreWrite.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// Names an append to one shard for as long as the shard is held.
using AppendId = Id<struct AppendTag, std::uint64_t>;

struct LedgerShardSettings
{
    std::string prefix; ///< Of the shard's keys, ends in '/'.
    std::string instance; ///< Own name.
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 512; ///< Of the log, the same in every instance.
    Duration commitSpacing{}; ///< Between any two writes.
    std::size_t maxBatchBytes = 0; ///< Bytes of one value.
    std::uint32_t batchesPerSnapshot = 0;
    StoreCaller::Settings caller;
};

/// What became of a shard during a call.
struct LedgerShardEvents
{
    bool loaded = false; ///< The shard is owned now; `records` is its whole history.
    bool lost = false; ///< Another writer has taken over; nothing waiting will become durable.
    std::vector<LedgerRecord> records; ///< Durable since the last call, in order.
};

/// The log of one shard, written by group commit. It is owned by whoever wrote its last batch: a
/// new owner writes an epoch record behind the last batch it has read, after which the former
/// owner's next write fails. An owner with nothing to write looks at its next slot now and then, so
/// that it learns of a successor. One call is in flight at a time, and all writes are spaced.
class LedgerShard
{
public:
    explicit LedgerShard(const LedgerShardSettings &settings);

    /// Starts reading the log at `start` in order to own it; `tick` sends the first call.
    void acquire(TimePoint start);
    /// Stops; a write in flight may still take effect.
    void release();

    bool isReleased() const { return this->phase == Phase::Released; }
    bool isOwned() const { return this->phase == Phase::Owned; }
    /// True while the store leaves calls unanswered. A single one may be due to a pause of this
    /// process, in which another may have taken over.
    bool isUnanswered() const { return this->caller.failureCount() > 1; }
    /// When the store last confirmed that this instance owns the shard.
    TimePoint confirmedAt() const { return this->confirmed; }

    /// Only while owned. `text` is the encoded record.
    AppendId append(LedgerRecord record, std::string text);
    /// True if the record was still waiting: it will never become durable. False: it may.
    bool withdraw(AppendId id);
    /// Records that are not durable yet.
    std::size_t waitingCount() const { return this->queue.size() + this->inFlight.size(); }

    void storeReply(CallId call, const StoreReply &reply, TimePoint now,
                    std::vector<StoreCall> &out, LedgerShardEvents &events);
    /// Sends what may be sent; call after appending, and at `nextWakeup`.
    void tick(TimePoint now, std::vector<StoreCall> &out, LedgerShardEvents &events);
    /// TimePoint::max() if there is nothing to wait for.
    TimePoint nextWakeup() const;

    bool wantsSnapshot() const;
    /// `records` (texts) are the whole state up to the last durable batch.
    void startSnapshot(std::vector<std::string> records);

    std::uint64_t writeCount() const { return this->caller.writeCount(); }
    std::uint64_t readCount() const { return this->caller.readCount(); }

private:
    static constexpr std::int64_t partsPerList = 32;

    enum class Phase : std::uint8_t { Released, Loading, Owned };
    enum class CallKind : std::uint8_t { Load, Write, ReadSlots, ListParts, RemovePart };
    enum class WriteKind : std::uint8_t { Epoch, Batch, Part, Head };

    struct QueuedRecord
    {
        AppendId id;
        LedgerRecord record;
        std::string text;
    };

    struct Snapshot
    {
        std::uint64_t sequence = 0; ///< Of the last batch covered.
        std::deque<std::vector<std::string>> chunks; ///< Not written yet.
        std::vector<KeyRevision> parts; ///< Written.
        std::vector<KeyRevision> unreferenced; ///< Left by others, found before the first write.
        std::size_t bytes = 0;
        std::size_t coveredLogBytes = 0;
    };

    using WriteHandler = void (LedgerShard::*)(LedgerShardEvents &events);
    struct WriteHandlers
    {
        WriteHandler written;
        WriteHandler conflict;
    };
    static const WriteHandlers writeHandlers[];

    void handleReply(const StoreReply &reply, TimePoint now, LedgerShardEvents &events);
    void loadReply(const StoreReply &reply, TimePoint now);
    void writeReply(const StoreReply &reply, TimePoint now, LedgerShardEvents &events);
    void readSlots(std::uint32_t count, TimePoint now, std::vector<StoreCall> &out);
    void readSlotsReply(const StoreReply &reply, LedgerShardEvents &events);
    void listPartsReply(const StoreReply &reply);

    void epochWritten(LedgerShardEvents &events);
    void epochConflict(LedgerShardEvents &events);
    void batchWritten(LedgerShardEvents &events);
    void partWritten(LedgerShardEvents &events);
    void partConflict(LedgerShardEvents &events);
    void headWritten(LedgerShardEvents &events);
    void headConflict(LedgerShardEvents &events);
    void lose(LedgerShardEvents &events);

    void pump(TimePoint now, std::vector<StoreCall> &out);
    bool chooseWork(TimePoint now, std::vector<StoreCall> &out);
    void startWrite(WriteKind kind, std::string key, std::string value, std::int64_t revision);
    void startBatch();
    void startSnapshotWrite();
    void removePart(TimePoint now, std::vector<StoreCall> &out);
    void issue(CallKind kind, StoreRequest request, TimePoint now, std::vector<StoreCall> &out);
    void restartLoading(TimePoint now);

    bool batchReady() const;
    bool hasRoom() const;
    bool slotKnown() const;
    bool removalsUrgent() const;
    void noteSlot(std::int64_t revision);
    WriterId nextWriter();

    LedgerShardSettings settings;
    LedgerLayout layout;
    StoreCaller caller;
    Phase phase = Phase::Released;
    CallKind callKind = CallKind::Load;
    TimePoint waitUntil{}; ///< Backoff.
    TimePoint nextWrite{}; ///< Spacing.
    TimePoint confirmed{};
    TimePoint nextCheck{}; ///< That the shard is still owned, if nothing is written before.
    std::uint32_t slotsRead = 0; ///< By the last ReadSlots.
    std::uint64_t counter = 0; ///< Of values, for writer ids.

    std::optional<LedgerLoader> loader;
    std::vector<LedgerRecord> loadedRecords; ///< Until the epoch record is durable.

    std::uint64_t nextSequence = 1;
    std::vector<std::optional<std::int64_t>> slotRevisions; ///< As `nextSequence` will find them.
    std::size_t logBytes = 0; ///< Since the snapshot.

    std::uint64_t nextAppend = 1;
    std::deque<QueuedRecord> queue;
    std::vector<QueuedRecord> inFlight;
    std::optional<StoreWrite> write;
    WriteKind writeKind = WriteKind::Batch;
    bool maintenanceLast = false; ///< The last write was not a batch.

    std::optional<Snapshot> snapshot;
    std::uint64_t headSequence = 0;
    std::int64_t headRevision = 0;
    std::size_t headBytes = 0; ///< Of the whole snapshot.
    std::vector<KeyRevision> parts; ///< Of the head.
    std::deque<KeyRevision> removals;
    std::string partsCursor; ///< Where to go on looking for unreferenced parts.
    bool partsListed = false; ///< All of them were looked at.
};

} // namespace Hibiscus
