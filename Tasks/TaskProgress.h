#pragma once

#include <Tasks/WorkerLink.h>

#include <string>
#include <vector>

namespace Hibiscus::Tasks {

enum class TaskState : std::uint8_t {
    Waiting, ///< Not on any worker.
    Assigned, ///< Recorded for a worker; its start may be on its way.
    Running, ///< The worker confirmed the start.
    Done, ///< Its end is stored.
    Failed, ///< It has failed as often as it may.
};

/// What the store keeps of one task.
struct TaskProgress
{
    TaskState state = TaskState::Waiting;
    std::int32_t run = 0; ///< Of the last start; 0: never started.
    std::int32_t failures = 0; ///< Of a gang: counted at its first task.
    std::int32_t lastFailedRun = 0; ///< A gang's run counts once, whichever members list it.
    std::string worker; ///< Of the last start, while Assigned or Running.
    std::int64_t incarnation = 0; ///< Of that worker's process.
    std::string checkpoint;

    bool isOnWorker() const
    {
        return this->state == TaskState::Assigned || this->state == TaskState::Running;
    }
    bool isOver() const
    {
        return this->state == TaskState::Done || this->state == TaskState::Failed;
    }
    bool operator==(const TaskProgress &) const = default;
};

/// A job's state and that of its tasks, by occurrence, step and index.
class JobProgress
{
public:
    JobProgress() = default;
    explicit JobProgress(const Job &job);

    JobState state = JobState::Queued;
    UnixMs endedAt = 0; ///< 0 while the job is not over.

    TaskProgress &task(const TaskRef &ref) { return this->tasks[this->offsetOf(ref)]; }
    const TaskProgress &task(const TaskRef &ref) const { return this->tasks[this->offsetOf(ref)]; }
    /// Whether the job has such a task; names from workers have to be checked.
    bool contains(const TaskRef &ref) const;

    std::size_t taskCount() const { return this->tasks.size(); }
    TaskRef refAt(std::size_t offset) const;
    TaskProgress &at(std::size_t offset) { return this->tasks[offset]; }
    const TaskProgress &at(std::size_t offset) const { return this->tasks[offset]; }

    /// Whether all tasks of one step of one occurrence are done.
    bool isStepDone(std::int32_t occurrence, std::int32_t step) const;
    bool areAllTasksDone() const;
    bool hasStartedTask() const;
    bool hasTaskOnWorker() const;

    bool operator==(const JobProgress &) const = default;

private:
    std::size_t offsetOf(const TaskRef &ref) const;

    std::vector<std::int32_t> stepSizes;
    std::vector<std::size_t> stepOffsets; ///< Of each step's first task in an occurrence.
    std::size_t occurrenceSize = 0;
    std::vector<TaskProgress> tasks;
};

} // namespace Hibiscus::Tasks
