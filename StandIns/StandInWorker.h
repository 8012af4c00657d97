#pragma once

#include <Endpoint/WorkerMessage.h>
#include <StandIns/RunLog.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Hibiscus {

/// What is wrong with the stand-in worker at present.
struct WorkerFaults
{
    bool failEverything = false; ///< Each task that starts fails at once.
    bool hang = false; ///< Tasks that start now never end by themselves.
    std::uint32_t loseAnswers = 0; ///< So many answers to come are lost; Collect loses none.
    std::uint32_t lateMs = 0; ///< Collect shows a report only after this time.
    bool crossed = false; ///< Collect shows the latest report first.
    bool die = false; ///< The process ends at once; kept by the program.
    bool leaving = false; ///< Not a fault: takes no new work.

    bool operator==(const WorkerFaults &) const = default;
};

/// Stands in for a worker: owners by lease and epoch, tasks under leases, every task id started
/// once at most. A state machine for tests and for the program around it; not thread-safe.
///
/// A task runs for its declared run time, or as its payload says: {"runMs": 5, "fail": true}.
/// Its result is {"task", "worker", "echo"} with the payload under "echo".
class StandInWorker
{
public:
    struct Settings
    {
        std::string name;
        std::string incarnation;
        std::uint16_t slots = 8;
        std::uint32_t memoryMiB = 0; ///< 0 means no limit.
        Duration loadLag = seconds(1); ///< Age of the load that is reported.
    };

    explicit StandInWorker(const Settings &settings);

    /// Carries out one request. A Collect answers at once with what there is; whoever calls waits.
    WorkerReply execute(const WorkerRequest &request, TimePoint now);

    /// Ends what is due: tasks that are finished, leases that have lapsed.
    void advance(TimePoint now);

    /// When, after `now`, the next task, lease or late report is due, if any is.
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
        TimePoint leaseEnd; ///< Of the reservation, or of the running task.
        std::optional<TimePoint> finishesAt; ///< Empty for a task that hangs.
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
    std::string owner; ///< Empty if there is none or it has released.
    std::uint64_t epoch = 0;
    TimePoint ownerLeaseEnd;
    Tasks tasks; ///< Every id ever seen.
    std::set<std::string, std::less<>> liveTasks; ///< Reserved or running.
    std::map<std::uint64_t, std::string>
        tasksByReportSequence; ///< Latest report of each task still kept.
    std::uint64_t lastSequence = 0;
    double reportedLoad = 0.0;
    double sampledLoad = 0.0;
    TimePoint sampledAt;
    WorkerFaults activeFaults;
    RunLog taskRunLog;
};

} // namespace Hibiscus
