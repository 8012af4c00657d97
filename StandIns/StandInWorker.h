#pragma once

#include <Endpoint/WorkerMessage.h>
#include <StandIns/RunLog.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Hibiscus {

/// Faults that are injected into the stand-in worker.
struct WorkerFaults
{
    bool failEverything = false; ///< Each task that starts fails immediately.
    bool hang = false; ///< Tasks that start during this fault never finish by themselves.
    std::uint32_t loseAnswers = 0; ///< Number of next replies that are lost, except to Collect.
    std::uint32_t lateMs = 0; ///< Delay until Collect returns a report.
    bool crossed = false; ///< Collect returns reports in reverse order.
    bool die = false; ///< The process exits immediately; done by the program.
    bool leaving = false; ///< Not a fault: the worker accepts no new work.

    bool operator==(const WorkerFaults &) const = default;
};

/// Simulates a worker: ownership by lease and epoch, tasks under leases, each task id started at
/// most once. A state machine for tests and for the stand-in program; not thread-safe.
///
/// A task runs for its declared run time unless its payload sets the run time or a failure, e.g.
/// {"runMs": 5, "fail": true}. Its result is {"task", "worker", "echo"}, where "echo" holds the
/// payload.
class StandInWorker
{
public:
    struct Settings
    {
        std::string name;
        std::string incarnation;
        std::uint16_t slots = 8;
        std::uint32_t memoryMiB = 0; ///< 0 means no limit.
        /// Minimum time between two samples of the load. Replies report the sample before the
        /// latest one, so that the reported load lags behind.
        Duration loadLag = seconds(1);
    };

    explicit StandInWorker(const Settings &settings);

    /// Executes one request. Collect returns the present reports immediately; waiting for reports
    /// is up to the caller.
    WorkerReply execute(const WorkerRequest &request, TimePoint now);

    /// Ends the tasks that have finished or whose lease has expired, then samples the load.
    void advance(TimePoint now);

    /// Time after `now` at which the next task finishes, lease expires or delayed report becomes
    /// visible, if any.
    std::optional<TimePoint> nextEvent(TimePoint now) const;

    void setFaults(const WorkerFaults &faults) { this->activeFaults = faults; }
    const WorkerFaults &faults() const { return this->activeFaults; }

    RunLog &runLog() { return this->taskRunLog; }

private:
    struct Task
    {
        TaskReport report;
        TimePoint reportVisibleFrom;
        std::uint32_t memoryMiB = 0;
        std::string payload;
        TimePoint leaseEnd; ///< Lease of the reservation or of the running task.
        std::optional<TimePoint> finishesAt; ///< Not set for a task that hangs.
        bool fails = false;
        bool throttled = false;
    };

    using Tasks = std::map<std::string, Task, std::less<>>;

    bool isFromCurrentOwner(const WorkerRequest &request) const;
    WorkerReply apply(const WorkerRequest &request, TimePoint now);
    WorkerReply acquire(const WorkerRequest &request, TimePoint now);
    WorkerReply renew(const WorkerRequest &request, TimePoint now);
    WorkerReply release(const WorkerRequest &request, TimePoint now);
    WorkerReply reserve(const WorkerRequest &request, TimePoint now);
    WorkerReply start(const WorkerRequest &request, TimePoint now);
    WorkerReply stop(const WorkerRequest &request, TimePoint now);
    WorkerReply checkpoint(const WorkerRequest &request, TimePoint now);
    WorkerReply throttle(const WorkerRequest &request, TimePoint now);
    WorkerReply acknowledge(const WorkerRequest &request, TimePoint now);
    WorkerReply collect(const WorkerRequest &request, TimePoint now);

    WorkerReply makeReply(WorkerStatus status) const;
    WorkerReply makeTaskReply(WorkerStatus status, const Task &task) const;
    WorkerReply makeStaleReply(TimePoint now) const;

    bool hasCapacity(const WorkerRequest &request, const Task *replaced) const;
    Task &addTask(const WorkerRequest &request);
    void startTask(Task &task, const WorkerRequest &request, TimePoint now);
    void endTask(Task &task, TaskState state, TimePoint now);
    void recordState(Task &task, TaskState state, TimePoint now);
    TimePoint dueTime(const Task &task) const;
    void endDueTask(Task &task, TimePoint now);
    std::string makeResult(const Task &task) const;
    void sampleLoad(TimePoint now);

    Settings settings;
    std::string owner; ///< Empty if the worker has no owner or was released.
    std::uint64_t epoch = 0;
    TimePoint ownerLeaseEnd;
    Tasks tasks; ///< By id; never removed, so that no id starts twice.
    std::set<std::string, std::less<>> liveTasks; ///< Ids of reserved and running tasks.
    /// Task id by the sequence number of the task's latest report. Acknowledged reports of ended
    /// tasks are removed.
    std::map<std::uint64_t, std::string> tasksByReportSequence;
    std::uint64_t lastSequence = 0;
    double reportedLoad = 0.0;
    double sampledLoad = 0.0;
    TimePoint sampledAt;
    WorkerFaults activeFaults;
    RunLog taskRunLog;
};

} // namespace Hibiscus
