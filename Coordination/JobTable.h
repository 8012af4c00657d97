#pragma once

#include <Tasks/TaskProgress.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Coordination {

/// What the end of a run changed.
struct EndEffect
{
    bool changed = false; ///< The job's record has to be written.
    bool jobOver = false; ///< The job has just become final.
    std::vector<Tasks::RunRef> toStop; ///< Runs that make no sense any more.
};

/// One job while the leader knows it.
struct LiveJob
{
    Tasks::Job job;
    Tasks::JobProgress progress;
    Tasks::UnixMs seenAt = 0; ///< By this leader.

    bool isOver() const { return Tasks::isFinal(this->progress.state); }
    const Tasks::Step &stepOf(const Tasks::TaskRef &ref) const
    {
        return this->job.steps[static_cast<std::size_t>(ref.step)];
    }
    /// Accelerator-seconds of the tasks that wait, by the caller's estimates; perpetual ones have
    /// none.
    double waitingWork() const;
    /// The tasks that start and end together with this one; just itself unless it is a gang's.
    std::vector<Tasks::TaskRef> together(const Tasks::TaskRef &ref) const;
};

/// Applies what happens to runs to the jobs' progress. Holds the rules on attempts, gangs, retries
/// and the jobs' final states; knows neither store nor workers.
class JobTable
{
public:
    void clear() { this->jobs.clear(); }
    LiveJob &add(Tasks::Job job, std::optional<Tasks::JobProgress> progress, Tasks::UnixMs now);
    void remove(std::string_view id);
    LiveJob *find(std::string_view id);
    const LiveJob *find(std::string_view id) const;
    std::map<std::string, LiveJob, std::less<>> &all() { return this->jobs; }
    const std::map<std::string, LiveJob, std::less<>> &all() const { return this->jobs; }

    /// Numbers and notes a new run of the task on the worker.
    static Tasks::RunRef assign(LiveJob &job, const Tasks::TaskRef &ref, std::string_view worker,
                                std::int64_t incarnation);
    static EndEffect ended(LiveJob &job, const Tasks::RunRef &run, Tasks::EndCause cause,
                           std::string_view checkpoint, Tasks::UnixMs now);
    static EndEffect cancel(LiveJob &job, Tasks::UnixMs now);

    /// Tasks of a step that may be started now: all earlier steps are done, the time has come, and
    /// of a gang all members wait. Empty if none.
    static std::vector<std::int32_t> startable(const LiveJob &job, std::int32_t occurrence,
                                               std::int32_t step);

private:
    static void finish(LiveJob &job, Tasks::JobState state, Tasks::UnixMs now, EndEffect &effect);
    static void taskDone(LiveJob &job, const Tasks::RunRef &run, Tasks::UnixMs now,
                         EndEffect &effect);
    static void taskFailed(LiveJob &job, const Tasks::RunRef &run, Tasks::UnixMs now,
                           EndEffect &effect);
    static void release(LiveJob &job, const Tasks::RunRef &run, std::string_view checkpoint,
                        EndEffect &effect);
    static void stopAll(const LiveJob &job, EndEffect &effect);

    std::map<std::string, LiveJob, std::less<>> jobs;
};

} // namespace Hibiscus::Coordination
