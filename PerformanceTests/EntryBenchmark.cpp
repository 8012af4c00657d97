// Measures the messages, processor time and memory of whole entry instances against the number of
// workers, running tasks, instances, changes and requests. Stand-ins answer within the same call
// and time is simulated, so all results but the processor times and the memory are the same in
// every run. Prints CSV.

#include <Endpoint/WorkerClient.h>
#include <Entry/EntryMachine.h>
#include <Policy/CellScheduler.h>
#include <StandIns/StandInStore.h>
#include <StandIns/StandInWorker.h>
#include <Wire/PeerCodec.h>

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

using namespace Hibiscus;

namespace {

constexpr Duration tickInterval = milliseconds(25);
/// Polling interval of a waiting Collect call.
constexpr Duration collectPollInterval = milliseconds(25);
constexpr Duration latency = milliseconds(1);
constexpr Duration warmUp = seconds(12);
constexpr Duration window = seconds(20);
constexpr std::uint32_t workersPerRack = 6;
constexpr std::uint16_t slotsPerWorker = 12;

double processorSeconds()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    constexpr double nanosecond = 1e-9;
    return double(used.tv_sec) + double(used.tv_nsec) * nanosecond;
}

/// Messages of one instance in both directions, and the processor time of its state machine.
struct Traffic
{
    double workerMessages = 0;
    double workerBytes = 0; ///< JSON bodies, without HTTP headers.
    double peerMessages = 0;
    double peerBytes = 0; ///< FlatBuffers tables, without frame and code.
    double storeCalls = 0;
    double storeBytes = 0; ///< Keys and values in their base64 encoding.
    double processor = 0; ///< Seconds.
};

struct Metric
{
    const char *name;
    double Traffic::*value;
};
constexpr Metric metrics[]{
    {"worker_messages", &Traffic::workerMessages}, {"worker_bytes", &Traffic::workerBytes},
    {"peer_messages", &Traffic::peerMessages},     {"peer_bytes", &Traffic::peerBytes},
    {"store_calls", &Traffic::storeCalls},         {"store_bytes", &Traffic::storeBytes},
    {"processor_s", &Traffic::processor},
};

double encodedSize(std::size_t plain)
{
    const std::size_t groups = (plain + 2) / 3;
    return double(groups * 4);
}

/// Entry instances of one data centre with stand-ins for their surroundings, on one simulated time
/// line.
class Site
{
public:
    Site(std::uint32_t instanceCount, std::uint32_t workerCount)
    {
        for (std::uint32_t i = 0; i < workerCount; ++i)
            this->addWorker(i);
        for (std::uint32_t i = 0; i < instanceCount; ++i) {
            const std::string name = "entry-" + std::to_string(i);
            this->list.instances.push_back({name, "north", "127.0.0.1", 1, false});
        }
        for (const InstanceDescription &instance : this->list.instances)
            this->addInstance(instance.name);
    }

    void run(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        this->now = end;
    }

    /// Configures `customers` customers and an active preset.
    void configure(std::uint32_t customers)
    {
        this->run(seconds(4));
        for (std::uint32_t i = 0; i < customers; ++i)
            this->change(i);
        Preset preset;
        preset.name = "ordinary";
        this->change(PutPreset{preset});
        this->change(SwitchPreset{"ordinary"});
        this->run(warmUp);
    }

    void change(std::uint32_t customer)
    {
        Customer changed;
        changed.name = "team-" + std::to_string(customer);
        this->change(PutCustomer{changed});
        this->run(milliseconds(30));
    }

    void submitAt(TimePoint at, const std::string &instance, bool idempotent, Duration runTime)
    {
        JobSpec spec{.requestId = "request-" + std::to_string(this->nextCall),
                     .customer = "team-0",
                     .caller = "desk",
                     .kind = "dose",
                     .idempotent = idempotent};
        spec.declaredRunTime = runTime;
        spec.payload.assign(payloadBytes, ' ');
        const CallId call{this->nextCall++};
        this->at(at, [this, instance, call, spec] {
            this->apply(instance, [=, this](EntryMachine &machine, EntryActions &out) {
                machine.submit(call, {spec, true, false}, this->now, out);
            });
        });
    }

    EntryMachine::Status status(const std::string &name)
    {
        return this->instances.at(name).machine->status(this->now);
    }

    std::string dispatcher()
    {
        for (const InstanceDescription &instance : this->list.instances) {
            if (!this->status(instance.name).dispatchers.empty())
                return instance.name;
        }
        return {};
    }

    std::string nonDispatcher()
    {
        std::string busy = this->dispatcher();
        for (const InstanceDescription &instance : this->list.instances) {
            if (instance.name != busy)
                return instance.name;
        }
        return busy;
    }

    void resetTraffic()
    {
        for (auto &[name, instance] : this->instances)
            instance.traffic = {};
    }
    const Traffic &traffic(const std::string &name) { return this->instances.at(name).traffic; }
    Traffic totalTraffic() const
    {
        Traffic sum;
        for (const auto &[name, instance] : this->instances) {
            for (const Metric &metric : metrics)
                sum.*metric.value += instance.traffic.*metric.value;
        }
        return sum;
    }

    /// Bytes of heap memory that the state machine of an instance holds; destroys the machine.
    double memoryOf(const std::string &name)
    {
        const std::size_t before = mallinfo2().uordblks;
        this->instances.at(name).machine.reset();
        return double(before) - double(mallinfo2().uordblks);
    }

    TimePoint now{seconds(1000)};
    std::size_t answered = 0;
    std::size_t done = 0;

private:
    static constexpr std::size_t payloadBytes = 200;

    struct Instance
    {
        std::unique_ptr<EntryMachine> machine;
        Traffic traffic;
        std::uint64_t watch = 0;
    };

    struct Event
    {
        TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    using Operation = decltype(ConfigChange::operation);

    void change(const Operation &operation)
    {
        const CallId call{this->nextCall++};
        const ConfigChange change{
            "change-" + std::to_string(call.value), "operator", {}, operation};
        this->apply("entry-0", [=, this](EntryMachine &machine, EntryActions &out) {
            machine.change(call, change, this->now, out);
        });
    }

    void addWorker(std::uint32_t number)
    {
        WorkerDescription worker;
        worker.name = "worker-" + std::to_string(number);
        worker.dataCenter = "north";
        worker.rack = number / workersPerRack;
        worker.slots = slotsPerWorker;
        worker.accelerators = 0;
        worker.host = "127.0.0.1";
        worker.memoryMiB = 60000;
        StandInWorker::Settings settings{.name = worker.name, .incarnation = "1"};
        settings.slots = slotsPerWorker;
        this->list.workers.push_back(worker);
        this->workers.emplace(worker.name, StandInWorker(settings));
    }

    void addInstance(const std::string &name)
    {
        EntryMachine::Settings settings;
        settings.instance = name;
        settings.dataCenter = "north";
        settings.incarnation = 1;
        settings.membership.instance = name;
        settings.membership.dataCenter = "north";
        settings.membership.incarnation = 1;
        settings.frontend.instance = name;
        settings.frontend.dataCenter = "north";
        settings.keeper.instance = name;
        settings.keeper.incarnation = 1;
        const auto makeScheduler
            = [] { return std::make_unique<CellScheduler>(CellScheduler::Settings{}); };
        this->instances[name].machine
            = std::make_unique<EntryMachine>(settings, makeScheduler, this->now);
        this->apply(name, [this](EntryMachine &machine, EntryActions &out) {
            machine.setLiveList(this->list, this->now, out);
        });
        this->scheduleTick(name);
    }

    void at(TimePoint time, std::function<void()> action)
    {
        this->events.push({time, this->order++, std::move(action)});
    }

    void scheduleTick(const std::string &name)
    {
        this->at(this->now + tickInterval, [this, name] {
            this->apply(name, [this](EntryMachine &machine, EntryActions &out) {
                machine.tick(this->now, out);
            });
            this->scheduleTick(name);
        });
    }

    void apply(const std::string &name,
               const std::function<void(EntryMachine &, EntryActions &)> &action)
    {
        Instance &instance = this->instances.at(name);
        EntryActions out;
        const double before = processorSeconds();
        action(*instance.machine, out);
        instance.traffic.processor += processorSeconds() - before;
        this->performActions(name, out);
    }

    void performActions(const std::string &name, EntryActions &actions)
    {
        for (const StoreCall &call : actions.storeCalls)
            this->callStore(name, call);
        for (const WorkerCall &call : actions.workerCalls)
            this->callWorker(name, call);
        for (const PeerSend &send : actions.sends)
            this->sendToPeer(name, send);
        for (const CallerAnswer &answer : actions.callerAnswers) {
            ++this->answered;
            this->done += answer.answer.status == JobStatus::Done ? 1 : 0;
        }
        if (actions.watchFrom)
            this->pollWatch(name, *actions.watchFrom, ++this->instances.at(name).watch);
    }

    void sendToPeer(const std::string &name, const PeerSend &send)
    {
        const double bytes = double(encodePeerMessage(send.message).size());
        for (const std::string &end : {name, send.instance}) {
            ++this->instances.at(end).traffic.peerMessages;
            this->instances.at(end).traffic.peerBytes += bytes;
        }
        this->at(this->now + latency, [this, name, send] {
            this->apply(send.instance, [&](EntryMachine &machine, EntryActions &out) {
                machine.handlePeerMessage(name, send.message, this->now, out);
            });
        });
    }

    void callStore(const std::string &name, const StoreCall &call)
    {
        const StoreRequest &request = call.request;
        Traffic &traffic = this->instances.at(name).traffic;
        ++traffic.storeCalls;
        traffic.storeBytes += encodedSize(request.key.size()) + encodedSize(request.end.size())
            + encodedSize(request.value.size());
        const StoreReply reply = this->store.execute(request, this->now).reply;
        for (const StoreEntry &entry : reply.entries)
            traffic.storeBytes += encodedSize(entry.key.size()) + encodedSize(entry.value.size());
        this->at(this->now + latency, [this, name, call, reply] {
            this->apply(name, [&](EntryMachine &machine, EntryActions &out) {
                machine.handleStoreReply(call.call, reply, this->now, out);
            });
        });
    }

    void pollWatch(const std::string &name, std::int64_t from, std::uint64_t watch)
    {
        if (this->instances.at(name).watch != watch)
            return;
        const StoreWatchResult step
            = this->store.pollChanges("config/", "config0", from, this->now);
        StoreWatchBatch batch;
        for (const StoreChange &change : step.changes) {
            if (change.removed)
                batch.removed.push_back(change.entry.key);
            else
                batch.written.push_back(change.entry);
            this->instances.at(name).traffic.storeBytes
                += encodedSize(change.entry.key.size()) + encodedSize(change.entry.value.size());
        }
        if (!step.changes.empty()) {
            this->apply(name, [&](EntryMachine &machine, EntryActions &out) {
                machine.handleWatchBatch(batch, this->now, out);
            });
        }
        this->at(this->now + tickInterval, [this, name, next = step.nextRevision, watch] {
            this->pollWatch(name, next, watch);
        });
    }

    void callWorker(const std::string &name, const WorkerCall &call)
    {
        Traffic &traffic = this->instances.at(name).traffic;
        ++traffic.workerMessages;
        traffic.workerBytes += double(toJson(call.request).size());
        this->execute(name, call, this->now + call.request.wait);
    }

    void execute(const std::string &name, const WorkerCall &call, TimePoint until)
    {
        const WorkerReply reply = this->workers.at(call.worker).execute(call.request, this->now);
        const bool waits = call.request.verb == WorkerVerb::Collect
            && reply.status == WorkerStatus::Ok && reply.reports.empty();
        if (waits && this->now < until) {
            this->at(this->now + collectPollInterval,
                     [this, name, call, until] { this->execute(name, call, until); });
            return;
        }
        Traffic &traffic = this->instances.at(name).traffic;
        ++traffic.workerMessages;
        traffic.workerBytes += double(toJson(reply).size());
        this->at(this->now + latency, [this, name, call, reply] {
            this->apply(name, [&](EntryMachine &machine, EntryActions &out) {
                machine.handleWorkerReply(call.call, reply, this->now, out);
            });
        });
    }

    LiveList list;
    std::map<std::string, Instance> instances;
    std::map<std::string, StandInWorker> workers;
    StandInStore store;
    std::priority_queue<Event> events;
    std::uint64_t order = 0;
    std::uint64_t nextCall = 1;
};

void print(const char *name, double size, const char *metric, double value)
{
    std::printf("%s,%g,%s,%.9g\n", name, size, metric, value);
}

void print(const char *name, double size, const Traffic &traffic)
{
    const double length = std::chrono::duration<double>(window).count();
    for (const Metric &metric : metrics)
        print(name, size, metric.name, traffic.*metric.value / length);
}

/// Measures an instance that owns workers without running tasks.
void measureIdle(std::uint32_t workers)
{
    Site site(1, workers);
    site.configure(1);
    site.resetTraffic();
    site.run(window);
    print("rest_by_workers", workers, site.traffic("entry-0"));
    print("rest_by_workers", workers, "owned",
          double(site.status("entry-0").dispatchers.at(0).ownedWorkers));
    print("rest_by_workers", workers, "memory_bytes", site.memoryOf("entry-0"));
}

/// Measures tasks that run throughout the window without waiting callers, spread over the workers.
void runningTasks(std::uint32_t tasks)
{
    constexpr std::uint32_t workers = 100;
    Site site(1, workers);
    site.configure(1);
    for (std::uint32_t i = 0; i < tasks; ++i)
        site.submitAt(site.now + milliseconds(5) * i, "entry-0", true, std::chrono::hours(9));
    site.run(milliseconds(5) * tasks + seconds(65));
    site.resetTraffic();
    site.run(window);
    print("running_by_tasks", tasks, site.traffic("entry-0"));
    print("running_by_tasks", tasks, "jobs", double(site.status("entry-0").dispatchers.at(0).jobs));
    print("running_by_tasks", tasks, "memory_bytes", site.memoryOf("entry-0"));
}

/// Measures idle instances that exchange only membership messages; the per-instance results are
/// those of an instance that does not dispatch.
void peers(std::uint32_t instances)
{
    Site site(instances, 1);
    site.configure(1);
    site.resetTraffic();
    site.run(window);
    print("idle_by_instances", instances, site.traffic(site.nonDispatcher()));
    print("store_by_instances", instances, site.totalTraffic());
}

/// Measures `perSecond` customer changes per second, as a total over 4 instances with 400
/// customers.
void changes(std::uint32_t perSecond)
{
    constexpr std::uint32_t customers = 400;
    Site site(4, 1);
    site.configure(customers);
    site.resetTraffic();
    const TimePoint end = site.now + window;
    for (std::uint32_t i = 0; site.now < end; ++i) {
        if (perSecond != 0)
            site.change(i % customers);
        site.run(seconds(1) / std::max(perSecond, 1U) - milliseconds(perSecond != 0 ? 30 : 0));
    }
    print("config_by_changes", perSecond, site.totalTraffic());
    print("config_by_changes", perSecond, "memory_bytes", site.memoryOf("entry-1"));
}

/// Measures `perSecond` requests with waiting callers per second at an instance that does not
/// dispatch.
void requests(const char *name, std::uint32_t perSecond, bool idempotent)
{
    Site site(2, 20);
    site.configure(1);
    const std::string caller = site.nonDispatcher();
    const std::string dispatcher = site.dispatcher();
    site.resetTraffic();
    const auto count = static_cast<std::uint32_t>(perSecond * (window / seconds(1)));
    for (std::uint32_t i = 0; i < count; ++i)
        site.submitAt(site.now + window * i / count, caller, idempotent, milliseconds(200));
    site.run(window);
    const std::string prefix(name);
    print((prefix + "_caller").c_str(), perSecond, site.traffic(caller));
    print((prefix + "_dispatcher").c_str(), perSecond, site.traffic(dispatcher));
    print((prefix + "_caller").c_str(), perSecond, "done", double(site.done));
    print((prefix + "_caller").c_str(), perSecond, "memory_bytes", site.memoryOf(caller));
}

} // namespace

int main()
{
    // Flushes each line, so that an interrupted run still shows its results.
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    std::printf("case,size,metric,value\n");
    for (const std::uint32_t workers : {25, 100, 200})
        measureIdle(workers);
    for (const std::uint32_t perSecond : {10, 20, 40})
        requests("idempotent", perSecond, true);
    for (const std::uint32_t perSecond : {10, 20, 40})
        requests("durable", perSecond, false);
    for (const std::uint32_t instances : {2, 4, 8})
        peers(instances);
    for (const std::uint32_t tasks : {16, 32, 60})
        runningTasks(tasks);
    for (const std::uint32_t perSecond : {0, 1})
        changes(perSecond);
    return 0;
}
