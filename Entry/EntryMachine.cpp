#include <Entry/EntryMachine.h>

#include <algorithm>
#include <cassert>
#include <set>

namespace Hibiscus {

namespace {

constexpr const char *component = "entry";

/// The remainder of a store call's id modulo `storeCallOwners` identifies the component that made
/// the call.
constexpr std::uint64_t storeCallOwners = 2;
constexpr std::uint64_t configOwner = 0;
constexpr std::uint64_t keeperOwner = 1;

/// The bits of a worker call's id from this one upwards are the number of the dispatcher that made
/// the call.
constexpr unsigned dispatcherNumberShift = 40;

template <class... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace

EntryMachine::EntryMachine(const Settings &settings, SchedulerFactory makeScheduler, TimePoint now)
    : settings(settings)
    , makeScheduler(std::move(makeScheduler))
    , membership(settings.membership, now)
    , frontend(settings.frontend)
    , config(settings.config)
    , keeper(settings.keeper)
    , keeperNames(settings.keeper.shards)
    , heartbeatAt(now)
    , pullAt(now)
{}

bool EntryMachine::isReady() const
{
    return this->config.current().revision > 0 && this->liveListKnown && !this->draining;
}

bool EntryMachine::isDrained(TimePoint now) const
{
    return this->draining && now - this->drainingSince >= this->settings.drainNotice
        && this->frontend.openRequests() == 0 && this->dispatchers.empty() && this->shards.empty();
}

void EntryMachine::submit(CallId call, SubmitBody body, TimePoint now, EntryActions &out)
{
    if (!this->isReady()) {
        JobAnswer refusal;
        // An instance that is not ready cannot find out whether an earlier call has run.
        const bool mayHaveRun = body.retry && !body.spec.idempotent;
        refusal.status = mayHaveRun ? JobStatus::Unknown : JobStatus::NotRun;
        refusal.reason = this->draining ? "this instance is draining"
                                        : "this instance has no configuration yet";
        refusal.retryAfter = this->settings.frontend.refusalRetryDelay;
        out.callerAnswers.push_back({call, body.spec.requestId, std::move(refusal)});
        return;
    }
    this->frontend.submit(call, std::move(body), this->membership, now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::poll(CallId call, const std::string &customer, const std::string &requestId,
                        Duration wait, TimePoint now, EntryActions &out)
{
    this->frontend.poll(call, customer, requestId, wait, this->membership, now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::cancel(CallId call, const std::string &customer, const std::string &requestId,
                          TimePoint now, EntryActions &out)
{
    this->frontend.cancel(call, customer, requestId, this->membership, now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::change(CallId call, const ConfigChange &change, TimePoint now, EntryActions &out)
{
    ConfigActions actions;
    this->config.submitChange(call, change, now, actions);
    this->applyActions(std::move(actions), now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::drain(TimePoint now, EntryActions &out)
{
    if (this->draining)
        return;
    this->draining = true;
    this->drainingSince = now;
    out.log(LogLevel::Info, component, "Drain started; new calls are refused.");
    this->membership.setSelf(false, true);
    this->sendHeartbeats(now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::handleStoreReply(CallId call, const StoreReply &reply, TimePoint now,
                                    EntryActions &out)
{
    const CallId own{call.value / storeCallOwners};
    if (call.value % storeCallOwners == configOwner) {
        ConfigActions actions;
        this->config.storeReply(own, reply, now, actions);
        this->applyActions(std::move(actions), now, out);
    } else {
        KeeperActions actions;
        this->keeper.storeReply(own, reply, now, actions);
        this->applyActions(std::move(actions), out);
    }
    this->deliverLocalSends(now, out);
}

void EntryMachine::handleWatchBatch(const StoreWatchBatch &batch, TimePoint now, EntryActions &out)
{
    ConfigActions actions;
    this->config.watchBatch(batch, now, actions);
    this->applyActions(std::move(actions), now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::handleWatchBroken(TimePoint now, EntryActions &out)
{
    ConfigActions actions;
    this->config.watchBroken(now, actions);
    this->applyActions(std::move(actions), now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::handleWorkerReply(CallId call, const WorkerReply &reply, TimePoint now,
                                     EntryActions &out)
{
    for (auto &[dataCenter, slot] : this->dispatchers) {
        if (slot.number != call.value >> dispatcherNumberShift)
            continue;
        slot.dispatcher->handleWorkerReply(call, reply, now, out);
        slot.dispatcher->decide(now, out);
        break;
    }
    this->deliverLocalSends(now, out);
}

void EntryMachine::handlePeerMessage(const std::string &from, const PeerMessage &message,
                                     TimePoint now, EntryActions &out)
{
    this->deliver(from, message, now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::setLiveList(LiveList list, TimePoint now, EntryActions &out)
{
    const bool changed = !this->liveListKnown || !(list == this->membership.liveList());
    this->membership.setLiveList(std::move(list), now);
    this->liveListKnown = true;
    if (changed)
        this->handleFleetChange(now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::handleFleetChange(TimePoint now, EntryActions &out)
{
    this->config.setFleet(this->countCells());
    for (auto &[dataCenter, slot] : this->dispatchers)
        slot.dispatcher->setWorkers(this->membership.liveList().workers, now, out);
}

std::vector<DataCenterCells> EntryMachine::countCells() const
{
    constexpr auto slot = static_cast<std::size_t>(CellLevel::Slot);
    constexpr auto pair = static_cast<std::size_t>(CellLevel::Pair);
    constexpr auto quad = static_cast<std::size_t>(CellLevel::Quad);
    constexpr auto whole = static_cast<std::size_t>(CellLevel::Worker);
    constexpr auto rack = static_cast<std::size_t>(CellLevel::Rack);
    std::map<std::string, DataCenterCells> centers;
    std::map<std::string, std::map<std::uint32_t, std::uint32_t>> workersOfRacks;
    for (const WorkerDescription &worker : this->membership.liveList().workers) {
        DataCenterCells &cells = centers[worker.dataCenter];
        cells.dataCenter = worker.dataCenter;
        cells.total[slot] += worker.slots;
        cells.total[pair] += worker.slots / 2;
        cells.total[quad] += worker.slots / 4;
        cells.total[whole] += 1;
        cells.smallerPerCell[whole]
            = std::max<std::uint32_t>(cells.smallerPerCell[whole], worker.slots / 4);
        ++workersOfRacks[worker.dataCenter][worker.rack];
    }
    std::vector<DataCenterCells> all;
    all.reserve(centers.size());
    for (auto &[name, cells] : centers) {
        std::uint32_t largest = 0;
        for (const auto &[number, workers] : workersOfRacks[name])
            largest = std::max(largest, workers);
        // Only a rack with the largest number of workers counts as a rack cell, as a smaller rack
        // could not replace one.
        for (const auto &[number, workers] : workersOfRacks[name])
            cells.total[rack] += workers == largest ? 1 : 0;
        cells.smallerPerCell[quad] = 2;
        cells.smallerPerCell[pair] = 2;
        cells.smallerPerCell[rack] = largest;
        all.push_back(std::move(cells));
    }
    return all;
}

void EntryMachine::applyActions(ConfigActions &&actions, TimePoint now, EntryActions &out)
{
    for (StoreCall &call : actions.storeCalls) {
        call.call.value = call.call.value * storeCallOwners + configOwner;
        out.storeCalls.push_back(std::move(call));
    }
    for (ConfigActions::Answer &answer : actions.answers)
        out.changeAnswers.push_back(std::move(answer));
    if (actions.watchFrom)
        out.watchFrom = actions.watchFrom;
    if (actions.changed)
        this->handleConfigurationChange(now, out);
}

void EntryMachine::applyActions(KeeperActions &&actions, EntryActions &out)
{
    for (StoreCall &call : actions.storeCalls) {
        call.call.value = call.call.value * storeCallOwners + keeperOwner;
        out.storeCalls.push_back(std::move(call));
    }
    for (PeerSend &send : actions.sends)
        out.sends.push_back(std::move(send));
}

void EntryMachine::handleConfigurationChange(TimePoint now, EntryActions &out)
{
    const Configuration &configuration = this->config.current();
    out.configurationChanged = true;
    out.log(LogLevel::Info, component,
            "Configuration " + std::to_string(configuration.revision) + " is in force, preset "
                + configuration.presetInForce + ".");
    this->frontend.setConfiguration(configuration);
    for (auto &[dataCenter, slot] : this->dispatchers)
        slot.dispatcher->setConfiguration(configuration, now);
    // The configuration is pushed at once to instances of the same data centre; those of other data
    // centres request it when a heartbeat announces a higher revision.
    for (const auto &[name, heartbeat] : this->membership.heartbeats()) {
        const bool isNeighbour = heartbeat.dataCenter == this->settings.dataCenter;
        if (!isNeighbour || heartbeat.configRevision >= configuration.revision)
            continue;
        this->deliver(name, ConfigPull{heartbeat.configRevision}, now, out);
    }
}

void EntryMachine::handleHeartbeat(const Heartbeat &heartbeat, TimePoint now, EntryActions &out)
{
    this->membership.recordHeartbeat(heartbeat, now);
    const std::uint64_t own = this->config.current().revision;
    if (heartbeat.configRevision <= own || now < this->pullAt)
        return;
    this->pullAt = now + this->settings.configPullInterval;
    out.sends.push_back({heartbeat.instance, ConfigPull{own}});
}

void EntryMachine::sendNotOwner(const std::string &to, JobRole role, const std::string &key,
                                EntryActions &out)
{
    JobUpdate update;
    update.from = role;
    update.key = key;
    update.notOwner = true;
    out.sends.push_back({to, std::move(update)});
}

Dispatcher *EntryMachine::dispatcherFor(const std::string &from, const std::string &key)
{
    for (auto &[dataCenter, slot] : this->dispatchers) {
        if (slot.dispatcher->hasJob(key))
            return slot.dispatcher.get();
    }
    const std::optional<Membership::Member> sender = this->membership.findMember(from);
    const auto it = this->dispatchers.find(sender ? sender->dataCenter : std::string());
    if (it != this->dispatchers.end())
        return it->second.dispatcher.get();
    return this->dispatchers.empty() ? nullptr : this->dispatchers.begin()->second.dispatcher.get();
}

void EntryMachine::deliverSubmit(const std::string &from, const SubmitJob &message, TimePoint now,
                                 EntryActions &out)
{
    if (message.role == JobRole::Keeper) {
        KeeperActions actions;
        this->keeper.submit(from, message, message.dataCenter, now, actions);
        this->applyActions(std::move(actions), out);
        return;
    }
    const auto it = this->dispatchers.find(message.dataCenter);
    if (it == this->dispatchers.end()) {
        this->sendNotOwner(from, message.role,
                           jobKey(message.spec.customer, message.spec.requestId), out);
        return;
    }
    it->second.dispatcher->submit(from, message, now, out);
    it->second.dispatcher->decide(now, out);
}

void EntryMachine::deliverAdmit(const std::string &from, const AdmitJob &message, TimePoint now,
                                EntryActions &out)
{
    const auto it = this->dispatchers.find(message.dataCenter);
    if (it != this->dispatchers.end())
        it->second.dispatcher->admit(from, message, now, out);
    else
        this->sendNotOwner(from, JobRole::Dispatcher,
                           jobKey(message.spec.customer, message.spec.requestId), out);
}

void EntryMachine::deliverCancel(const std::string &from, const CancelJob &message, TimePoint now,
                                 EntryActions &out)
{
    if (message.role == JobRole::Keeper) {
        KeeperActions actions;
        this->keeper.cancel(from, message, now, actions);
        this->applyActions(std::move(actions), out);
        return;
    }
    if (Dispatcher *dispatcher = this->dispatcherFor(from, message.key))
        dispatcher->cancel(from, message, now, out);
    else
        this->sendNotOwner(from, message.role, message.key, out);
}

void EntryMachine::deliverQuery(const std::string &from, const QueryJob &message, TimePoint now,
                                EntryActions &out)
{
    if (message.role == JobRole::Keeper) {
        KeeperActions actions;
        this->keeper.query(from, message, now, actions);
        this->applyActions(std::move(actions), out);
        return;
    }
    if (Dispatcher *dispatcher = this->dispatcherFor(from, message.key))
        dispatcher->query(from, message, now, out);
    else
        this->sendNotOwner(from, message.role, message.key, out);
}

void EntryMachine::deliverUpdate(const std::string &from, const JobUpdate &message, TimePoint now,
                                 EntryActions &out)
{
    if (message.admission) {
        this->frontend.handleUpdate(from, message, this->membership, now, out);
        return;
    }
    if (message.from == JobRole::Dispatcher) {
        // Updates of durable jobs are for the keeper, all others for the frontend; each ignores
        // jobs that it does not hold.
        KeeperActions actions;
        this->keeper.update(from, message, now, actions);
        this->applyActions(std::move(actions), out);
        this->frontend.handleUpdate(from, message, this->membership, now, out);
        return;
    }
    if (message.recorded) {
        for (auto &[dataCenter, slot] : this->dispatchers)
            slot.dispatcher->handleRecorded(message.key, now, out);
    }
    this->frontend.handleUpdate(from, message, this->membership, now, out);
}

void EntryMachine::deliver(const std::string &from, const PeerMessage &message, TimePoint now,
                           EntryActions &out)
{
    const Overloaded visitor{
        [&](const Heartbeat &heartbeat) { this->handleHeartbeat(heartbeat, now, out); },
        [&](const ConfigPull &pull) {
            ConfigReplica::Relay relay = this->config.relayAfter(pull.afterRevision);
            out.sends.push_back({from,
                                 ConfigPush{relay.snapshotRevision, std::move(relay.snapshot),
                                            relay.firstRevision, std::move(relay.changes)}});
        },
        [&](const ConfigPush &push) {
            ConfigActions actions;
            this->config.relayed(
                {push.snapshotRevision, push.snapshot, push.firstRevision, push.changes}, now,
                actions);
            this->applyActions(std::move(actions), now, out);
        },
        [&](const SubmitJob &submit) { this->deliverSubmit(from, submit, now, out); },
        [&](const AdmitJob &admit) { this->deliverAdmit(from, admit, now, out); },
        [&](const CancelJob &cancel) { this->deliverCancel(from, cancel, now, out); },
        [&](const QueryJob &query) { this->deliverQuery(from, query, now, out); },
        [&](const JobUpdate &update) { this->deliverUpdate(from, update, now, out); },
        [&](const AssignJob &assign) {
            KeeperActions actions;
            this->keeper.assign(from, assign, now, actions);
            this->applyActions(std::move(actions), out);
        },
        [&](const AssignReply &reply) {
            for (auto &[dataCenter, slot] : this->dispatchers) {
                if (slot.dispatcher->hasJob(reply.key))
                    return slot.dispatcher->handleAssignReply(reply, now, out);
            }
            // The dispatcher that requested the assignment has been released since.
            this->sendNotOwner(from, JobRole::Dispatcher, reply.key, out);
        },
    };
    std::visit(visitor, message);
}

void EntryMachine::deliverLocalSends(TimePoint now, EntryActions &out)
{
    std::vector<PeerSend> outward;
    while (!out.sends.empty()) {
        std::vector<PeerSend> sends = std::move(out.sends);
        out.sends.clear();
        for (PeerSend &send : sends) {
            if (send.instance == this->settings.instance)
                this->deliver(this->settings.instance, send.message, now, out);
            else
                outward.push_back(std::move(send));
        }
    }
    out.sends = std::move(outward);
}

void EntryMachine::sendHeartbeats(TimePoint now, EntryActions &out)
{
    Heartbeat heartbeat;
    heartbeat.instance = this->settings.instance;
    heartbeat.dataCenter = this->settings.dataCenter;
    heartbeat.incarnation = this->settings.incarnation;
    heartbeat.ready = this->isReady();
    heartbeat.draining = this->draining;
    heartbeat.configRevision = this->config.current().revision;
    for (const auto &[dataCenter, slot] : this->dispatchers) {
        const SchedulerGauges gauges = slot.dispatcher->gauges();
        heartbeat.freeSlots += gauges.freeSlots;
        for (const std::uint32_t queued : gauges.queued)
            heartbeat.queuedJobs += queued;
    }
    std::set<std::string> peers;
    for (const InstanceDescription &instance : this->membership.liveList().instances)
        peers.insert(instance.name);
    for (const auto &[name, last] : this->membership.heartbeats())
        peers.insert(name);
    peers.erase(this->settings.instance);
    for (const std::string &peer : peers)
        out.sends.push_back({peer, heartbeat});
    this->heartbeatAt = now + this->settings.heartbeatInterval;
}

void EntryMachine::tick(TimePoint now, EntryActions &out)
{
    this->membership.setSelf(this->isReady(), this->draining);
    if (now >= this->heartbeatAt)
        this->sendHeartbeats(now, out);
    ConfigActions configActions;
    this->config.setWatching(this->membership.watchesStore(now), now, configActions);
    this->config.tick(now, configActions);
    this->applyActions(std::move(configActions), now, out);
    this->updateRoles(now, out);
    KeeperActions keeperActions;
    this->keeper.tick(now, keeperActions);
    this->applyActions(std::move(keeperActions), out);
    for (auto &[dataCenter, slot] : this->dispatchers)
        slot.dispatcher->tick(now, out);
    this->frontend.tick(this->membership, now, out);
    this->deliverLocalSends(now, out);
}

void EntryMachine::updateRoles(TimePoint now, EntryActions &out)
{
    // A draining instance keeps its roles until its peers have learned of the drain.
    const bool inNoticePeriod
        = this->draining && now - this->drainingSince < this->settings.drainNotice;
    // The last live instance has no peer to hand its held calls to, so it keeps its roles until the
    // calls are answered.
    const bool isLastInstance = this->draining && this->membership.liveMembers(now).empty();
    if (inNoticePeriod || (isLastInstance && this->frontend.openRequests() > 0))
        return;
    this->updateShards(now, out);
    this->updateDispatchers(now, out);
}

void EntryMachine::updateShards(TimePoint now, EntryActions &out)
{
    std::vector<std::uint32_t> own;
    for (std::uint32_t shard = 0; shard < this->settings.keeper.shards; ++shard) {
        const auto holder = this->membership.keeperOf(shard, now);
        this->keeperNames[shard] = holder ? holder->name : std::string();
        if (holder && holder->name == this->settings.instance)
            own.push_back(shard);
    }
    if (own == this->shards)
        return;
    this->shards = own;
    KeeperActions actions;
    this->keeper.setOwnedShards(this->shards, now, actions);
    this->applyActions(std::move(actions), out);
}

void EntryMachine::updateDispatchers(TimePoint now, EntryActions &out)
{
    for (const std::string &dataCenter : this->membership.dataCenters()) {
        const auto holder = this->membership.dispatcherOf(dataCenter, now);
        const bool here = holder && holder->name == this->settings.instance;
        const auto it = this->dispatchers.find(dataCenter);
        if (here && it == this->dispatchers.end())
            this->startDispatcher(dataCenter, now, out);
        if (!here && it != this->dispatchers.end()) {
            it->second.dispatcher->release(now, out);
            this->dispatchers.erase(it);
        }
        if (!holder)
            continue;
        KeeperActions actions;
        this->keeper.setDispatcher(dataCenter, holder->name, holder->incarnation, now, actions);
        this->applyActions(std::move(actions), out);
    }
}

void EntryMachine::startDispatcher(const std::string &dataCenter, TimePoint now, EntryActions &out)
{
    out.log(LogLevel::Info, component, "Took the dispatcher role for " + dataCenter + ".");
    Dispatcher::Settings dispatcherSettings = this->settings.dispatcher;
    dispatcherSettings.instance = this->settings.instance;
    dispatcherSettings.incarnation = this->settings.incarnation;
    dispatcherSettings.dataCenter = dataCenter;
    // Each time that this process takes the role it uses a new owner name, so that late calls of an
    // earlier dispatcher are fenced.
    const std::uint64_t number = this->nextDispatcherNumber++;
    dispatcherSettings.session.owner = this->settings.instance + '-'
        + std::to_string(this->settings.incarnation) + '-' + std::to_string(number);
    const auto keeperOf = [this](std::string_view key) {
        return this->keeperNames[JobKeeper::shardOf(key, this->settings.keeper.shards)];
    };
    DispatcherSlot slot;
    slot.number = number;
    slot.dispatcher
        = std::make_unique<Dispatcher>(dispatcherSettings, this->makeScheduler(), keeperOf,
                                       CallId{number << dispatcherNumberShift}, now);
    slot.dispatcher->setConfiguration(this->config.current(), now);
    slot.dispatcher->setWorkers(this->membership.liveList().workers, now, out);
    this->dispatchers.emplace(dataCenter, std::move(slot));
}

EntryMachine::Status EntryMachine::status(TimePoint now) const
{
    Status status;
    status.instance = this->settings.instance;
    status.dataCenter = this->settings.dataCenter;
    status.ready = this->isReady();
    status.draining = this->draining;
    status.configRevision = this->config.current().revision;
    status.preset = this->config.current().presetInForce;
    for (const auto &[dataCenter, slot] : this->dispatchers) {
        const Dispatcher &dispatcher = *slot.dispatcher;
        status.dispatchers.push_back({dataCenter, dispatcher.gauges(), dispatcher.ownedWorkers(),
                                      dispatcher.knownWorkers(), dispatcher.jobCount(),
                                      dispatcher.shortfalls()});
    }
    status.shards = this->shards;
    status.keeper = this->keeper.gauges();
    status.heldCalls = this->frontend.waitingCalls();
    for (const Membership::Member &member : this->membership.liveMembers(now)) {
        if (member.name != this->settings.instance)
            status.livePeers.push_back(member.name);
    }
    return status;
}

} // namespace Hibiscus
