#pragma once

#include <Tasks/TaskProgress.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Coordination {

/// What the end of a run changed.
struct JobUpdate
{
    bool changed = false; ///< The job's record has to be written.
    bool jobFinished = false; ///< The job has just become final.
    std::vector<Tasks::RunRef> runsToStop; ///< Runs that make no sense any more.
};

/// One job while the leader knows it.
struct TrackedJob
{
    Tasks::Job job;
    Tasks::JobProgress progress;
    Tasks::UnixMs seenAt = 0; ///< By this leader.

    bool isFinished() const { return Tasks::isFinal(this->progress.state); }
    const Tasks::Step &stepOf(const Tasks::TaskRef &ref) const
    {
        return this->job.steps[static_cast<std::size_t>(ref.step)];
    }
    /// Accelerator-seconds of the tasks that wait, by the caller's estimates; perpetual ones have
    /// none.
    double waitingWork() const;
    /// The tasks that start and end together with this one; just itself unless it is a gang's.
    std::vector<Tasks::TaskRef> gangMembers(const Tasks::TaskRef &ref) const;
};

/// Applies what happens to runs to the jobs' progress. Holds the rules on attempts, gangs, retries
/// and the jobs' final states; knows neither store nor workers.
class JobTable
{
public:
    void clear() { this->jobs.clear(); }
    TrackedJob &add(Tasks::Job job, std::optional<Tasks::JobProgress> progress, Tasks::UnixMs now);
    void remove(std::string_view id);
    TrackedJob *find(std::string_view id);
    const TrackedJob *find(std::string_view id) const;
    std::map<std::string, TrackedJob, std::less<>> &all() { return this->jobs; }
    const std::map<std::string, TrackedJob, std::less<>> &all() const { return this->jobs; }

    /// Numbers and notes a new run of the task on the worker.
    static Tasks::RunRef assign(TrackedJob &job, const Tasks::TaskRef &ref, std::string_view worker,
                                std::int64_t incarnation);
    static JobUpdate endRun(TrackedJob &job, const Tasks::RunRef &run, Tasks::EndCause cause,
                            std::string_view checkpoint, Tasks::UnixMs now);
    static JobUpdate cancel(TrackedJob &job, Tasks::UnixMs now);

    /// Tasks of a step that may be started now: all earlier steps are done, the time has come, and
    /// of a gang all members wait. Empty if none.
    static std::vector<std::int32_t> startableTasks(const TrackedJob &job, std::int32_t occurrence,
                                                    std::int32_t step);

private:
    static void finish(TrackedJob &job, Tasks::JobState state, Tasks::UnixMs now,
                       JobUpdate &update);
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
