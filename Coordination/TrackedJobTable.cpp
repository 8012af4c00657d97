#include <Coordination/TrackedJobTable.h>

#include <algorithm>

namespace Hibiscus::Coordination {

using Tasks::EndCause;
using Tasks::Job;
using Tasks::JobProgress;
using Tasks::JobState;
using Tasks::RunRef;
using Tasks::Step;
using Tasks::TaskProgress;
using Tasks::TaskRef;
using Tasks::TaskState;
using Tasks::UnixMs;

std::vector<TaskRef> TrackedJob::gangMembers(const TaskRef &ref) const
{
    const Step &step = this->stepOf(ref);
    if (!step.gang)
        return {ref};
    std::vector<TaskRef> members;
    members.reserve(static_cast<std::size_t>(step.count));
    for (std::int32_t index = 0; index < step.count; index++)
        members.push_back({ref.occurrence, ref.step, index});
    return members;
}

bool TrackedJob::isRetentionOver(Tasks::TermTimeMs now, Duration retention) const
{
    const bool mayBeForgotten
        = this->isFinished() && this->finalStateStored && !this->progress.hasTaskOnWorker();
    return mayBeForgotten && this->progress.finalSince
        && now - *this->progress.finalSince > toMs(retention);
}

double TrackedJob::waitingWork() const
{
    double sum = 0.0;
    for (std::size_t i = 0; i < this->progress.taskCount(); i++) {
        if (this->progress.at(i).state != TaskState::Waiting)
            continue;
        const Step &step = this->stepOf(this->progress.refAt(i));
        if (step.perpetual)
            continue;
        const std::chrono::duration<double> runTime = step.estimate;
        sum += runTime.count() * static_cast<double>(step.need.accelerators);
    }
    return sum;
}

void TrackedJob::noteBegun(const RunRef &run)
{
    if (this->progress.contains(run.task))
        this->progress.anyTaskBegun = true;
}

TrackedJob &TrackedJobTable::add(Job job, std::optional<JobProgress> progress)
{
    const std::string id = job.id;
    TrackedJob live;
    live.progress = progress ? std::move(*progress) : JobProgress(job);
    live.job = std::move(job);
    return this->jobs.insert_or_assign(id, std::move(live)).first->second;
}

void TrackedJobTable::remove(std::string_view id)
{
    const auto found = this->jobs.find(id);
    if (found != this->jobs.end())
        this->jobs.erase(found);
}

TrackedJob *TrackedJobTable::find(std::string_view id)
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

const TrackedJob *TrackedJobTable::find(std::string_view id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

RunRef TrackedJobTable::assign(TrackedJob &job, const TaskRef &ref, std::string_view worker,
                               std::int64_t incarnation)
{
    // The members of a gang share one run number, which is higher than any earlier one of theirs.
    std::int32_t run = 0;
    for (const TaskRef &member : job.gangMembers(ref)) {
        const TaskProgress &progress = job.progress.task(member);
        const bool assignedNow = progress.isOnWorker();
        run = std::max(run, assignedNow ? progress.run : progress.run + 1);
    }
    TaskProgress &task = job.progress.task(ref);
    task.state = TaskState::Assigned;
    task.run = run;
    task.worker = worker;
    task.incarnation = incarnation;
    if (job.progress.state == JobState::Queued)
        job.progress.state = JobState::Running;
    return {job.job.id, ref, run};
}

JobUpdate TrackedJobTable::endRun(TrackedJob &job, const RunRef &run, EndCause cause,
                                  std::string_view checkpoint, UnixMs now)
{
    JobUpdate update;
    if (!job.progress.contains(run.task))
        return update;
    const TaskProgress &task = job.progress.task(run.task);
    if (!task.isOnWorker() || task.run != run.run)
        return endEarlierRun(job, run, cause, now);
    update.changed = true;
    const bool isPerpetual = job.stepOf(run.task).perpetual;
    if (cause == EndCause::Done && !isPerpetual && !job.isFinished()) {
        completeTask(job, run, now, update);
        return update;
    }
    requeueTask(job, run, checkpoint, update);
    if (cause == EndCause::Failed && !isPerpetual && !job.isFinished())
        failTask(job, run, now, update);
    return update;
}

/// A run that counted as lost may have been executed after all, because its start order was late.
/// Its outcome counts: a task that ended as done must not start again, and a failure is an attempt.
JobUpdate TrackedJobTable::endEarlierRun(TrackedJob &job, const RunRef &run, EndCause cause,
                                         UnixMs now)
{
    JobUpdate update;
    const bool isOpen = !job.isFinished() && !job.progress.task(run.task).hasEnded()
        && !job.stepOf(run.task).perpetual;
    if (!isOpen)
        return update;
    const std::vector<TaskRef> members = job.gangMembers(run.task);
    if (cause == EndCause::Done) {
        update.changed = true;
        for (const TaskRef &member : members) {
            const TaskProgress &task = job.progress.task(member);
            if (task.isOnWorker())
                update.runsToStop.push_back({job.job.id, member, task.run});
        }
        completeTask(job, run, now, update);
    } else if (cause == EndCause::Failed
               && run.run > job.progress.task(members.front()).lastFailedRun) {
        update.changed = true;
        failTask(job, run, now, update);
    }
    return update;
}

void TrackedJobTable::completeTask(TrackedJob &job, const RunRef &run, UnixMs now,
                                   JobUpdate &update)
{
    for (const TaskRef &member : job.gangMembers(run.task))
        job.progress.task(member).state = TaskState::Done;
    if (job.progress.areAllTasksDone())
        finish(job, JobState::Completed, now, update);
}

void TrackedJobTable::failTask(TrackedJob &job, const RunRef &run, UnixMs now, JobUpdate &update)
{
    TaskProgress &counter = job.progress.task(job.gangMembers(run.task).front());
    if (counter.lastFailedRun == run.run)
        return;
    counter.lastFailedRun = run.run;
    counter.failures++;
    if (counter.failures < job.job.maxAttempts)
        return;
    for (const TaskRef &member : job.gangMembers(run.task)) {
        TaskProgress &task = job.progress.task(member);
        if (!task.isOnWorker())
            task.state = TaskState::Failed;
    }
    finish(job, JobState::Failed, now, update);
}

/// Puts the task back to waiting and stops the rest of its gang, which can't make progress without
/// it.
void TrackedJobTable::requeueTask(TrackedJob &job, const RunRef &run, std::string_view checkpoint,
                                  JobUpdate &update)
{
    TaskProgress &task = job.progress.task(run.task);
    task.state = TaskState::Waiting;
    for (const TaskRef &member : job.gangMembers(run.task)) {
        TaskProgress &other = job.progress.task(member);
        if (!checkpoint.empty())
            other.checkpoint = checkpoint;
        if (other.isOnWorker())
            update.runsToStop.push_back({job.job.id, member, other.run});
    }
}

JobUpdate TrackedJobTable::cancel(TrackedJob &job, UnixMs now)
{
    JobUpdate update;
    if (!job.isFinished())
        finish(job, JobState::Cancelled, now, update);
    return update;
}

void TrackedJobTable::finish(TrackedJob &job, JobState state, UnixMs now, JobUpdate &update)
{
    job.progress.state = state;
    job.progress.endedAt = now;
    update.changed = true;
    update.jobFinished = true;
    addRunsToStop(job, update);
}

void TrackedJobTable::addRunsToStop(const TrackedJob &job, JobUpdate &update)
{
    for (std::size_t i = 0; i < job.progress.taskCount(); i++) {
        const TaskProgress &task = job.progress.at(i);
        if (task.isOnWorker())
            update.runsToStop.push_back({job.job.id, job.progress.refAt(i), task.run});
    }
}

std::vector<std::int32_t>
TrackedJobTable::startableTasks(const TrackedJob &job, std::int32_t occurrence, std::int32_t number)
{
    const Step &step = job.job.steps[static_cast<std::size_t>(number)];
    for (const std::int32_t earlier : step.after) {
        if (!job.progress.isStepDone(occurrence, earlier))
            return {};
    }
    std::vector<std::int32_t> waiting;
    for (std::int32_t index = 0; index < step.count; index++) {
        if (job.progress.task({occurrence, number, index}).state == TaskState::Waiting)
            waiting.push_back(index);
    }
    const bool whole = waiting.size() == static_cast<std::size_t>(step.count);
    return step.gang && !whole ? std::vector<std::int32_t>{} : waiting;
}

} // namespace Hibiscus::Coordination
