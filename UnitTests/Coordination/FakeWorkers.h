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

/// What a task does, told by its payload:
/// "RUNTIME_MS[,fail][,gang=N][,serve=TARGET_MS][,fill][,permit][,again]".
struct TaskScript
{
    Duration runTime = seconds(1);
    bool fails = false;
    std::int32_t gang = 0; ///< Members of its gang; 0: none.
    std::int32_t target = 0; ///< Of its response times, in ms; 0: it serves nobody.
    bool bestEffort = false; ///< Slows what serves beside it.
    bool needsPermit = false;
    bool restartsWhenDone = false; ///< To be started again also after it was done.
};
TaskScript parseScript(const std::string &payload);

/// Something that broke a promise, in words.
using Violations = std::vector<std::string>;

/// The platform's workers: fencing, leases on their own clocks, ends that are kept until they are
/// acknowledged. Notes every start, and what must not happen.
class FakeWorkers
{
public:
    explicit FakeWorkers(SimClock &clock)
        : clock(clock)
    {}

    /// Returns the worker's entry for the registry.
    Tasks::WorkerEntry add(const std::string &id, const std::string &rack);
    /// All that runs there is gone; nothing of before is known.
    Tasks::WorkerEntry restart(const std::string &id);
    void kill(const std::string &id);

    /// Instances that a worker can't be reached from; both directions.
    std::map<std::string, std::set<std::string>> unreachableWorkers; ///< Instance to workers.
    /// Orders to these workers are carried out late and not answered.
    std::set<std::string> delayedWorkers;
    Duration orderDelay = seconds(3);
    Duration latency = milliseconds(1); ///< One way.
    Duration stopTime = milliseconds(300);
    Duration gangWait = seconds(3);
    /// No task of a job may start later than this after its cancellation was acknowledged.
    Duration cancellationBound = seconds(3);
    /// Whether a start that needs a permit is let in.
    std::function<bool(const std::string &worker, const Tasks::StartOrder &)> permitCheck;
    double baseResponseTime = 100.0; ///< Response times in ms of a task that serves alone.
    double bestEffortDelay = 300.0; ///< Added by each task that fills, at full pace.
    /// Response times may be over their target for so long because of what fills.
    Duration maxOverTargetTime = seconds(4);
    std::size_t paceOrders = 0;
    std::size_t permitRejections = 0;

    std::size_t runningOn(const std::string &id) const;
    std::size_t runningTasks() const;
    /// Tasks of the job that run.
    std::size_t runningTasksOf(const std::string &job) const;
    /// Tasks that run at less than their full pace.
    std::size_t throttledTasks() const;
    bool runsJob(const std::string &id, const std::string &job) const;
    std::size_t startsOf(const std::string &job) const;
    Violations violations;
    /// Jobs whose cancellation was acknowledged, and when.
    std::map<std::string, TimePoint> cancelledAt;

    class View;

private:
    struct Task
    {
        Tasks::RunRef run;
        TaskScript script;
        Duration left{};
        TimePoint resumedAt{};
        bool isWorking = false;
        std::int32_t pace = 100; ///< Percent.
        std::optional<TimePoint> overTargetSince;
        std::uint64_t serial = 0;
    };
    struct Machine
    {
        Tasks::WorkerEntry entry;
        bool alive = true;
        TimePoint startedAt{};
        std::int64_t token = 0;
        std::int64_t leaseUntil = 0; ///< On its own clock, in ms.
        Duration leaseLimit = seconds(6);
        Tasks::Resources used;
        std::map<std::pair<std::string, Tasks::TaskRef>, Task> running;
        std::map<std::pair<std::string, Tasks::TaskRef>, std::int32_t> endedRuns;
        std::vector<Tasks::EndedTask> ended;
        std::int64_t lastEnd = 0;
        std::vector<std::function<void()>> waiting; ///< Polls that wait for an end.
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
    double loadOf(const Machine &machine, const Task &task) const;
    void checkResponseTimes(const std::string &id);
    Tasks::WorkerAnswer report(const Machine &machine) const;
    void checkStart(const std::string &id, const Tasks::RunRef &run, bool restartsWhenDone);
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
