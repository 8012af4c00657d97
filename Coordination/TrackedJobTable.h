#pragma once

#include <Tasks/TaskProgress.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Coordination {

/// Effect of an event on a job: the end of a run or a cancellation.
struct JobUpdate
{
    bool changed = false; ///< The job's progress record has to be written.
    bool jobFinished = false; ///< The job has just reached a final state.
    /// Runs whose result is no longer needed.
    std::vector<Tasks::RunRef> runsToStop;
};

/// A job that the leader schedules, with its progress.
struct TrackedJob
{
    Tasks::Job job; ///< Its time of acceptance is that of the leader's JobAgeClock.
    Tasks::JobProgress progress;
    std::int64_t revision = 0; ///< Of the store, at which the job was stored.
    bool finalStateStored = false; ///< The job's final state can be read by callers.
    bool removalLogged = false;

    bool isFinished() const { return Tasks::isFinal(this->progress.state); }
    const Tasks::Step &stepOf(const Tasks::TaskRef &ref) const
    {
        return this->job.steps[static_cast<std::size_t>(ref.step)];
    }
    /// Whether callers could read the job's final state for `retention`, so that the job may be
    /// forgotten.
    bool isRetentionOver(Tasks::TermTimeMs now, Duration retention) const;
    /// Accelerator-seconds of the waiting tasks, from the caller's run time estimates. Perpetual
    /// tasks count as zero, since they never complete.
    double waitingWork() const;
    /// Notes that a worker has begun the run, if the job has its task.
    void noteBegun(const Tasks::RunRef &run);
    /// All members of the task's gang, which start and end together; only the task itself if its
    /// step is no gang.
    std::vector<Tasks::TaskRef> gangMembers(const Tasks::TaskRef &ref) const;
};

/// The jobs that the leader has read from the metadata store, by id and with their progress.
/// Finished jobs stay until their record is removed from the store. Policy/JobTable.h holds the
/// jobs of a scheduler instead. Applies events of runs to the progress of jobs. Implements the
/// rules for attempts, gangs, retries and final job states; has no access to the store or the
/// workers.
class TrackedJobTable
{
public:
    void clear() { this->jobs.clear(); }
    TrackedJob &add(Tasks::Job job, std::optional<Tasks::JobProgress> progress);
    void remove(std::string_view id);
    TrackedJob *find(std::string_view id);
    const TrackedJob *find(std::string_view id) const;
    std::map<std::string, TrackedJob, std::less<>> &all() { return this->jobs; }
    const std::map<std::string, TrackedJob, std::less<>> &all() const { return this->jobs; }

    /// Records a new run of the task on the worker and returns its reference.
    static Tasks::RunRef assign(TrackedJob &job, const Tasks::TaskRef &ref, std::string_view worker,
                                std::int64_t incarnation);
    static JobUpdate endRun(TrackedJob &job, const Tasks::RunRef &run, Tasks::EndCause cause,
                            std::string_view checkpoint, Tasks::UnixMs now);
    static JobUpdate cancel(TrackedJob &job, Tasks::UnixMs now);

    /// Indexes of the step's tasks that may start: all steps that it depends on are done and, for a
    /// gang, all members are waiting. The caller checks the due time of the occurrence.
    static std::vector<std::int32_t> startableTasks(const TrackedJob &job, std::int32_t occurrence,
                                                    std::int32_t step);

private:
    static void finish(TrackedJob &job, Tasks::JobState state, Tasks::UnixMs now,
                       JobUpdate &update);
    static JobUpdate endEarlierRun(TrackedJob &job, const Tasks::RunRef &run, Tasks::EndCause cause,
                                   Tasks::UnixMs now);
    static void completeTask(TrackedJob &job, const Tasks::RunRef &run, Tasks::UnixMs now,
                             JobUpdate &update);
    static void failTask(TrackedJob &job, const Tasks::RunRef &run, Tasks::UnixMs now,
                         JobUpdate &update);
    static void requeueTask(TrackedJob &job, const Tasks::RunRef &run, std::string_view checkpoint,
                            JobUpdate &update);
    static void addRunsToStop(const TrackedJob &job, JobUpdate &update);

    std::map<std::string, TrackedJob, std::less<>> jobs;
};

} // namespace Hibiscus::Coordination
