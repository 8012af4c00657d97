#include <Hibiscusd/EntryProcess.h>

#include <Config/ConfigurationJson.h>
#include <Hibiscusd/Log.h>
#include <Policy/CellScheduler.h>
#include <Wire/PeerLink.h>

#include <caf/all.hpp>
#include <map>
#include <random>

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::MachineEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::StoreCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::WorkerCall)

namespace Hibiscus {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

constexpr Duration tickInterval = milliseconds(25);
constexpr std::size_t storeClientCount = 4;
/// Timeout of a worker call, which has to fail before the owner lease may expire.
constexpr Duration workerTimeout = milliseconds(1500);

EntryMachine::Settings machineSettings(const InstanceSettings &settings)
{
    std::random_device entropy;
    EntryMachine::Settings machine;
    machine.instance = settings.instance;
    machine.dataCenter = settings.dataCenter;
    machine.incarnation = (std::uint64_t(entropy()) << 32) | entropy();
    machine.membership.instance = settings.instance;
    machine.membership.dataCenter = settings.dataCenter;
    machine.membership.incarnation = machine.incarnation;
    machine.frontend.instance = settings.instance;
    machine.frontend.dataCenter = settings.dataCenter;
    machine.frontend.shards = settings.ledger.shards;
    machine.frontend.maxWaitingCalls = settings.limits.waitingCallers;
    machine.config.seed = machine.incarnation;
    machine.config.storeTimeout = settings.store.timeout;
    machine.keeper.instance = settings.instance;
    machine.keeper.incarnation = machine.incarnation;
    machine.keeper.shards = settings.ledger.shards;
    machine.keeper.commitSpacing = settings.ledger.commitSpacing;
    machine.keeper.storeTimeout = settings.store.timeout;
    machine.dispatcher.session.ownerTerm = settings.leases.owner;
    machine.dispatcher.session.taskTerm = settings.leases.task;
    machine.dispatcher.session.renewInterval = settings.leases.renew;
    return machine;
}

/// State of the actor: the entry machine and the receivers of its actions.
class EntryState
{
public:
    EntryState(caf::event_based_actor *self, const InstanceSettings &settings,
               const std::string &clusterKey, EntrySharedState &shared);

    void apply(const MachineEvent &event);
    void tick();
    void stop();

private:
    void performActions(EntryActions &&actions);
    void callWorker(WorkerCall &&call);
    caf::actor workerClient(std::map<std::string, caf::actor> &clients, const std::string &worker);
    void applyLiveList();
    void post(std::function<void(EntryMachine &, TimePoint, EntryActions &)> apply);

    caf::event_based_actor *self;
    InstanceSettings settings;
    EntrySharedState &shared;
    EntryMachine machine;
    std::vector<caf::actor> storeClients;
    std::size_t nextStoreClient = 0;
    caf::actor liveListClient;
    std::unique_ptr<StoreWatch> watch;
    caf::actor link;
    std::map<std::string, WorkerDescription> workers;
    std::map<std::string, caf::actor> commandClients; ///< Keyed by worker.
    std::map<std::string, caf::actor> collectClients; ///< Clients for long polls, keyed by worker.
    std::vector<PeerAddress> peers;
};

EntryState::EntryState(caf::event_based_actor *self, const InstanceSettings &settings,
                       const std::string &clusterKey, EntrySharedState &shared)
    : self(self)
    , settings(settings)
    , shared(shared)
    , machine(
          machineSettings(settings),
          [] { return std::make_unique<CellScheduler>(CellScheduler::Settings{}); },
          EntryProcess::currentTime())
{
    const caf::actor own = caf::actor_cast<caf::actor>(self);
    caf::actor_system &system = self->system();
    const auto event = [own](auto apply) { caf::anon_send(own, MachineEvent{std::move(apply)}); };
    const StoreClient::Settings store{settings.store.address.host, settings.store.address.port,
                                      settings.store.timeout};
    const auto stored = [event](CallId call, const StoreReply &reply) {
        event([=](EntryMachine &machine, TimePoint now, EntryActions &out) {
            machine.handleStoreReply(call, reply, now, out);
        });
    };
    for (std::size_t i = 0; i < storeClientCount; ++i)
        this->storeClients.push_back(startStoreClient(system, store, stored));
    StoreWatch::Handlers watching;
    watching.changed = [event](const StoreWatchBatch &batch) {
        event([=](EntryMachine &machine, TimePoint now, EntryActions &out) {
            machine.handleWatchBatch(batch, now, out);
        });
    };
    watching.broken = [event] {
        event([](EntryMachine &machine, TimePoint now, EntryActions &out) {
            machine.handleWatchBroken(now, out);
        });
    };
    this->watch = std::make_unique<StoreWatch>(store, ConfigReplicaSettings{}.prefix, watching);
    const auto listed = [event, repeated = std::make_shared<RepeatedFindings>()](
                            const tl::expected<LiveList, Findings> &list) {
        for (const Finding &finding : repeated->takeNew(list ? list->leftOut : list.error()))
            writeLog(LogLevel::Warn, "platform",
                     "The live list has a fault at " + finding.location + ": " + finding.message
                         + ".");
        if (!list)
            return writeLog(LogLevel::Warn, "platform",
                            "The live list could not be read; the last one stays in use.");
        event([=](EntryMachine &machine, TimePoint now, EntryActions &out) {
            machine.setLiveList(*list, now, out);
        });
    };
    this->liveListClient = startLiveListClient(
        system, {settings.liveList.address.host, settings.liveList.address.port},
        settings.liveList.interval, listed);
    PeerLinkSettings peers;
    peers.instance = settings.instance;
    peers.host = settings.peers.address.host;
    peers.port = settings.peers.address.port;
    peers.clusterKey = clusterKey;
    PeerLinkHandlers handlers;
    handlers.listening = [](std::uint16_t) {};
    handlers.received = [event](const std::string &from, const PeerMessage &message) {
        event([=](EntryMachine &machine, TimePoint now, EntryActions &out) {
            machine.handlePeerMessage(from, message, now, out);
        });
    };
    handlers.log = [](const std::string &text) { writeLog(LogLevel::Info, "peers", text); };
    this->link = startPeerLink(system, peers, std::move(handlers));
    shared.authenticator.setKeys({}, settings.operatorKeys);
}

void EntryState::apply(const MachineEvent &event)
{
    EntryActions actions;
    event.apply(this->machine, EntryProcess::currentTime(), actions);
    this->performActions(std::move(actions));
}

void EntryState::tick()
{
    EntryActions actions;
    const TimePoint now = EntryProcess::currentTime();
    this->machine.tick(now, actions);
    this->performActions(std::move(actions));
    this->shared.ready = this->machine.isReady();
    this->shared.drained = this->machine.isDrained(now);
}

void EntryState::performActions(EntryActions &&actions)
{
    this->applyLiveList();
    for (const LogLine &line : actions.logs)
        writeLog(line.level, line.component, line.text, line.key);
    for (StoreCall &call : actions.storeCalls) {
        const caf::actor &client = this->storeClients[this->nextStoreClient++ % storeClientCount];
        this->self->send(client, std::move(call));
    }
    for (WorkerCall &call : actions.workerCalls)
        this->callWorker(std::move(call));
    for (PeerSend &send : actions.sends)
        sendToPeer(this->self->system(), this->link, std::move(send));
    for (CallerAnswer &answer : actions.callerAnswers) {
        const CallId call = answer.call;
        this->shared.callers.answer(call, std::move(answer));
    }
    for (ConfigActions::Answer &answer : actions.changeAnswers)
        this->shared.changes.answer(answer.call, std::move(answer.reply));
    if (actions.watchFrom)
        this->watch->open(*actions.watchFrom);
    if (actions.configurationChanged)
        this->shared.authenticator.setKeys(this->machine.configuration(),
                                           this->settings.operatorKeys);
}

void EntryState::callWorker(WorkerCall &&call)
{
    const bool collects = call.request.verb == WorkerVerb::Collect;
    auto &clients = collects ? this->collectClients : this->commandClients;
    if (const caf::actor client = this->workerClient(clients, call.worker))
        this->self->send(client, std::move(call));
}

caf::actor EntryState::workerClient(std::map<std::string, caf::actor> &clients,
                                    const std::string &worker)
{
    const auto known = clients.find(worker);
    if (known != clients.end())
        return known->second;
    const auto description = this->workers.find(worker);
    if (description == this->workers.end())
        return {};
    const caf::actor own = caf::actor_cast<caf::actor>(this->self);
    const auto replied = [own](CallId call, const WorkerReply &reply) {
        caf::anon_send(own,
                       MachineEvent{[=](EntryMachine &machine, TimePoint now, EntryActions &out) {
                           machine.handleWorkerReply(call, reply, now, out);
                       }});
    };
    const WorkerClient::Settings clientSettings{description->second.host, description->second.port,
                                                workerTimeout};
    caf::actor client = startWorkerClient(this->self->system(), clientSettings, replied);
    clients.emplace(worker, client);
    return client;
}

void EntryState::applyLiveList()
{
    const LiveList &list = this->machine.liveList();
    std::map<std::string, WorkerDescription> listed;
    for (const WorkerDescription &worker : list.workers)
        listed.emplace(worker.name, worker);
    const auto moved = [&](const std::string &name) {
        const auto before = this->workers.find(name);
        const auto after = listed.find(name);
        return before == this->workers.end() || after == listed.end()
            || before->second.host != after->second.host
            || before->second.port != after->second.port;
    };
    for (auto *clients : {&this->commandClients, &this->collectClients}) {
        std::erase_if(*clients, [&](auto &entry) {
            if (!moved(entry.first))
                return false;
            this->self->send_exit(entry.second, caf::exit_reason::user_shutdown);
            return true;
        });
    }
    this->workers = std::move(listed);
    std::vector<PeerAddress> addresses;
    for (const InstanceDescription &instance : list.instances) {
        if (instance.name != this->settings.instance)
            addresses.push_back({instance.name, instance.host, instance.port});
    }
    if (addresses == this->peers)
        return;
    this->peers = addresses;
    setPeers(this->self->system(), this->link, std::move(addresses));
}

void EntryState::stop()
{
    this->watch.reset();
    stopPeerLink(this->self->system(), this->link);
    std::vector<caf::actor> clients = this->storeClients;
    clients.push_back(this->liveListClient);
    for (const auto *named : {&this->commandClients, &this->collectClients}) {
        for (const auto &[worker, client] : *named)
            clients.push_back(client);
    }
    for (const caf::actor &client : clients)
        this->self->send_exit(client, caf::exit_reason::user_shutdown);
    this->self->quit();
}

caf::behavior entryActor(caf::event_based_actor *self, const InstanceSettings &settings,
                         const std::string &clusterKey, EntrySharedState *shared)
{
    const auto state = std::make_shared<EntryState>(self, settings, clusterKey, *shared);
    self->delayed_send(self, tickInterval, TickAtom::value);
    return {
        [state](const MachineEvent &event) { state->apply(event); },
        [state, self](TickAtom) {
            state->tick();
            self->delayed_send(self, tickInterval, TickAtom::value);
        },
        [state](StopAtom) { state->stop(); },
    };
}

} // namespace

EntryProcess::EntryProcess(caf::actor_system &system, const InstanceSettings &settings,
                           std::string clusterKey, EntrySharedState &shared)
    : system(system)
    , actor(system.spawn<caf::detached>(entryActor, settings, std::move(clusterKey), &shared))
{}

void EntryProcess::post(MachineEvent event)
{
    caf::anon_send(this->actor, std::move(event));
}

void EntryProcess::stop()
{
    caf::anon_send(this->actor, StopAtom::value);
    caf::scoped_actor self(this->system);
    self->wait_for(this->actor);
}

TimePoint EntryProcess::currentTime()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

} // namespace Hibiscus
