#pragma once

#include "SimClock.h"

#include <Tasks/WorkerLink.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hibiscus::Coordination::Test {

/// Behaviour of a task, parsed from its payload:
/// "RUNTIME_MS[,fail][,gang=N][,serve=TARGET_MS][,fill][,permit][,again][,use=N]".
struct TaskScript
{
    Duration runTime = seconds(1);
    bool fails = false;
    std::int32_t gang = 0; ///< Number of gang members; 0 for a task without a gang.
    /// Response time target in ms; 0 for a task that is not latency-sensitive.
    std::int32_t target = 0;
    /// Increases the response times of latency-sensitive tasks on the same worker.
    bool bestEffort = false;
    bool needsPermit = false;
    /// Perpetual: is started again even after it ended successfully.
    bool restartsWhenDone = false;
    /// Accelerators that the task occupies; workers check them against their capacity.
    std::int64_t accelerators = 0;
};
TaskScript parseScript(const std::string &payload);

/// Descriptions of violated guarantees.
using Violations = std::vector<std::string>;

/// Fake of the platform's workers with fencing tokens, leases on the workers' own clocks, and ends
/// that are kept until they are acknowledged. Counts starts and records violated guarantees.
class FakeWorkers
{
public:
    explicit FakeWorkers(SimClock &clock)
        : clock(clock)
    {}

    /// Adds a worker and returns its registry entry.
    Tasks::WorkerEntry add(const std::string &id, const std::string &rack);
    /// Restarts the worker's process, which loses all runs and ends, and returns its new registry
    /// entry. The new process may have fewer accelerators. Its incarnation differs by `step`, which
    /// is negative if the machine's clock was set back.
    Tasks::WorkerEntry restart(const std::string &id, std::int64_t accelerators = 8,
                               std::int64_t step = 1000);
    void kill(const std::string &id);

    /// Workers that an instance can't reach, in both directions.
    std::map<std::string, std::set<std::string>> unreachableWorkers; ///< By instance.
    /// Workers that execute orders after `orderDelay` and don't answer them.
    std::set<std::string> delayedWorkers;
    /// Workers that execute polls after `orderDelay` and don't answer them.
    std::set<std::string> delayedPolls;
    /// Added to the way of polls to a worker, which reach the process that runs by then.
    std::map<std::string, Duration> pollDelays;
    /// A poll that waits acknowledges ends until it is answered, not only when it arrives.
    bool waitingPollsAcknowledge = false;
    /// Workers keep the highest acknowledged number, and discard later ends up to it at once.
    bool keepsAcknowledgements = false;
    /// Workers that execute pace orders after `orderDelay` and don't answer them.
    std::set<std::string> delayedPaceOrders;
    /// Workers that refuse connections for orders.
    std::set<std::string> closedWorkers;
    /// Workers that reject start orders without effect.
    std::set<std::string> unhealthyWorkers;
    /// Workers that fail all that they start, after 50 ms.
    std::set<std::string> failingWorkers;
    Duration orderDelay = seconds(3);
    Duration latency = milliseconds(1); ///< Of one direction.
    Duration stopTime = milliseconds(300);
    Duration gangWait = seconds(3);
    /// Longest time after the acknowledgement of a cancellation for which tasks of the job may
    /// still start.
    Duration cancellationBound = seconds(3);
    /// When the evacuation of a data centre was acknowledged, until it is taken back.
    std::map<std::string, TimePoint> evacuatedAt;
    /// Longest time after that for which tasks may still start there.
    Duration evacuationBound = seconds(5);
    /// Returns whether a start order that needs a permit is accepted.
    std::function<bool(const std::string &worker, const Tasks::StartOrder &)> permitCheck;
    /// Response time in ms of a latency-sensitive task without best-effort tasks on its worker.
    double baseResponseTime = 100.0;
    /// Added to the response time in ms by each best-effort task at full pace.
    double bestEffortDelay = 300.0;
    /// Longest time for which best-effort tasks may keep response times over their target.
    Duration maxOverTargetTime = seconds(4);
    /// Factors on the run times of workers; 1 for all others. If there are any, tasks report their
    /// progress.
    std::map<std::string, double> slowness;
    std::size_t paceOrders = 0;
    std::size_t permitRejections = 0;
    std::size_t refusedConnections = 0;

    const Tasks::WorkerEntry &entryOf(const std::string &id) const
    {
        return this->machines.at(id).entry;
    }
    std::size_t runningOn(const std::string &id) const;
    /// Number of ends that the worker lists, since they were not acknowledged.
    std::size_t listedEndsOf(const std::string &id) const
    {
        return this->machines.at(id).ended.size();
    }
    std::size_t runningTasks() const;
    /// Number of running tasks of the job.
    std::size_t runningTasksOf(const std::string &job) const;
    /// Number of tasks that run below full pace.
    std::size_t throttledTasks() const;
    bool runsJob(const std::string &id, const std::string &job) const;
    std::size_t startsOf(const std::string &job) const;
    Violations violations;
    /// When the cancellation of a job was acknowledged, by job.
    std::map<std::string, TimePoint> cancelledAt;

    class View;

private:
    struct Task
    {
        Tasks::RunRef run;
        TaskScript script;
        Duration left{}; ///< At `resumedAt`.
        TimePoint resumedAt{};
        bool isWorking = false;
        std::int32_t pace = 100; ///< In percent.
        std::optional<TimePoint> overTargetSince;
        std::uint64_t serial = 0;
    };
    struct Machine
    {
        Tasks::WorkerEntry entry;
        bool alive = true;
        TimePoint startedAt{};
        std::int64_t token = 0;
        std::int64_t leaseUntil = 0; ///< By the worker's own clock, in ms.
        Duration leaseLimit = seconds(6);
        Tasks::Resources used;
        std::map<std::pair<std::string, Tasks::TaskRef>, Task> running;
        std::map<std::pair<std::string, Tasks::TaskRef>, std::int32_t> endedRuns;
        std::vector<Tasks::EndedTask> ended;
        std::int64_t lastEnd = 0;
        std::int64_t keptAcknowledgement = 0; ///< See keepsAcknowledgements.
        std::int64_t listedUpTo = 0; ///< Number of the last end that an answer listed.
        /// Pending polls, which are answered when a run ends.
        std::vector<std::function<void()>> waiting;
    };
    using TaskName = std::pair<std::string, Tasks::TaskRef>;

    std::int64_t clockOf(const Machine &machine) const;
    bool isFenced(Machine &machine, std::int64_t token, Tasks::WorkerAnswer &answer);
    void extendLease(const std::string &id, std::int64_t until);
    void checkLease(const std::string &id);
    Tasks::WorkerAnswer start(const std::string &id, const Tasks::StartOrder &order);
    Tasks::WorkerAnswer stop(const std::string &id, const Tasks::StopOrder &order);
    Tasks::WorkerAnswer setPace(const std::string &id, const Tasks::PaceOrder &order);
    Tasks::WorkerAnswer renew(const std::string &id, const Tasks::RenewOrder &order);
    std::int32_t percentOf(const Task &task) const;
    double loadOf(const Machine &machine, const Task &task) const;
    void checkResponseTimes(const std::string &id);
    void discardEnds(const std::string &id, std::int64_t upTo);
    Tasks::WorkerAnswer report(Machine &machine) const;
    void checkStart(const std::string &id, const Tasks::RunRef &run, const TaskScript &script);
    void checkCapacity(const std::string &id, const Tasks::RunRef &run, const TaskScript &script);
    void begin(const std::string &id, Task &task);
    void beginGangIfWhole(const Tasks::RunRef &run, std::int32_t members);
    void end(const std::string &id, const TaskName &name, Tasks::EndCause cause);
    void endGang(const Tasks::RunRef &run, Tasks::EndCause cause);

    SimClock &clock;
    std::map<std::string, Machine> machines;
    std::uint64_t nextSerial = 1;
    std::map<std::string, std::size_t> starts;
    std::set<TaskName> acknowledgedDone;
};

class FakeWorkers::View final : public Tasks::WorkerLink
{
public:
    View(FakeWorkers &workers, std::string instance, std::shared_ptr<const bool> alive)
        : workers(workers)
        , instance(std::move(instance))
        , alive(std::move(alive))
    {}

    void start(const Tasks::WorkerEntry &worker, const Tasks::StartOrder &order, Duration timeout,
               Tasks::WorkerHandler handler) override;
    void stop(const Tasks::WorkerEntry &worker, const Tasks::StopOrder &order, Duration timeout,
              Tasks::WorkerHandler handler) override;
    void setPace(const Tasks::WorkerEntry &worker, const Tasks::PaceOrder &order, Duration timeout,
                 Tasks::WorkerHandler handler) override;
    void renew(const Tasks::WorkerEntry &worker, const Tasks::RenewOrder &order, Duration timeout,
               Tasks::WorkerHandler handler) override;

    /// While set and in the future, answers reach the instance at that time. Null: never suspended.
    std::shared_ptr<const std::optional<TimePoint>> suspendedUntil;

private:
    using Action = std::function<Tasks::WorkerAnswer()>;

    void order(const std::string &id, Duration timeout, const Tasks::WorkerHandler &handler,
               const Action &action);
    void answer(const Tasks::WorkerHandler &handler, Tasks::WorkerAnswer answer, Duration delay);
    bool reaches(const std::string &id) const;

    FakeWorkers &workers;
    std::string instance;
    std::shared_ptr<const bool> alive;
};

} // namespace Hibiscus::Coordination::Test
