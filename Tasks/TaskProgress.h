#pragma once

#include <Tasks/WorkerLink.h>

#include <optional>
#include <string>
#include <vector>

namespace Hibiscus::Tasks {

/// Term time, for how long instances have led, in milliseconds; see Coordination/TermClock.h.
using TermTimeMs = std::int64_t;

enum class TaskState : std::uint8_t {
    Waiting, ///< Not assigned to a worker.
    Assigned, ///< Assignment to a worker is recorded; the start order may be in flight.
    Running, ///< The worker confirmed the start.
    Done, ///< Ended successfully, and the end is stored.
    Failed, ///< Failed as often as the job's attempts allow.
};

/// Stored progress of one task.
struct TaskProgress
{
    TaskState state = TaskState::Waiting;
    std::int32_t run = 0; ///< Run number of the last start; 0: never started.
    std::int32_t failures = 0; ///< Failed runs; those of a gang are counted at its first task.
    /// Last run that was counted as failed. Several members may report the failure of the same run
    /// of a gang, which counts once.
    std::int32_t lastFailedRun = 0;
    std::string worker; ///< Worker of the last start, while Assigned or Running.
    std::int64_t incarnation = 0; ///< Incarnation of that worker's process.
    std::string checkpoint;

    bool isOnWorker() const
    {
        return this->state == TaskState::Assigned || this->state == TaskState::Running;
    }
    bool hasEnded() const
    {
        return this->state == TaskState::Done || this->state == TaskState::Failed;
    }
    bool operator==(const TaskProgress &) const = default;
};

/// State of a job and of its tasks, by occurrence, step and index.
class JobProgress
{
public:
    JobProgress() = default;
    explicit JobProgress(const Job &job);

    JobState state = JobState::Queued;
    /// 0 until the job ends. By the time of day of the leader that noted the end, which may be off:
    /// only for the log.
    UnixMs endedAt = 0;
    /// When the final state was written; absent until then, and in records of earlier versions.
    std::optional<TermTimeMs> finalSince;
    /// A worker has begun a task of the job, which shows by a confirmed start or a listed end. An
    /// assignment alone does not count.
    bool anyTaskBegun = false;

    TaskProgress &task(const TaskRef &ref) { return this->tasks[this->offsetOf(ref)]; }
    const TaskProgress &task(const TaskRef &ref) const { return this->tasks[this->offsetOf(ref)]; }
    /// Whether the job has this task. References from workers have to be checked before use.
    bool contains(const TaskRef &ref) const;

    std::size_t taskCount() const { return this->tasks.size(); }
    TaskRef refAt(std::size_t offset) const;
    TaskProgress &at(std::size_t offset) { return this->tasks[offset]; }
    const TaskProgress &at(std::size_t offset) const { return this->tasks[offset]; }

    /// Whether all tasks of one step of one occurrence are done.
    bool isStepDone(std::int32_t occurrence, std::int32_t step) const;
    bool areAllTasksDone() const;
    bool hasTaskOnWorker() const;

    bool operator==(const JobProgress &) const = default;

private:
    std::size_t offsetOf(const TaskRef &ref) const;

    std::vector<std::int32_t> stepSizes;
    std::vector<std::size_t> stepOffsets; ///< Of each step's first task within an occurrence.
    std::size_t occurrenceSize = 0;
    std::vector<TaskProgress> tasks;
};

} // namespace Hibiscus::Tasks
