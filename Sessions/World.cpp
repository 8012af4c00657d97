#include <Sessions/Describe.h>
#include <Sessions/World.h>

#include <Policy/CellScheduler.h>
#include <Policy/FifoScheduler.h>

#include <cassert>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

constexpr Duration tickEvery = milliseconds(25);
constexpr Duration storeLatency = milliseconds(2);
constexpr Duration workerLatency = milliseconds(1);
constexpr Duration peerLatency = milliseconds(1);
constexpr Duration listEvery = milliseconds(500);
constexpr Duration watchEvery = milliseconds(20);
constexpr Duration callTimeout = seconds(2);

} // namespace

struct World::Instance
{
    std::string name;
    std::string dataCenter;
    std::uint64_t run = 0; ///< Rises with each start.
    std::uint64_t watch = 0;
    bool paused = false;
    std::vector<std::function<void()>> held; ///< Arrived while paused.
    std::unique_ptr<EntryMachine> machine;
};

struct World::WorkerState
{
    WorkerDescription description;
    std::uint64_t run = 0;
    std::unique_ptr<StandInWorker> worker; ///< Empty while it is dead.
};

World::World(const Settings &settings)
    : settings(settings)
    , time(seconds(1000))
{
    for (const WorkerDescription &description : settings.workers) {
        WorkerState &worker = this->workers[description.name];
        worker.description = description;
        this->list.workers.push_back(description);
        this->restartWorker(description.name);
    }
    for (const auto &[name, dataCenter] : settings.instances) {
        Instance &instance = this->instances[name];
        instance.name = name;
        instance.dataCenter = dataCenter;
        this->list.instances.push_back({name, dataCenter, "127.0.0.1", 1, false});
        this->start(instance);
    }
}

World::~World() = default;

World::Settings World::small(unsigned instancesEach, unsigned workersEach)
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

EntryMachine::Settings World::machineSettings(const Instance &instance) const
{
    EntryMachine::Settings machine;
    machine.instance = instance.name;
    machine.dataCenter = instance.dataCenter;
    machine.incarnation = instance.run;
    machine.membership.instance = instance.name;
    machine.membership.dataCenter = instance.dataCenter;
    machine.membership.incarnation = instance.run;
    machine.front.instance = instance.name;
    machine.front.dataCenter = instance.dataCenter;
    machine.front.shards = this->settings.shards;
    machine.config.seed = std::hash<std::string>()(instance.name) + instance.run;
    machine.keeper.instance = instance.name;
    machine.keeper.incarnation = instance.run;
    machine.keeper.shards = this->settings.shards;
    return machine;
}

void World::at(TimePoint time, std::function<void()> action)
{
    this->events.push({time, this->nextOrder++, std::move(action)});
}

void World::run(Duration duration)
{
    this->runUntil([] { return false; }, duration);
}

bool World::runUntil(const std::function<bool()> &condition, Duration limit)
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

void World::start(Instance &instance)
{
    ++instance.run;
    instance.paused = false;
    instance.held.clear();
    const bool cells = this->settings.cellScheduler;
    const auto makeScheduler = [cells]() -> std::unique_ptr<Scheduler> {
        if (cells)
            return std::make_unique<CellScheduler>(CellScheduler::Settings{});
        return std::make_unique<FifoScheduler>();
    };
    instance.machine = std::make_unique<EntryMachine>(this->machineSettings(instance),
                                                      makeScheduler, this->time);
    this->scheduleTick(instance.name, instance.run);
    this->scheduleList(instance.name, instance.run);
}

void World::scheduleTick(const std::string &name, std::uint64_t run)
{
    this->at(this->time + tickEvery, [this, name, run] {
        if (this->instances.at(name).run != run || !this->instances.at(name).machine)
            return;
        this->apply(name, run, [this](EntryMachine &machine, EntryActions &out) {
            machine.tick(this->time, out);
        });
        this->scheduleTick(name, run);
    });
}

void World::scheduleList(const std::string &name, std::uint64_t run)
{
    if (this->instances.at(name).run != run || !this->instances.at(name).machine)
        return;
    const LiveList seen = this->list;
    const bool reachable = !this->isCut(name, "store");
    this->at(this->time + listEvery, [this, name, run] { this->scheduleList(name, run); });
    if (!reachable)
        return;
    this->at(this->time + this->settings.listLag, [this, name, run, seen] {
        this->apply(name, run, [this, seen](EntryMachine &machine, EntryActions &out) {
            machine.liveList(seen, this->time, out);
        });
    });
}

void World::apply(const std::string &name, std::uint64_t run, const MachineAction &action)
{
    Instance &instance = this->instances.at(name);
    if (instance.run != run || !instance.machine)
        return;
    if (instance.paused) {
        instance.held.emplace_back([this, name, run, action] { this->apply(name, run, action); });
        return;
    }
    EntryActions out;
    action(*instance.machine, out);
    this->carryOut(instance, std::move(out));
}

void World::carryOut(Instance &instance, EntryActions &&actions)
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
            this->note(name, send.instance, text);
        this->at(this->time + peerLatency, [this, name, send] {
            const auto to = this->instances.find(send.instance);
            if (to == this->instances.end() || this->isCut(name, send.instance))
                return;
            this->apply(send.instance, to->second.run,
                        [this, name, send](EntryMachine &machine, EntryActions &out) {
                            machine.peerMessage(name, send.message, this->time, out);
                        });
        });
    }
    for (const CallerAnswer &answer : actions.callerAnswers) {
        const bool first
            = this->answers.emplace(answer.call, Answered{this->time, answer.answer}).second;
        assert(first);
        this->note(name, "caller",
                   answer.requestId + ' ' + toString(answer.answer.status) + ' '
                       + answer.answer.reason);
    }
    for (const ConfigActions::Answer &answer : actions.changeAnswers)
        this->noteChange(name, answer);
    if (actions.watchFrom) {
        const std::uint64_t watch = ++instance.watch;
        this->pollWatch(name, run, *actions.watchFrom, watch);
    }
}

bool World::isCut(const std::string &one, const std::string &other) const
{
    return this->cuts.count(std::minmax(one, other)) != 0;
}

void World::note(const std::string &from, const std::string &to, const std::string &text)
{
    if (this->observe)
        this->observe(from, to, text);
}

void World::callStore(const std::string &name, std::uint64_t run, const StoreCall &call)
{
    const auto reply = [this, name, run, call](const StoreReply &reply) {
        this->apply(name, run, [this, call, reply](EntryMachine &machine, EntryActions &out) {
            machine.storeReply(call.call, reply, this->time, out);
        });
    };
    if (this->isCut(name, "store")) {
        this->at(this->time + callTimeout, [reply] { reply({}); });
        return;
    }
    this->at(this->time + storeLatency, [this, name, call, reply] {
        this->note(name, "store", describe(call.request));
        const StoreReply outcome = this->platformStore.execute(call.request, this->time).reply;
        const bool lost = outcome.status == StoreStatus::NoAnswer;
        const Duration wait = lost ? callTimeout : storeLatency;
        this->at(this->time + wait, [reply, outcome] { reply(outcome); });
    });
}

void World::pollWatch(const std::string &name, std::uint64_t run, std::int64_t from,
                      std::uint64_t watch)
{
    const Instance &instance = this->instances.at(name);
    if (instance.run != run || instance.watch != watch)
        return;
    const std::string prefix = ConfigReplicaSettings{}.prefix;
    std::string end = prefix;
    ++end.back();
    const StoreWatchStep step = this->platformStore.watch(prefix, end, from, this->time);
    if (step.broken || this->isCut(name, "store")) {
        this->at(this->time + callTimeout, [this, name, run] {
            this->apply(name, run, [this](EntryMachine &machine, EntryActions &out) {
                machine.watchBroken(this->time, out);
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
        this->apply(name, run, [this, batch](EntryMachine &machine, EntryActions &out) {
            machine.watchBatch(batch, this->time, out);
        });
    }
    this->at(this->time + watchEvery, [this, name, run, next = step.nextRevision, watch] {
        this->pollWatch(name, run, next, watch);
    });
}

void World::replyToWorkerCall(const std::string &name, std::uint64_t run, const WorkerCall &call,
                              const WorkerReply &reply)
{
    const Duration wait = reply.status == WorkerStatus::NoAnswer ? callTimeout : workerLatency;
    this->at(this->time + wait, [this, name, run, call, reply] {
        this->apply(name, run, [this, call, reply](EntryMachine &machine, EntryActions &out) {
            machine.workerReply(call.call, reply, this->time, out);
        });
    });
}

void World::callWorker(const std::string &name, std::uint64_t run, const WorkerCall &call)
{
    const auto it = this->workers.find(call.worker);
    assert(it != this->workers.end());
    if (this->isCut(name, call.worker)) {
        this->replyToWorkerCall(name, run, call, {});
        return;
    }
    this->at(this->time + workerLatency, [this, name, run, call] {
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
            this->note(name, call.worker, describe(call.request));
        const WorkerReply reply = worker.worker->execute(call.request, this->time);
        this->noteRuns(worker);
        this->replyToWorkerCall(name, run, call, reply);
    });
}

void World::collect(const std::string &name, std::uint64_t run, const WorkerCall &call,
                    TimePoint until)
{
    constexpr Duration lookEvery = milliseconds(15);
    WorkerState &worker = this->workers.at(call.worker);
    if (!worker.worker || this->isCut(name, call.worker)) {
        this->replyToWorkerCall(name, run, call, {});
        return;
    }
    const WorkerReply reply = worker.worker->execute(call.request, this->time);
    this->noteRuns(worker);
    const bool waits = reply.status == WorkerStatus::Ok && reply.reports.empty();
    if (!waits || this->time >= until) {
        this->replyToWorkerCall(name, run, call, reply);
        return;
    }
    this->at(this->time + lookEvery,
             [this, name, run, call, until] { this->collect(name, run, call, until); });
}

void World::noteRuns(WorkerState &worker)
{
    for (const std::string &line : worker.worker->runs().takeLines()) {
        const nlohmann::json run = nlohmann::json::parse(line);
        if (run.at("event") == "started") {
            const auto job = run.at("job").get<std::string>();
            ++this->startsOfJobs[job];
            this->firstStarts.try_emplace(job, this->time);
        }
        this->note(worker.description.name, "-",
                   run.at("event").get<std::string>() + ' ' + run.at("task").get<std::string>());
    }
}

void World::noteChange(const std::string &from, const ConfigActions::Answer &answer)
{
    constexpr std::array statuses{"accepted", "invalid", "conflict", "unavailable"};
    std::string text = statuses.at(static_cast<std::size_t>(answer.reply.status));
    text += " revision " + std::to_string(answer.reply.revision);
    for (const Finding &finding : answer.reply.findings.all())
        text += "; " + finding.place + ": " + finding.message;
    this->note(from, "operator", text);
    this->changeReplies.emplace(answer.call, answer.reply);
}

CallId World::change(const std::string &instance, ConfigChange change)
{
    const CallId call{this->nextCall++};
    this->note("operator", instance, "change " + change.changeId);
    this->apply(instance, this->instances.at(instance).run,
                [this, call, change = std::move(change)](EntryMachine &machine, EntryActions &out) {
                    machine.change(call, change, this->time, out);
                });
    return call;
}

std::optional<ChangeReply> World::changeReply(CallId call) const
{
    const auto it = this->changeReplies.find(call);
    return it == this->changeReplies.end() ? std::nullopt : std::optional(it->second);
}

void World::configure(const std::vector<Customer> &customers)
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

CallId World::submit(const std::string &instance, const JobSpec &spec, bool wait, bool retry)
{
    const CallId call{this->nextCall++};
    this->note("caller", instance, "submit " + spec.requestId);
    this->apply(instance, this->instances.at(instance).run,
                [=, this](EntryMachine &machine, EntryActions &out) {
                    machine.submit(call, {spec, wait, retry}, this->time, out);
                });
    return call;
}

CallId World::poll(const std::string &instance, const std::string &customer,
                   const std::string &requestId)
{
    const CallId call{this->nextCall++};
    this->note("caller", instance, "poll " + requestId);
    this->apply(instance, this->instances.at(instance).run,
                [=, this](EntryMachine &machine, EntryActions &out) {
                    machine.poll(call, customer, requestId, {}, this->time, out);
                });
    return call;
}

CallId World::cancel(const std::string &instance, const std::string &customer,
                     const std::string &requestId)
{
    const CallId call{this->nextCall++};
    this->note("caller", instance, "cancel " + requestId);
    this->apply(instance, this->instances.at(instance).run,
                [=, this](EntryMachine &machine, EntryActions &out) {
                    machine.cancel(call, customer, requestId, this->time, out);
                });
    return call;
}

std::optional<World::Answered> World::answer(CallId call) const
{
    const auto it = this->answers.find(call);
    return it == this->answers.end() ? std::nullopt : std::optional(it->second);
}

void World::kill(const std::string &instance)
{
    Instance &killed = this->instances.at(instance);
    killed.machine.reset();
    ++killed.run;
    this->note("world", instance, "killed");
}

void World::restart(const std::string &instance)
{
    this->start(this->instances.at(instance));
    this->note("world", instance, "restarted");
}

void World::pause(const std::string &instance)
{
    this->instances.at(instance).paused = true;
    this->note("world", instance, "paused");
}

void World::resume(const std::string &instance)
{
    Instance &resumed = this->instances.at(instance);
    resumed.paused = false;
    this->note("world", instance, "resumed");
    const std::vector<std::function<void()>> held = std::move(resumed.held);
    resumed.held.clear();
    for (const std::function<void()> &action : held)
        action();
}

void World::drain(const std::string &instance)
{
    this->note("operator", instance, "drain");
    this->apply(
        instance, this->instances.at(instance).run,
        [this](EntryMachine &machine, EntryActions &out) { machine.drain(this->time, out); });
}

void World::cut(const std::string &one, const std::string &other)
{
    this->cuts.insert(std::minmax(one, other));
    this->note("world", one + '|' + other, "cut");
}

void World::heal(const std::string &one, const std::string &other)
{
    this->cuts.erase(std::minmax(one, other));
    this->note("world", one + '|' + other, "healed");
}

void World::healAll()
{
    this->cuts.clear();
    this->note("world", "all", "healed");
}

void World::killWorker(const std::string &worker)
{
    this->workers.at(worker).worker.reset();
    this->note("world", worker, "killed");
}

void World::restartWorker(const std::string &worker)
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

void World::setListed(const std::string &instance, bool listed)
{
    std::erase_if(this->list.instances, [&](const auto &each) { return each.name == instance; });
    if (listed) {
        const std::string &dataCenter = this->instances.at(instance).dataCenter;
        this->list.instances.push_back({instance, dataCenter, "127.0.0.1", 1, false});
    }
}

void World::setWorkerLeaving(const std::string &worker, bool leaving)
{
    for (WorkerDescription &each : this->list.workers) {
        if (each.name == worker)
            each.leaving = leaving;
    }
}

void World::loseStoreAnswers(std::uint32_t count)
{
    StoreFaults faults = this->platformStore.faults();
    faults.loseAnswers = count;
    this->platformStore.setFaults(faults);
}

void World::setStoreDown(bool down)
{
    StoreFaults faults = this->platformStore.faults();
    faults.down = down;
    this->platformStore.setFaults(faults);
    this->note("world", "store", down ? "down" : "up");
}

EntryMachine *World::machine(const std::string &instance)
{
    return this->instances.at(instance).machine.get();
}

StandInWorker &World::worker(const std::string &name)
{
    return *this->workers.at(name).worker;
}

bool World::isAlive(const std::string &instance)
{
    return this->instances.at(instance).machine != nullptr;
}

std::optional<TimePoint> World::firstStart(const std::string &key) const
{
    const auto it = this->firstStarts.find(key);
    return it == this->firstStarts.end() ? std::nullopt : std::optional(it->second);
}

std::uint32_t World::starts(const std::string &key) const
{
    const auto it = this->startsOfJobs.find(key);
    return it == this->startsOfJobs.end() ? 0 : it->second;
}

} // namespace Hibiscus
