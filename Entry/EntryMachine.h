#pragma once

#include <Config/ConfigReplica.h>
#include <Config/RequestJson.h>
#include <Entry/CallerFrontend.h>
#include <Entry/Dispatcher.h>
#include <Entry/EntryActions.h>
#include <Entry/Membership.h>
#include <Gateway/LiveList.h>
#include <Ledger/JobKeeper.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Hibiscus {

/// A whole entry instance as a deterministic state machine that turns events and the current time
/// into actions. Adapters execute the actions on sockets; tests drive the machine directly.
class EntryMachine
{
public:
    struct Settings
    {
        std::string instance;
        std::string dataCenter;
        std::uint64_t incarnation = 0; ///< Unique to each run of the process.
        Duration heartbeatInterval = milliseconds(500);
        /// Minimum time between two requests for configuration.
        Duration configPullInterval = milliseconds(250);
        /// Time from the start of a drain until roles move, in which peers learn of the drain.
        Duration drainNotice = seconds(1);
        Membership::Settings membership;
        CallerFrontend::Settings frontend;
        ConfigReplicaSettings config;
        JobKeeperSettings keeper;
        Dispatcher::Settings dispatcher;
    };

    using SchedulerFactory = std::function<std::unique_ptr<Scheduler>()>;

    EntryMachine(const Settings &settings, SchedulerFactory makeScheduler, TimePoint now);

    // Calls of callers and operators. Each call is answered exactly once under its id.
    void submit(CallId call, SubmitBody body, TimePoint now, EntryActions &out);
    void poll(CallId call, const std::string &customer, const std::string &requestId, Duration wait,
              TimePoint now, EntryActions &out);
    void cancel(CallId call, const std::string &customer, const std::string &requestId,
                TimePoint now, EntryActions &out);
    void change(CallId call, const ConfigChange &change, TimePoint now, EntryActions &out);
    /// Starts a graceful stop: refuses new calls, hands over the roles, and answers the held calls.
    void drain(TimePoint now, EntryActions &out);

    // Events from the platform, workers and peers.
    void handleStoreReply(CallId call, const StoreReply &reply, TimePoint now, EntryActions &out);
    void handleWatchBatch(const StoreWatchBatch &batch, TimePoint now, EntryActions &out);
    void handleWatchBroken(TimePoint now, EntryActions &out);
    void handleWorkerReply(CallId call, const WorkerReply &reply, TimePoint now, EntryActions &out);
    void handlePeerMessage(const std::string &from, const PeerMessage &message, TimePoint now,
                           EntryActions &out);
    void setLiveList(LiveList list, TimePoint now, EntryActions &out);
    /// Advances all timers. Call it every few tens of milliseconds.
    void tick(TimePoint now, EntryActions &out);

    /// True if new calls are accepted: a configuration and the live list are known, and the
    /// instance is not draining.
    bool isReady() const;
    bool isDraining() const { return this->draining; }
    /// True if a drain is complete: no requests are open and no roles are held, so the process may
    /// end.
    bool isDrained(TimePoint now) const;

    const Configuration &configuration() const { return this->config.current(); }
    const LiveList &liveList() const { return this->membership.liveList(); }

    struct DispatcherStatus
    {
        std::string dataCenter;
        SchedulerGauges gauges;
        std::size_t ownedWorkers = 0;
        std::size_t knownWorkers = 0;
        std::size_t jobs = 0;
        std::vector<std::pair<std::string, CellCounts>> shortfalls;
    };
    struct Status
    {
        std::string instance;
        std::string dataCenter;
        bool ready = false;
        bool draining = false;
        std::uint64_t configRevision = 0;
        std::string preset;
        std::vector<DispatcherStatus> dispatchers;
        std::vector<std::uint32_t> shards;
        JobKeeper::Gauges keeper;
        std::size_t heldCalls = 0;
        std::vector<std::string> livePeers;
    };
    Status status(TimePoint now) const;
    const CallMetrics &callMetrics() const { return this->frontend.metrics(); }

private:
    struct DispatcherSlot
    {
        std::uint64_t number = 0; ///< High bits of the ids of the dispatcher's worker calls.
        std::unique_ptr<Dispatcher> dispatcher;
    };

    void deliver(const std::string &from, const PeerMessage &message, TimePoint now,
                 EntryActions &out);
    void deliverSubmit(const std::string &from, const SubmitJob &message, TimePoint now,
                       EntryActions &out);
    void deliverAdmit(const std::string &from, const AdmitJob &message, TimePoint now,
                      EntryActions &out);
    void deliverCancel(const std::string &from, const CancelJob &message, TimePoint now,
                       EntryActions &out);
    void deliverQuery(const std::string &from, const QueryJob &message, TimePoint now,
                      EntryActions &out);
    void deliverUpdate(const std::string &from, const JobUpdate &message, TimePoint now,
                       EntryActions &out);
    void handleHeartbeat(const Heartbeat &heartbeat, TimePoint now, EntryActions &out);
    /// Delivers the messages that are addressed to this instance until none is left.
    void deliverLocalSends(TimePoint now, EntryActions &out);
    void sendNotOwner(const std::string &to, JobRole role, const std::string &key,
                      EntryActions &out);
    /// Returns this instance's dispatcher that holds the job, or else the one for the data centre
    /// of `from`.
    Dispatcher *dispatcherFor(const std::string &from, const std::string &key);

    void updateRoles(TimePoint now, EntryActions &out);
    void updateDispatchers(TimePoint now, EntryActions &out);
    void updateShards(TimePoint now, EntryActions &out);
    void startDispatcher(const std::string &dataCenter, TimePoint now, EntryActions &out);
    void sendHeartbeats(TimePoint now, EntryActions &out);
    void applyActions(ConfigActions &&actions, TimePoint now, EntryActions &out);
    void applyActions(KeeperActions &&actions, EntryActions &out);
    void handleConfigurationChange(TimePoint now, EntryActions &out);
    void handleFleetChange(TimePoint now, EntryActions &out);
    std::vector<DataCenterCells> countCells() const;

    Settings settings;
    SchedulerFactory makeScheduler;
    Membership membership;
    CallerFrontend frontend;
    ConfigReplica config;
    JobKeeper keeper;
    std::map<std::string, DispatcherSlot> dispatchers; ///< Keyed by data centre.
    std::uint64_t nextDispatcherNumber = 1;
    std::vector<std::uint32_t> shards; ///< Ledger shards assigned to this instance.
    std::vector<std::string> keeperNames; ///< Indexed by shard; empty if no instance is live.
    bool liveListKnown = false;
    bool draining = false;
    TimePoint drainingSince{};
    TimePoint heartbeatAt{};
    TimePoint pullAt{};
};

} // namespace Hibiscus
