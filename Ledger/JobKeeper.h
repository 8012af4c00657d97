#pragma once

#include <Gateway/Store.h>
#include <Wire/PeerMessage.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Hibiscus {

/// What a keeper wants done, appended by each call.
struct KeeperActions
{
    std::vector<StoreCall> storeCalls;
    std::vector<PeerSend> sends;
};

struct JobKeeperSettings
{
    std::string instance; ///< Own name.
    std::uint64_t incarnation = 0; ///< Own, unique to this run of the process.
    std::string prefix = "ledger/"; ///< Of the keys in the store.
    std::uint32_t shards = 4; ///< The same in every instance.
    Duration commitSpacing = milliseconds(45); ///< Between two writes of one shard.
    Duration storeTimeout = seconds(2); ///< A call without a reply counts as NoAnswer after it.
    std::size_t maxBatchBytes = std::size_t(256) * 1024; ///< Bytes of one value.
    std::uint32_t batchesPerSnapshot = 64;
    /// Of each shard's log; a slot is written again once a snapshot covers it. At least twice
    /// batchesPerSnapshot, and never changed while the ledger holds anything.
    std::uint32_t logSlots = 512;
    std::size_t maxQueuedAppends = 4096; ///< Beyond it, submissions are refused "not run".
    Duration finishedRetention = std::chrono::hours(24); ///< Answers stay known for so long.
};

/// Keeps the durable jobs of the ledger shards that this instance owns: records the claim, hands
/// the job to its data centre's dispatcher, records each assignment before it starts and the end
/// before it is answered. Whoever writes last in the store's order owns a shard; a former owner's
/// next write fails, so no clock and no list decides.
class JobKeeper
{
public:
    explicit JobKeeper(const JobKeeperSettings &settings);
    ~JobKeeper();
    JobKeeper(JobKeeper &&) noexcept;
    JobKeeper &operator=(JobKeeper &&) noexcept;

    /// Shard of a job key, the same in every instance.
    static std::uint32_t shardOf(std::string_view key, std::uint32_t shards);

    /// The shards that this instance should own now, by the membership's view.
    void setOwnedShards(std::span<const std::uint32_t> shards, TimePoint now, KeeperActions &out);
    /// The dispatcher that new work of a data centre goes to. A change of name or incarnation
    /// means that every unfinished job is handed over again, with its recorded places.
    void setDispatcher(const std::string &dataCenter, const std::string &instance,
                       std::uint64_t incarnation, TimePoint now, KeeperActions &out);

    /// From the entry part of `from`. Answers come as JobUpdate: Accepted once the claim is
    /// durable, then the final one. `dataCenter` is where the job should run.
    void submit(const std::string &from, const SubmitJob &message, const std::string &dataCenter,
                TimePoint now, KeeperActions &out);
    void cancel(const std::string &from, const CancelJob &message, TimePoint now,
                KeeperActions &out);
    void query(const std::string &from, const QueryJob &message, TimePoint now, KeeperActions &out);
    /// From a dispatcher.
    void assign(const std::string &from, const AssignJob &message, TimePoint now,
                KeeperActions &out);
    void update(const std::string &from, const JobUpdate &message, TimePoint now,
                KeeperActions &out);

    void storeReply(CallId call, const StoreReply &reply, TimePoint now, KeeperActions &out);
    /// Call at `nextWakeup` or later.
    void tick(TimePoint now, KeeperActions &out);
    TimePoint nextWakeup() const;

    /// True if the shard's log is loaded and this instance has fenced former owners.
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
