#pragma once

#include <Ledger/JobKeeper.h>
#include <Ledger/LedgerJobTable.h>
#include <Ledger/LedgerShard.h>
#include <Ledger/RefusedKeys.h>

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Hibiscus {

/// A message to the keeper of the shard that a job key belongs to.
struct KeeperRequest
{
    std::string from; ///< The instance that sent it.
    std::variant<SubmitJob, CancelJob, QueryJob, AssignJob, JobUpdate> message;
    std::string dataCenter; ///< Where the job is to run; set only with SubmitJob.
};

/// The dispatcher of each data centre.
using Dispatchers = std::map<std::string, DispatcherId>;

/// Manages the jobs of one shard: decides what is recorded, and notifies others once it is durable.
class ShardKeeper
{
public:
    /// `dispatchers` has to outlive the keeper.
    ShardKeeper(const JobKeeperSettings &settings, std::uint32_t shard,
                const Dispatchers &dispatchers);

    /// Sets whether this instance should own the shard.
    void setWanted(bool wanted, TimePoint now, KeeperActions &out);
    /// Has to be called after the dispatcher of a data centre has changed.
    void dispatcherChanged(const std::string &dataCenter, TimePoint now, KeeperActions &out);
    void handle(const KeeperRequest &request, TimePoint now, KeeperActions &out);
    void storeReply(CallId call, const StoreReply &reply, TimePoint now, KeeperActions &out);
    void tick(TimePoint now, KeeperActions &out);
    TimePoint nextWakeup() const;

    bool isOwned() const { return this->shard.isOwned(); }
    void addTo(JobKeeper::Gauges &gauges) const;

private:
    void submit(const KeeperRequest &request, const SubmitJob &message, TimePoint now,
                KeeperActions &out);
    void cancel(const KeeperRequest &request, const CancelJob &message, TimePoint now,
                KeeperActions &out);
    static void sendState(const std::string &to, CallId call, const std::string &key,
                          const LedgerJob *job, KeeperActions &out);
    void query(const KeeperRequest &request, const QueryJob &message, KeeperActions &out);
    void assign(const KeeperRequest &request, const AssignJob &message, TimePoint now,
                KeeperActions &out);
    void update(const KeeperRequest &request, const JobUpdate &message, TimePoint now,
                KeeperActions &out);
    void handleProgress(LedgerJob &job, const std::string &key, const JobUpdate &message,
                        TimePoint now, KeeperActions &out);

    void claim(const KeeperRequest &request, const SubmitJob &message, const std::string &key,
               std::uint64_t digest, TimePoint now, KeeperActions &out);
    void refuseClaim(const JobRequester &requester, const std::string &key,
                     const std::string &reason, std::optional<Duration> retryAfter, TimePoint now,
                     KeeperActions &out);
    void finish(LedgerJob &job, const std::string &key, const JobAnswer &answer);

    void advanceShard(TimePoint now, KeeperActions &out);
    void handleEvents(LedgerShardEvents &events, TimePoint now, KeeperActions &out);
    void handleLoaded(const std::vector<LedgerRecord> &records, TimePoint now, KeeperActions &out);
    void dropShard(KeeperActions &out);
    void sendNotOwner(const KeeperRequest &request, KeeperActions &out);

    void handleRecorded(const LedgerRecord &record, TimePoint now, KeeperActions &out);
    void claimRecorded(LedgerJob &job, const std::string &key, TimePoint now, KeeperActions &out);
    void assignRecorded(LedgerJob &job, const std::string &key, TimePoint now, KeeperActions &out);
    void finishRecorded(LedgerJob &job, const std::string &key, KeeperActions &out);

    void dispatch(LedgerJob &job, const std::string &key, TimePoint now, KeeperActions &out);
    void dispatchDue(TimePoint now, KeeperActions &out);
    void expireClaims(TimePoint now, KeeperActions &out);
    void schedule(LedgerJob &job, const std::string &key, TimePoint at);
    void unschedule(LedgerJob &job, const std::string &key);
    const DispatcherId *dispatcherOf(const LedgerJob &job) const;
    bool hasRoom() const;
    CallId nextCall();

    JobKeeperSettings settings;
    const Dispatchers &dispatchers;
    LedgerShard shard;
    LedgerJobTable table;
    bool wanted = false;
    std::uint32_t losses = 0; ///< Consecutive losses of the shard to another owner.
    TimePoint ownedSince{};
    std::minstd_rand random;
    std::uint64_t callCounter;
    RefusedKeys refusedKeys;
    std::vector<KeeperRequest> deferred; ///< Requests held until the shard is loaded.
    std::set<std::pair<TimePoint, std::string>>
        due; ///< Jobs to submit to their dispatchers, by time.
    TimePoint nextSubmitStep{}; ///< Earliest time to submit further jobs of `due`.
    std::set<std::pair<TimePoint, std::string>> claimDeadlines;
};

} // namespace Hibiscus
