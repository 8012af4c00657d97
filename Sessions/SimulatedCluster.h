#pragma once

#include <Entry/EntryMachine.h>
#include <StandIns/StandInStore.h>
#include <StandIns/StandInWorker.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace Hibiscus {

/// Simulates several entry machines with a stand-in store and stand-in workers, in one thread and
/// on a clock that only tests advance. The entry machines are the production code; the simulation
/// executes their actions and injects failures: network partitions, killed and paused instances,
/// and lost replies.
class SimulatedCluster
{
public:
    struct Settings
    {
        std::vector<std::pair<std::string, std::string>> instances; ///< Name and data centre.
        std::vector<WorkerDescription> workers;
        bool cellScheduler = true; ///< False: first-in, first-out scheduler.
        Duration listLag = seconds(1);
        std::uint32_t shards = 2;
    };

    /// Answer to a call, with its time.
    struct ReceivedAnswer
    {
        TimePoint at{};
        JobAnswer answer;
    };

    explicit SimulatedCluster(const Settings &settings);
    ~SimulatedCluster();

    /// Settings with two data centres "a" and "b" of the given numbers of instances and workers.
    static Settings twoDataCenters(unsigned instancesEach, unsigned workersEach);

    TimePoint now() const { return this->time; }
    void run(Duration duration);
    /// Runs until the condition holds. Returns false if it does not hold within the limit.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// Submits an operator's change. `changeReply` returns the reply once it has come.
    CallId change(const std::string &instance, ConfigChange change);
    std::optional<ChangeReply> changeReply(CallId call) const;
    /// Waits until the instances have started, then configures the given customers and a preset
    /// "ordinary" through the first instance, makes the preset active, and waits until the changes
    /// are distributed.
    void configure(const std::vector<Customer> &customers);

    /// Calls of callers. An answer that is lost with its instance never comes.
    CallId submit(const std::string &instance, const JobSpec &spec, bool wait, bool retry = false);
    CallId poll(const std::string &instance, const std::string &customer,
                const std::string &requestId);
    CallId cancel(const std::string &instance, const std::string &customer,
                  const std::string &requestId);
    std::optional<ReceivedAnswer> answer(CallId call) const;

    // Failure injection.
    void kill(const std::string &instance);
    void restart(const std::string &instance);
    void pause(const std::string &instance);
    void resume(const std::string &instance);
    void drain(const std::string &instance);
    /// Blocks all traffic in both directions between two nodes, each an instance, a worker or
    /// "store".
    void partition(const std::string &one, const std::string &other);
    void heal(const std::string &one, const std::string &other);
    void healAll();
    void killWorker(const std::string &worker);
    void restartWorker(const std::string &worker);
    void setListed(const std::string &instance, bool listed);
    void setWorkerLeaving(const std::string &worker, bool leaving);
    /// Loses the replies to the next `count` writes, which take effect.
    void loseStoreAnswers(std::uint32_t count);
    void setStoreDown(bool down);

    EntryMachine *machine(const std::string &instance);
    StandInWorker &worker(const std::string &name);
    StandInStore &store() { return this->platformStore; }
    bool isAlive(const std::string &instance);

    /// Number of starts of a job, over all workers and all their incarnations.
    std::uint32_t startCount(const std::string &key) const;
    /// Time of the first start of a job, if it was started.
    std::optional<TimePoint> firstStartTime(const std::string &key) const;

    /// Called with each traced message, for the transcripts of golden sessions.
    std::function<void(const std::string &from, const std::string &to, const std::string &text)>
        messageObserver;

private:
    struct Instance;
    struct WorkerState;
    struct Event
    {
        TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };
    using MachineAction = std::function<void(EntryMachine &, EntryActions &)>;

    void schedule(TimePoint time, std::function<void()> action);
    void start(Instance &instance);
    void scheduleTick(const std::string &name, std::uint64_t run);
    /// Applies an event to the given run of an instance: after `resume` if the instance is paused,
    /// and never if that run has ended.
    void deliverEvent(const std::string &name, std::uint64_t run, const MachineAction &action);
    void performActions(Instance &instance, EntryActions &&actions);
    void callStore(const std::string &name, std::uint64_t run, const StoreCall &call);
    void callWorker(const std::string &name, std::uint64_t run, const WorkerCall &call);
    void collect(const std::string &name, std::uint64_t run, const WorkerCall &call,
                 TimePoint until);
    void replyToWorkerCall(const std::string &name, std::uint64_t run, const WorkerCall &call,
                           const WorkerReply &reply);
    void pollWatch(const std::string &name, std::uint64_t run, std::int64_t from,
                   std::uint64_t watch);
    void scheduleLiveList(const std::string &name, std::uint64_t run);
    bool isPartitioned(const std::string &one, const std::string &other) const;
    void recordRuns(WorkerState &worker);
    void recordChangeReply(const std::string &from, const ConfigActions::Answer &answer);
    void trace(const std::string &from, const std::string &to, const std::string &text);
    EntryMachine::Settings machineSettings(const Instance &instance) const;

    Settings settings;
    TimePoint time{};
    std::uint64_t nextOrder = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::map<std::string, Instance> instances;
    std::map<std::string, WorkerState> workers;
    StandInStore platformStore;
    LiveList liveList;
    std::set<std::pair<std::string, std::string>> partitions;
    std::uint64_t nextCall = 1;
    std::map<CallId, ReceivedAnswer> answers;
    std::map<CallId, ChangeReply> changeReplies;
    std::map<std::string, std::uint32_t> startsOfJobs;
    std::map<std::string, TimePoint> firstStarts;
};

} // namespace Hibiscus
