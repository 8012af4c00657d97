#pragma once

#include <Gateway/Store.h>
#include <Wire/PeerMessage.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Hibiscus {

/// Store calls and peer messages that a keeper requests. Each call of the keeper appends to them.
struct KeeperActions
{
    std::vector<StoreCall> storeCalls;
    std::vector<PeerSend> sends;
};

struct JobKeeperSettings
{
    std::string instance; ///< Name of this instance.
    std::uint64_t incarnation = 0; ///< Unique to this run of this instance's process.
    std::string prefix = "ledger/"; ///< Prefix of the ledger's keys in the store.
    std::uint32_t shards = 4; ///< Number of shards; has to be the same in every instance.
    Duration commitSpacing = milliseconds(45); ///< Minimum time between two writes of one shard.
    Duration storeTimeout = seconds(2); ///< Store calls without a reply time out after it.
    std::size_t maxBatchBytes
        = std::size_t(256) * 1024; ///< Maximum size of one value in the store.
    std::uint32_t batchesPerSnapshot = 64; ///< Minimum number of batches between two snapshots.
    /// Number of slots in each shard's log. A slot is overwritten once a snapshot covers its batch.
    /// Has to be at least twice batchesPerSnapshot, and has to stay the same while the ledger holds
    /// any data.
    std::uint32_t logSlots = 512;
    std::size_t maxQueuedAppends = 4096; ///< Submissions beyond it are refused with NotRun.
    Duration finishedRetention = std::chrono::hours(24); ///< How long final answers are kept.
};

/// Manages the durable jobs of the ledger shards that this instance owns. Records the claim of each
/// job, submits the job to its data centre's dispatcher, records each assignment before the job
/// starts and the final answer before it is sent. The instance that made the last write in the
/// store's order owns a shard. The next write of a former owner fails, so ownership depends neither
/// on clocks nor on the membership list.
class JobKeeper
{
public:
    explicit JobKeeper(const JobKeeperSettings &settings);
    ~JobKeeper();
    JobKeeper(JobKeeper &&) noexcept;
    JobKeeper &operator=(JobKeeper &&) noexcept;

    /// Returns the shard of a job key. Every instance computes the same shard.
    static std::uint32_t shardOf(std::string_view key, std::uint32_t shards);

    /// Sets the shards that this instance should own according to the membership.
    void setOwnedShards(std::span<const std::uint32_t> shards, TimePoint now, KeeperActions &out);
    /// Sets the dispatcher of a data centre. If its name or incarnation has changed, every
    /// unfinished job of the data centre is submitted again with its recorded places.
    void setDispatcher(const std::string &dataCenter, const std::string &instance,
                       std::uint64_t incarnation, TimePoint now, KeeperActions &out);

    /// Handles a submission from the entry of instance `from`. The keeper answers with JobUpdate
    /// messages: Accepted once the claim is durable, later the final answer. The job should run
    /// in `dataCenter`.
    void submit(const std::string &from, const SubmitJob &message, const std::string &dataCenter,
                TimePoint now, KeeperActions &out);
    void cancel(const std::string &from, const CancelJob &message, TimePoint now,
                KeeperActions &out);
    void query(const std::string &from, const QueryJob &message, TimePoint now, KeeperActions &out);
    /// Handles the request of dispatcher `from` to record or to give up an assignment.
    void assign(const std::string &from, const AssignJob &message, TimePoint now,
                KeeperActions &out);
    void update(const std::string &from, const JobUpdate &message, TimePoint now,
                KeeperActions &out);

    void storeReply(CallId call, const StoreReply &reply, TimePoint now, KeeperActions &out);
    /// Runs timeouts and retries. Has to be called at `nextWakeup` or soon after.
    void tick(TimePoint now, KeeperActions &out);
    TimePoint nextWakeup() const;

    /// Returns true if the shard's log is loaded and former owners are fenced off.
    bool owns(std::uint32_t shard) const;

    struct Gauges
    {
        std::uint64_t storeWrites = 0;
        std::uint64_t storeReads = 0;
        std::size_t unfinishedJobs = 0;
        std::size_t finishedJobs = 0;
        std::size_t waitingAppends = 0;
    };
    Gauges gauges() const;

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
