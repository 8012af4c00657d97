#include <Coordination/TaskDispatcher.h>
#include <Tasks/JobRecord.h>

#include <algorithm>
#include <utility>

// Begin and end of a TaskDispatcher's term: what a leader takes over from its predecessors.
namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::JobProgress;
using Tasks::TaskProgress;
using Tasks::TaskRef;
using Tasks::TaskState;

namespace {

/// Keeps all tasks of a job whose progress is unknown from starting, since each of them may be
/// running or done. The job's stored record stays as it is until the job is cancelled.
void blockTasks(TrackedJob &job)
{
    for (std::size_t i = 0; i < job.progress.taskCount(); i++)
        job.progress.at(i).state = TaskState::Failed;
}

} // namespace

void TaskDispatcher::elected(const LeaderElection::Term &term, TimePoint now)
{
    this->generation++;
    this->phase = Phase::Loading;
    this->jobs.clear();
    this->cancelledIds.clear();
    this->jobsListed = false;
    this->workersListed = false;
    this->planPending = false;
    this->inputs.clear();
    this->permits.clear();
    this->runTimes.clear();
    this->risks.clear();
    this->shortagesReportedAt.clear();
    this->published.begin(term.token);
    this->keptOrders.clear();
    this->fleet.begin(term.token, term.formersEnded);
    this->writer.begin(term.token);
    this->tombstones.begin(term.token);
    this->jobWatch.start(now);
    this->workerWatch.start(now);
    this->evacuations.start(now);
    this->progress.start();
    this->silence.begin(term.lastLeader);
    this->termClock.begin();
    this->ageClock.begin(this->wallClock.nowMs(), now);
    this->speeds.begin();
}

void TaskDispatcher::deposed()
{
    this->generation++;
    this->phase = Phase::Idle;
    this->writer.stop();
    this->tombstones.stop();
    this->published.stop();
    this->silence.stop();
    this->termClock.stop();
    this->speeds.stop();
    this->jobWatch.stop();
    this->workerWatch.stop();
    this->evacuations.stop();
    this->progress.stop();
}

void TaskDispatcher::termConfirmed(TimePoint now)
{
    if (this->phase != Phase::Leading)
        return;
    this->fleet.resumePolls(now);
    this->evacuations.refresh(now);
    this->plan(now);
}

void TaskDispatcher::beginWhenLoaded(TimePoint now)
{
    const bool loaded = this->jobsListed && this->workersListed && this->progress.isComplete()
        && this->silence.isRead() && this->termClock.isRead() && this->evacuations.isListed();
    if (this->phase != Phase::Loading || !loaded)
        return;
    this->phase = Phase::Leading;
    for (const auto &[id, record] : this->progress.records())
        this->writer.setRevision(id, record.revision);
    for (auto &[id, job] : this->jobs.all())
        this->restoreJob(job, now);
    this->restoreRetention(now);
    this->restoreAges(now);
    for (const std::string &id : std::set<std::string>(this->cancelledIds))
        this->cancelJob(id, now);
    this->progress.discardRecords();
    this->fleet.openSessions(now);
    this->logger.logEvent(
        LogKind::Leadership, "took over",
        {{"jobs", this->jobs.all().size()}, {"workers", this->fleet.all().size()}}, now);
    this->scheduleTick();
    this->schedulePlan();
}

void TaskDispatcher::restoreJob(TrackedJob &job, TimePoint now)
{
    const auto record = this->progress.records().find(job.job.id);
    if (record == this->progress.records().end())
        return;
    tl::expected<JobProgress, std::string> progress
        = Tasks::decodeProgress(record->second.value, job.job);
    if (!progress) {
        this->logger.logEvent(LogKind::Fault, "progress record can't be read",
                              {{"request", job.job.id},
                               {"revision", record->second.revision},
                               {"error", progress.error()},
                               {"effect", "no task of the job starts; it can be cancelled"}},
                              now);
        blockTasks(job);
        return;
    }
    job.progress = std::move(*progress);
    job.finalStateStored = job.isFinished();
    this->adoptRuns(job, record->second.revision, now);
}

void TaskDispatcher::restoreAges(TimePoint now)
{
    for (auto &[id, job] : this->jobs.all()) {
        const AgeBounds bounds = this->termClock.ageOf(job.revision, now);
        this->setAge(job, JobAgeClock::ageOf(this->statedAge(job), bounds), now);
    }
}

/// Records of earlier versions have no term time. Their jobs count as finished now, by each leader
/// that takes them over, and no such records are added.
void TaskDispatcher::restoreRetention(TimePoint now)
{
    Tasks::TermTimeMs latest = 0;
    for (const auto &[id, job] : this->jobs.all())
        latest = std::max(latest, job.progress.finalSince.value_or(0));
    this->termClock.start(latest, this->wallClock.nowMs(), now);
    for (auto &[id, job] : this->jobs.all()) {
        if (job.isFinished() && !job.progress.finalSince)
            job.progress.finalSince = this->termClock.reading(now);
    }
}

void TaskDispatcher::adoptRuns(TrackedJob &job, std::int64_t revision, TimePoint now)
{
    for (std::size_t i = 0; i < job.progress.taskCount(); i++) {
        const TaskProgress &task = job.progress.at(i);
        if (!task.isOnWorker())
            continue;
        const TaskRef ref = job.progress.refAt(i);
        WorkerFleet::Run run = describeRun(job, ref);
        run.ref = {job.job.id, ref, task.run};
        this->logger.logEvent(LogKind::Task, "run taken over",
                              {{"request", job.job.id},
                               {"task", Tasks::textOf(ref)},
                               {"run", task.run},
                               {"worker", task.worker},
                               {"incarnation", task.incarnation},
                               {"revision", revision}},
                              now);
        this->fleet.adopt(task.worker, task.incarnation, std::move(run), now);
    }
}

} // namespace Hibiscus::Coordination
