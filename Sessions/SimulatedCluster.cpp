#include <Sessions/Describe.h>
#include <Sessions/SimulatedCluster.h>

#include <Policy/CellScheduler.h>
#include <Policy/FifoScheduler.h>

#include <cassert>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

constexpr Duration tickInterval = milliseconds(25);
constexpr Duration storeLatency = milliseconds(2);
constexpr Duration workerLatency = milliseconds(1);
constexpr Duration peerLatency = milliseconds(1);
constexpr Duration listInterval = milliseconds(500);
constexpr Duration watchInterval = milliseconds(20);
constexpr Duration callTimeout = seconds(2);

} // namespace

struct SimulatedCluster::Instance
{
    std::string name;
    std::string dataCenter;
    std::uint64_t run = 0; ///< Incremented with each start and each kill.
    std::uint64_t watch = 0;
    bool paused = false;
    /// Events that arrived while the instance was paused.
    std::vector<std::function<void()>> deferred;
    std::unique_ptr<EntryMachine> machine;
};

struct SimulatedCluster::WorkerState
{
    WorkerDescription description;
    std::uint64_t run = 0;
    std::unique_ptr<StandInWorker> worker; ///< Null while the worker is dead.
};

SimulatedCluster::SimulatedCluster(const Settings &settings)
    : settings(settings)
    , time(seconds(1000))
{
    for (const WorkerDescription &description : settings.workers) {
        WorkerState &worker = this->workers[description.name];
        worker.description = description;
        this->liveList.workers.push_back(description);
        this->restartWorker(description.name);
    }
    for (const auto &[name, dataCenter] : settings.instances) {
        Instance &instance = this->instances[name];
        instance.name = name;
        instance.dataCenter = dataCenter;
        this->liveList.instances.push_back({name, dataCenter, "127.0.0.1", 1, false});
        this->start(instance);
    }
}

SimulatedCluster::~SimulatedCluster() = default;

SimulatedCluster::Settings SimulatedCluster::twoDataCenters(unsigned instancesEach,
                                                            unsigned workersEach)
{
    Settings settings;
    for (const std::string dataCenter : {"a", "b"}) {
        for (unsigned i = 0; i < instancesEach; ++i)
            settings.instances.emplace_back("entry-" + dataCenter + std::to_string(i), dataCenter);
        for (unsigned i = 0; i < workersEach; ++i) {
            WorkerDescription worker;
            worker.name = "worker-" + dataCenter + std::to_string(i);
            worker.dataCenter = dataCenter;
            worker.rack = i / 6;
            worker.host = "127.0.0.1";
            worker.memoryMiB = 60000;
            settings.workers.push_back(worker);
        }
    }
    return settings;
}

EntryMachine::Settings SimulatedCluster::machineSettings(const Instance &instance) const
{
    EntryMachine::Settings machine;
    machine.instance = instance.name;
    machine.dataCenter = instance.dataCenter;
    machine.incarnation = instance.run;
    machine.membership.instance = instance.name;
    machine.membership.dataCenter = instance.dataCenter;
    machine.membership.incarnation = instance.run;
    machine.frontend.instance = instance.name;
    machine.frontend.dataCenter = instance.dataCenter;
    machine.frontend.shards = this->settings.shards;
    machine.config.seed = std::hash<std::string>()(instance.name) + instance.run;
    machine.keeper.instance = instance.name;
    machine.keeper.incarnation = instance.run;
    machine.keeper.shards = this->settings.shards;
    return machine;
}

void SimulatedCluster::schedule(TimePoint time, std::function<void()> action)
{
    this->events.push({time, this->nextOrder++, std::move(action)});
}

void SimulatedCluster::run(Duration duration)
{
    this->runUntil([] { return false; }, duration);
}

bool SimulatedCluster::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint end = this->time + limit;
    while (!condition()) {
        if (this->events.empty() || this->events.top().at > end) {
            this->time = end;
            return condition();
        }
        const Event event = this->events.top();
        this->events.pop();
        this->time = std::max(this->time, event.at);
        event.action();
    }
    return true;
}

void SimulatedCluster::start(Instance &instance)
{
    ++instance.run;
    instance.paused = false;
    instance.deferred.clear();
    const bool cells = this->settings.cellScheduler;
    const auto makeScheduler = [cells]() -> std::unique_ptr<Scheduler> {
        if (cells)
            return std::make_unique<CellScheduler>(CellScheduler::Settings{});
        return std::make_unique<FifoScheduler>();
    };
    instance.machine = std::make_unique<EntryMachine>(this->machineSettings(instance),
                                                      makeScheduler, this->time);
    this->scheduleTick(instance.name, instance.run);
    this->scheduleLiveList(instance.name, instance.run);
}

void SimulatedCluster::scheduleTick(const std::string &name, std::uint64_t run)
{
    this->schedule(this->time + tickInterval, [this, name, run] {
        if (this->instances.at(name).run != run || !this->instances.at(name).machine)
            return;
        this->deliverEvent(name, run, [this](EntryMachine &machine, EntryActions &out) {
            machine.tick(this->time, out);
        });
        this->scheduleTick(name, run);
    });
}

void SimulatedCluster::scheduleLiveList(const std::string &name, std::uint64_t run)
{
    if (this->instances.at(name).run != run || !this->instances.at(name).machine)
        return;
    const LiveList seen = this->liveList;
    const bool reachable = !this->isPartitioned(name, "store");
    this->schedule(this->time + listInterval,
                   [this, name, run] { this->scheduleLiveList(name, run); });
    if (!reachable)
        return;
    this->schedule(this->time + this->settings.listLag, [this, name, run, seen] {
        this->deliverEvent(name, run, [this, seen](EntryMachine &machine, EntryActions &out) {
            machine.setLiveList(seen, this->time, out);
        });
    });
}

void SimulatedCluster::deliverEvent(const std::string &name, std::uint64_t run,
                                    const MachineAction &action)
{
    Instance &instance = this->instances.at(name);
    if (instance.run != run || !instance.machine)
        return;
    if (instance.paused) {
        instance.deferred.emplace_back(
            [this, name, run, action] { this->deliverEvent(name, run, action); });
        return;
    }
    EntryActions out;
    action(*instance.machine, out);
    this->performActions(instance, std::move(out));
}

void SimulatedCluster::performActions(Instance &instance, EntryActions &&actions)
{
    const std::string name = instance.name;
    const std::uint64_t run = instance.run;
    for (const StoreCall &call : actions.storeCalls)
        this->callStore(name, run, call);
    for (const WorkerCall &call : actions.workerCalls)
        this->callWorker(name, run, call);
    for (const PeerSend &send : actions.sends) {
        const std::string text = describe(send.message);
        if (!text.empty())
            this->trace(name, send.instance, text);
        this->schedule(this->time + peerLatency, [this, name, send] {
            const auto to = this->instances.find(send.instance);
            if (to == this->instances.end() || this->isPartitioned(name, send.instance))
                return;
            this->deliverEvent(send.instance, to->second.run,
                               [this, name, send](EntryMachine &machine, EntryActions &out) {
                                   machine.handlePeerMessage(name, send.message, this->time, out);
                               });
        });
    }
    for (const CallerAnswer &answer : actions.callerAnswers) {
        const bool first
            = this->answers.emplace(answer.call, ReceivedAnswer{this->time, answer.answer}).second;
        assert(first);
        this->trace(name, "caller",
                    answer.requestId + ' ' + toString(answer.answer.status) + ' '
                        + answer.answer.reason);
    }
    for (const ConfigActions::Answer &answer : actions.changeAnswers)
        this->recordChangeReply(name, answer);
    if (actions.watchFrom) {
        const std::uint64_t watch = ++instance.watch;
        this->pollWatch(name, run, *actions.watchFrom, watch);
    }
}

bool SimulatedCluster::isPartitioned(const std::string &one, const std::string &other) const
{
    return this->partitions.count(std::minmax(one, other)) != 0;
}

void SimulatedCluster::trace(const std::string &from, const std::string &to,
                             const std::string &text)
{
    if (this->messageObserver)
        this->messageObserver(from, to, text);
}

void SimulatedCluster::callStore(const std::string &name, std::uint64_t run, const StoreCall &call)
{
    const auto reply = [this, name, run, call](const StoreReply &reply) {
        this->deliverEvent(name, run,
                           [this, call, reply](EntryMachine &machine, EntryActions &out) {
                               machine.handleStoreReply(call.call, reply, this->time, out);
                           });
    };
    if (this->isPartitioned(name, "store")) {
        this->schedule(this->time + callTimeout, [reply] { reply({}); });
        return;
    }
    this->schedule(this->time + storeLatency, [this, name, call, reply] {
        this->trace(name, "store", describe(call.request));
        const StoreReply outcome = this->platformStore.execute(call.request, this->time).reply;
        const bool lost = outcome.status == StoreStatus::NoAnswer;
        const Duration wait = lost ? callTimeout : storeLatency;
        this->schedule(this->time + wait, [reply, outcome] { reply(outcome); });
    });
}

void SimulatedCluster::pollWatch(const std::string &name, std::uint64_t run, std::int64_t from,
                                 std::uint64_t watch)
{
    const Instance &instance = this->instances.at(name);
    if (instance.run != run || instance.watch != watch)
        return;
    const std::string prefix = ConfigReplicaSettings{}.prefix;
    std::string end = prefix;
    ++end.back();
    const StoreWatchResult step = this->platformStore.pollChanges(prefix, end, from, this->time);
    if (step.broken || this->isPartitioned(name, "store")) {
        this->schedule(this->time + callTimeout, [this, name, run] {
            this->deliverEvent(name, run, [this](EntryMachine &machine, EntryActions &out) {
                machine.handleWatchBroken(this->time, out);
            });
        });
        return;
    }
    StoreWatchBatch batch;
    for (const StoreChange &change : step.changes) {
        if (change.removed)
            batch.removed.push_back(change.entry.key);
        else
            batch.written.push_back(change.entry);
    }
    if (!step.changes.empty()) {
        this->deliverEvent(name, run, [this, batch](EntryMachine &machine, EntryActions &out) {
            machine.handleWatchBatch(batch, this->time, out);
        });
    }
    this->schedule(this->time + watchInterval, [this, name, run, next = step.nextRevision, watch] {
        this->pollWatch(name, run, next, watch);
    });
}

void SimulatedCluster::replyToWorkerCall(const std::string &name, std::uint64_t run,
                                         const WorkerCall &call, const WorkerReply &reply)
{
    const Duration wait = reply.status == WorkerStatus::NoAnswer ? callTimeout : workerLatency;
    this->schedule(this->time + wait, [this, name, run, call, reply] {
        this->deliverEvent(name, run,
                           [this, call, reply](EntryMachine &machine, EntryActions &out) {
                               machine.handleWorkerReply(call.call, reply, this->time, out);
                           });
    });
}

void SimulatedCluster::callWorker(const std::string &name, std::uint64_t run,
                                  const WorkerCall &call)
{
    const auto it = this->workers.find(call.worker);
    assert(it != this->workers.end());
    if (this->isPartitioned(name, call.worker)) {
        this->replyToWorkerCall(name, run, call, {});
        return;
    }
    this->schedule(this->time + workerLatency, [this, name, run, call] {
        WorkerState &worker = this->workers.at(call.worker);
        if (!worker.worker) {
            WorkerReply reply;
            reply.status = WorkerStatus::NotDelivered;
            this->replyToWorkerCall(name, run, call, reply);
            return;
        }
        if (call.request.verb == WorkerVerb::Collect) {
            this->collect(name, run, call, this->time + call.request.wait);
            return;
        }
        if (call.request.verb != WorkerVerb::Renew)
            this->trace(name, call.worker, describe(call.request));
        const WorkerReply reply = worker.worker->execute(call.request, this->time);
        this->recordRuns(worker);
        this->replyToWorkerCall(name, run, call, reply);
    });
}

void SimulatedCluster::collect(const std::string &name, std::uint64_t run, const WorkerCall &call,
                               TimePoint until)
{
    constexpr Duration collectPollInterval = milliseconds(15);
    WorkerState &worker = this->workers.at(call.worker);
    if (!worker.worker || this->isPartitioned(name, call.worker)) {
        this->replyToWorkerCall(name, run, call, {});
        return;
    }
    const WorkerReply reply = worker.worker->execute(call.request, this->time);
    this->recordRuns(worker);
    const bool waits = reply.status == WorkerStatus::Ok && reply.reports.empty();
    if (!waits || this->time >= until) {
        this->replyToWorkerCall(name, run, call, reply);
        return;
    }
    this->schedule(this->time + collectPollInterval,
                   [this, name, run, call, until] { this->collect(name, run, call, until); });
}

void SimulatedCluster::recordRuns(WorkerState &worker)
{
    for (const std::string &line : worker.worker->runLog().takeLines()) {
        const nlohmann::json run = nlohmann::json::parse(line);
        if (run.at("event") == "started") {
            const auto job = run.at("job").get<std::string>();
            ++this->startsOfJobs[job];
            this->firstStarts.try_emplace(job, this->time);
        }
        this->trace(worker.description.name, "-",
                    run.at("event").get<std::string>() + ' ' + run.at("task").get<std::string>());
    }
}

void SimulatedCluster::recordChangeReply(const std::string &from,
                                         const ConfigActions::Answer &answer)
{
    constexpr std::array statuses{"accepted", "invalid", "conflict", "unavailable"};
    std::string text = statuses.at(static_cast<std::size_t>(answer.reply.status));
    text += " revision " + std::to_string(answer.reply.revision);
    for (const Finding &finding : answer.reply.findings.all())
        text += "; " + finding.location + ": " + finding.message;
    this->trace(from, "operator", text);
    this->changeReplies.emplace(answer.call, answer.reply);
}

CallId SimulatedCluster::change(const std::string &instance, ConfigChange change)
{
    const CallId call{this->nextCall++};
    this->trace("operator", instance, "change " + change.changeId);
    this->deliverEvent(
        instance, this->instances.at(instance).run,
        [this, call, change = std::move(change)](EntryMachine &machine, EntryActions &out) {
            machine.change(call, change, this->time, out);
        });
    return call;
}

std::optional<ChangeReply> SimulatedCluster::changeReply(CallId call) const
{
    const auto it = this->changeReplies.find(call);
    return it == this->changeReplies.end() ? std::nullopt : std::optional(it->second);
}

void SimulatedCluster::configure(const std::vector<Customer> &customers)
{
    this->run(this->settings.listLag + seconds(2));
    const std::string first = this->settings.instances.front().first;
    std::vector<ConfigChange> changes;
    changes.reserve(customers.size() + 2);
    for (const Customer &customer : customers)
        changes.push_back({"customer-" + customer.name, "test", {}, PutCustomer{customer}});
    Preset preset;
    preset.name = "ordinary";
    changes.push_back({"preset", "test", {}, PutPreset{preset}});
    changes.push_back({"switch", "test", {}, SwitchPreset{"ordinary"}});
    for (const ConfigChange &change : changes) {
        const CallId call = this->change(first, change);
        this->runUntil([&] { return this->changeReply(call).has_value(); }, seconds(10));
        assert(this->changeReply(call)
               && this->changeReply(call)->status == ChangeStatus::Accepted);
    }
    this->run(seconds(4));
}

CallId SimulatedCluster::submit(const std::string &instance, const JobSpec &spec, bool wait,
                                bool retry)
{
    const CallId call{this->nextCall++};
    this->trace("caller", instance, "submit " + spec.requestId);
    this->deliverEvent(instance, this->instances.at(instance).run,
                       [=, this](EntryMachine &machine, EntryActions &out) {
                           machine.submit(call, {spec, wait, retry}, this->time, out);
                       });
    return call;
}

CallId SimulatedCluster::poll(const std::string &instance, const std::string &customer,
                              const std::string &requestId)
{
    const CallId call{this->nextCall++};
    this->trace("caller", instance, "poll " + requestId);
    this->deliverEvent(instance, this->instances.at(instance).run,
                       [=, this](EntryMachine &machine, EntryActions &out) {
                           machine.poll(call, customer, requestId, {}, this->time, out);
                       });
    return call;
}

CallId SimulatedCluster::cancel(const std::string &instance, const std::string &customer,
                                const std::string &requestId)
{
    const CallId call{this->nextCall++};
    this->trace("caller", instance, "cancel " + requestId);
    this->deliverEvent(instance, this->instances.at(instance).run,
                       [=, this](EntryMachine &machine, EntryActions &out) {
                           machine.cancel(call, customer, requestId, this->time, out);
                       });
    return call;
}

std::optional<SimulatedCluster::ReceivedAnswer> SimulatedCluster::answer(CallId call) const
{
    const auto it = this->answers.find(call);
    return it == this->answers.end() ? std::nullopt : std::optional(it->second);
}

void SimulatedCluster::kill(const std::string &instance)
{
    Instance &killed = this->instances.at(instance);
    killed.machine.reset();
    ++killed.run;
    this->trace("world", instance, "killed");
}

void SimulatedCluster::restart(const std::string &instance)
{
    this->start(this->instances.at(instance));
    this->trace("world", instance, "restarted");
}

void SimulatedCluster::pause(const std::string &instance)
{
    this->instances.at(instance).paused = true;
    this->trace("world", instance, "paused");
}

void SimulatedCluster::resume(const std::string &instance)
{
    Instance &resumed = this->instances.at(instance);
    resumed.paused = false;
    this->trace("world", instance, "resumed");
    const std::vector<std::function<void()>> held = std::move(resumed.deferred);
    resumed.deferred.clear();
    for (const std::function<void()> &action : held)
        action();
}

void SimulatedCluster::drain(const std::string &instance)
{
    this->trace("operator", instance, "drain");
    this->deliverEvent(
        instance, this->instances.at(instance).run,
        [this](EntryMachine &machine, EntryActions &out) { machine.drain(this->time, out); });
}

void SimulatedCluster::partition(const std::string &one, const std::string &other)
{
    this->partitions.insert(std::minmax(one, other));
    this->trace("world", one + '|' + other, "cut");
}

void SimulatedCluster::heal(const std::string &one, const std::string &other)
{
    this->partitions.erase(std::minmax(one, other));
    this->trace("world", one + '|' + other, "healed");
}

void SimulatedCluster::healAll()
{
    this->partitions.clear();
    this->trace("world", "all", "healed");
}

void SimulatedCluster::killWorker(const std::string &worker)
{
    this->workers.at(worker).worker.reset();
    this->trace("world", worker, "killed");
}

void SimulatedCluster::restartWorker(const std::string &worker)
{
    WorkerState &state = this->workers.at(worker);
    ++state.run;
    StandInWorker::Settings settings;
    settings.name = worker;
    settings.incarnation = std::to_string(state.run);
    settings.slots = state.description.slots;
    settings.memoryMiB = state.description.memoryMiB;
    state.worker = std::make_unique<StandInWorker>(settings);
}

void SimulatedCluster::setListed(const std::string &instance, bool listed)
{
    std::erase_if(this->liveList.instances,
                  [&](const auto &each) { return each.name == instance; });
    if (listed) {
        const std::string &dataCenter = this->instances.at(instance).dataCenter;
        this->liveList.instances.push_back({instance, dataCenter, "127.0.0.1", 1, false});
    }
}

void SimulatedCluster::setWorkerLeaving(const std::string &worker, bool leaving)
{
    for (WorkerDescription &each : this->liveList.workers) {
        if (each.name == worker)
            each.leaving = leaving;
    }
}

void SimulatedCluster::loseStoreAnswers(std::uint32_t count)
{
    StoreFaults faults = this->platformStore.faults();
    faults.loseAnswers = count;
    this->platformStore.setFaults(faults);
}

void SimulatedCluster::setStoreDown(bool down)
{
    StoreFaults faults = this->platformStore.faults();
    faults.down = down;
    this->platformStore.setFaults(faults);
    this->trace("world", "store", down ? "down" : "up");
}

EntryMachine *SimulatedCluster::machine(const std::string &instance)
{
    return this->instances.at(instance).machine.get();
}

StandInWorker &SimulatedCluster::worker(const std::string &name)
{
    return *this->workers.at(name).worker;
}

bool SimulatedCluster::isAlive(const std::string &instance)
{
    return this->instances.at(instance).machine != nullptr;
}

std::optional<TimePoint> SimulatedCluster::firstStartTime(const std::string &key) const
{
    const auto it = this->firstStarts.find(key);
    return it == this->firstStarts.end() ? std::nullopt : std::optional(it->second);
}

std::uint32_t SimulatedCluster::startCount(const std::string &key) const
{
    const auto it = this->startsOfJobs.find(key);
    return it == this->startsOfJobs.end() ? 0 : it->second;
}

} // namespace Hibiscus
