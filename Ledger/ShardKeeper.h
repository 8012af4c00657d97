#pragma once

#include <Ledger/JobKeeper.h>
#include <Ledger/KeptJobTable.h>
#include <Ledger/LedgerShard.h>
#include <Ledger/RefusedCalls.h>

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Hibiscus {

/// A message to the keeper of a key's shard.
struct KeeperRequest
{
    std::string from; ///< The instance that sent it.
    std::variant<SubmitJob, CancelJob, QueryJob, AssignJob, JobUpdate> message;
    std::string dataCenter; ///< Where a submitted job is to run.
};

/// The dispatcher of each data centre.
using Dispatchers = std::map<std::string, DispatcherId>;

/// Keeps the jobs of one shard: decides what is recorded, and tells others once it is durable.
class ShardKeeper
{
public:
    /// `dispatchers` outlives the keeper.
    ShardKeeper(const JobKeeperSettings &settings, std::uint32_t shard,
                const Dispatchers &dispatchers);

    /// Whether this instance should own the shard.
    void setWanted(bool wanted, TimePoint now, KeeperActions &out);
    /// The entry of a data centre in the dispatchers has changed.
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
    static void tell(const std::string &to, CallId call, const std::string &key, const KeptJob *job,
                     KeeperActions &out);
    void query(const KeeperRequest &request, const QueryJob &message, KeeperActions &out);
    void assign(const KeeperRequest &request, const AssignJob &message, TimePoint now,
                KeeperActions &out);
    void update(const KeeperRequest &request, const JobUpdate &message, TimePoint now,
                KeeperActions &out);
    void progress(KeptJob &job, const std::string &key, const JobUpdate &message, TimePoint now,
                  KeeperActions &out);

    void claim(const KeeperRequest &request, const SubmitJob &message, const std::string &key,
               std::uint64_t digest, TimePoint now, KeeperActions &out);
    void refuseClaim(const JobRequester &requester, const std::string &key,
                     const std::string &reason, std::optional<Duration> retryAfter,
                     KeeperActions &out);
    void finish(KeptJob &job, const std::string &key, const JobAnswer &answer);

    void settle(TimePoint now, KeeperActions &out);
    void process(LedgerShardEvents &events, TimePoint now, KeeperActions &out);
    void loaded(const std::vector<LedgerRecord> &records, TimePoint now, KeeperActions &out);
    void abandon(KeeperActions &out);
    void refuse(const KeeperRequest &request, KeeperActions &out);

    void recorded(const LedgerRecord &record, TimePoint now, KeeperActions &out);
    void claimRecorded(KeptJob &job, const std::string &key, TimePoint now, KeeperActions &out);
    void assignRecorded(KeptJob &job, const std::string &key, TimePoint now, KeeperActions &out);
    void finishRecorded(KeptJob &job, const std::string &key, KeeperActions &out);

    void dispatch(KeptJob &job, const std::string &key, TimePoint now, KeeperActions &out);
    void dispatchDue(TimePoint now, KeeperActions &out);
    void settleOverdueClaims(TimePoint now, KeeperActions &out);
    void schedule(KeptJob &job, const std::string &key, TimePoint at);
    void unschedule(KeptJob &job, const std::string &key);
    const DispatcherId *dispatcherOf(const KeptJob &job) const;
    bool hasRoom() const;
    CallId nextCall();

    JobKeeperSettings settings;
    const Dispatchers &dispatchers;
    LedgerShard shard;
    KeptJobTable table;
    bool wanted = false;
    std::uint32_t losses = 0; ///< In a row, to another owner.
    TimePoint ownedSince{};
    std::minstd_rand random;
    std::uint64_t callCounter;
    RefusedCalls refusedCalls;
    std::vector<KeeperRequest> deferred; ///< Until the shard is loaded.
    std::set<std::pair<TimePoint, std::string>> due; ///< Jobs to submit to their dispatchers.
    TimePoint nextHandover{}; ///< Paces `due`.
    std::deque<std::pair<TimePoint, std::string>> claimDeadlines;
};

} // namespace Hibiscus
