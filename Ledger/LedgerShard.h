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

/// Identifies an append to one shard. Valid while this instance owns the shard.
using AppendId = Id<struct AppendTag, std::uint64_t>;

struct LedgerShardSettings
{
    std::string prefix; ///< Prefix of the shard's keys, ends in '/'.
    std::string instance; ///< Name of this instance.
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 512; ///< Number of log slots; has to be the same in every instance.
    Duration commitSpacing{}; ///< Minimum time between any two writes.
    std::size_t maxBatchBytes = 0; ///< Maximum size of one value.
    std::uint32_t batchesPerSnapshot = 0;
    StoreCaller::Settings caller;
};

/// Changes of a shard's state during one call.
struct LedgerShardEvents
{
    bool loaded = false; ///< The shard is owned now; `records` holds its whole history.
    bool lost
        = false; ///< Another instance has taken over; waiting records will not become durable.
    std::vector<LedgerRecord>
        records; ///< Records that became durable since the last call, in order.
};

/// The log of one shard, written by group commit. The instance that wrote the last batch owns the
/// shard. A new owner writes an epoch record after the last batch it has read, so that the next
/// write of the former owner fails. An owner without writes reads its next slot periodically to
/// detect a successor. One store call is in flight at a time, and writes have a minimum spacing.
class LedgerShard
{
public:
    explicit LedgerShard(const LedgerShardSettings &settings);

    /// Starts to read the log at time `start` in order to own the shard. `tick` makes the first
    /// call.
    void acquire(TimePoint start);
    /// Gives up the shard. A write in flight may still take effect.
    void release();

    bool isReleased() const { return this->phase == Phase::Released; }
    bool isOwned() const { return this->phase == Phase::Owned; }
    /// Returns true while the store does not answer. A single unanswered call is not enough: a
    /// pause of this process may be its cause, and another instance may have taken over meanwhile.
    bool isUnanswered() const { return this->caller.failureCount() > 1; }
    /// Returns when the store last confirmed that this instance owns the shard.
    TimePoint confirmedAt() const { return this->confirmed; }

    /// Queues a record to be written. Allowed only while owned. `text` is the encoded record.
    AppendId append(LedgerRecord record, std::string text);
    /// Withdraws a queued record. Returns true if it was not written yet and will never become
    /// durable; false if it may become durable.
    bool withdraw(AppendId id);
    /// Returns the number of records that are not durable yet.
    std::size_t waitingCount() const { return this->queue.size() + this->inFlight.size(); }

    void storeReply(CallId call, const StoreReply &reply, TimePoint now,
                    std::vector<StoreCall> &out, LedgerShardEvents &events);
    /// Makes the store calls that are due. Call after appending, and at `nextWakeup`.
    void tick(TimePoint now, std::vector<StoreCall> &out, LedgerShardEvents &events);
    /// Returns TimePoint::max() if no wakeup is needed.
    TimePoint nextWakeup() const;

    bool needsSnapshot() const;
    /// Starts a snapshot. `records` are encoded records that hold the whole state as of the last
    /// durable batch.
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
        std::uint64_t sequence = 0; ///< Sequence number of the last batch covered.
        std::deque<std::vector<std::string>>
            chunks; ///< Records of the parts that are not written yet.
        std::vector<KeyRevision> parts; ///< Parts that are written.
        std::vector<KeyRevision> unreferenced; ///< Parts of other writers that no head refers to.
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
    void loseOwnership(LedgerShardEvents &events);

    void issueNextCall(TimePoint now, std::vector<StoreCall> &out);
    bool startNextWork(TimePoint now, std::vector<StoreCall> &out);
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
    void advanceSlot(std::int64_t revision);
    WriterId nextWriter();

    LedgerShardSettings settings;
    LedgerLayout layout;
    StoreCaller caller;
    Phase phase = Phase::Released;
    CallKind callKind = CallKind::Load;
    TimePoint waitUntil{}; ///< End of the backoff.
    TimePoint nextWrite{}; ///< Earliest time of the next write by the commit spacing.
    TimePoint confirmed{};
    TimePoint nextCheck{}; ///< When to check ownership if no write confirms it before.
    std::uint32_t slotsRead = 0; ///< Number of slots read by the last ReadSlots call.
    std::uint64_t counter = 0; ///< Number of values written, for writer ids.

    std::optional<LedgerLoader> loader;
    std::vector<LedgerRecord> loadedRecords; ///< Held until the epoch record is durable.

    std::uint64_t nextSequence = 1;
    std::vector<std::optional<std::int64_t>>
        slotRevisions; ///< Known revisions by slot; empty if unknown.
    std::size_t logBytes = 0; ///< Size of the batches since the snapshot.

    std::uint64_t nextAppend = 1;
    std::deque<QueuedRecord> queue;
    std::vector<QueuedRecord> inFlight;
    std::optional<StoreWrite> write;
    WriteKind writeKind = WriteKind::Batch;
    bool lastWasMaintenance = false; ///< The last write was not a batch.

    std::optional<Snapshot> snapshot;
    std::uint64_t headSequence = 0;
    std::int64_t headRevision = 0;
    std::size_t headBytes = 0; ///< Size of the whole snapshot.
    std::vector<KeyRevision> parts; ///< Parts that the head refers to.
    std::deque<KeyRevision> removals; ///< Parts to remove.
    std::string partsCursor; ///< Next key in the search for unreferenced parts.
    bool partsListed = false; ///< The search for unreferenced parts is complete.
};

} // namespace Hibiscus
