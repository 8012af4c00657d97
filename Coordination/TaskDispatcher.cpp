#include <Coordination/QueueReport.h>
#include <Coordination/StoreKeys.h>
#include <Coordination/TaskDispatcher.h>
#include <Tasks/JobRecord.h>
#include <Tasks/JobTombstone.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::EndCause;
using Tasks::Job;
using Tasks::RunRef;
using Tasks::StoredItem;
using Tasks::TaskProgress;
using Tasks::TaskState;

namespace {

/// How far the wall clock of a worker may be ahead of the leader's.
constexpr std::int64_t maxClockLeadMs = toMs(std::chrono::hours(24));

/// From a job's acceptance until it is stored, if the store answers.
constexpr Duration longestUsualSubmission = seconds(1);

/// Run time that the run would have had on a typical worker.
Duration typicalRunTime(const RunEnd &end)
{
    const std::chrono::duration<double> typical(toSeconds(end.runTime) / end.slowness);
    return std::chrono::duration_cast<Duration>(typical);
}

} // namespace

TaskDispatcher::TaskDispatcher(Tasks::MetadataStore &store, Tasks::WorkerLink &link,
                               TimerService &timers, const WallClock &wallClock,
                               EventLogger &logger, LeaderElection &election,
                               Tasks::PlacementService &placement, const Settings &settings,
                               EntryDecoder decoder, GuaranteeLookup guarantees)
    : store(store)
    , timers(timers)
    , wallClock(wallClock)
    , logger(logger)
    , election(election)
    , settings(settings)
    , decoder(std::move(decoder))
    , fleet(link, timers, logger, settings.fleet, *this,
            [this] { return this->election.leaseEnd(); })
    , writer(
          store, timers, logger, settings.writer,
          {[this](const std::string &job, TimePoint now) { return this->encodeRecord(job, now); },
           [this](TimePoint now) { this->election.handleOtherLeader(now); },
           [this](bool reachable, TimePoint now) {
               this->logger.logEvent(
                   LogKind::Dependency,
                   reachable ? "store takes records again" : "store takes no records", {}, now);
           }})
    , tombstones(store, logger, {settings.statusRetention, settings.writer.commitTimeout.longest})
    , published(store, settings.writer.commitTimeout.longest,
                [this](const std::string &key, TimePoint now) {
                    if (key == StoreKeys::silence && this->isLeading(now))
                        this->silence.update(this->election.termName());
                })
    , silence(store, this->published, logger, this->fleet, settings.silenceReadTimeout,
              [this](TimePoint now) { this->beginWhenLoaded(now); })
    , termClock(store, this->published, logger, settings.termClock,
                [this](TimePoint now) { this->beginWhenLoaded(now); })
    , jobWatch(store, timers, {.prefix = StoreKeys::jobs},
               {[this](const StoredItem &item, TimePoint now) { this->jobKeyChanged(item, now); },
                [this](TimePoint now) {
                    this->jobsListed = true;
                    this->beginWhenLoaded(now);
                },
                [](bool, TimePoint) {}})
    , workerWatch(
          store, timers, {.prefix = settings.workerRegistry},
          {[this](const StoredItem &item, TimePoint now) { this->workerKeyChanged(item, now); },
           [this](TimePoint now) {
               this->workersListed = true;
               this->beginWhenLoaded(now);
           },
           [](bool, TimePoint) {}})
    , evacuations(
          store, timers, logger, settings.evacuations,
          [this](TimePoint now) { this->evacuationsChanged(now); },
          [this](TimePoint now) { this->beginWhenLoaded(now); })
    , progress(store, timers, settings.progress,
               [this](TimePoint now) { this->beginWhenLoaded(now); })
    , speeds(store, this->published, logger, this->jobs, this->fleet.all(), settings.speeds)
    , risks(settings.risks)
    , departures(settings.departures)
    , permits(placement, timers, logger, settings.permits,
              [this](TimePoint) { this->schedulePlan(); })
    , inputs(jobs, fleet, runTimes, speeds.workerSpeeds(), risks, permits, std::move(guarantees),
             settings.inputs)
    , planner(settings.planner)
    , forecast(settings.forecast)
{}

bool TaskDispatcher::isLeading(TimePoint now)
{
    const bool leading = this->phase == Phase::Leading && this->election.isLeading(now);
    return leading;
}

bool TaskDispatcher::mayStart(TimePoint now)
{
    return this->isLeading(now) && this->evacuations.isCurrent(now);
}

/// Runs in an evacuated data centre go on: stopping them would throw work away, and nothing asks
/// for it. Its workers count as unusable from now on, so that plans, reservations and claims leave
/// them alone.
void TaskDispatcher::evacuationsChanged(TimePoint)
{
    this->fleet.setEvacuated(this->evacuations.dataCenters());
    this->schedulePlan();
}

void TaskDispatcher::jobKeyChanged(const StoredItem &item, TimePoint now)
{
    const StoreKeys::JobKey key = StoreKeys::parseJobKey(item.key);
    if (item.removed) {
        if (!key.cancellation) {
            this->removeJob(key.id);
            this->tombstones.noteGone(key.id);
        }
        return;
    }
    if (!key.cancellation) {
        this->addJob(item, key.id, now);
        return;
    }
    if (this->phase == Phase::Leading)
        this->cancelJob(key.id, now);
    else
        this->cancelledIds.insert(key.id);
}

void TaskDispatcher::removeJob(const std::string &id)
{
    this->jobs.remove(id);
    this->permits.removeJob(id);
}

void TaskDispatcher::addJob(const StoredItem &item, const std::string &id, TimePoint now)
{
    if (Tasks::decodeTombstone(item.value)) {
        // A job that is known had been removed from the store before, which the watch may not
        // report after a gap.
        this->removeJob(id);
        this->tombstones.noteStored(id, item.revision, now);
        return;
    }
    if (this->jobs.find(id))
        return;
    this->tombstones.noteGone(id);
    tl::expected<Job, std::string> job = Tasks::decodeJob(item.value);
    if (!job) {
        this->logger.logEvent(LogKind::Fault, "job record can't be read",
                              {{"request", id}, {"error", job.error()}}, now);
        return;
    }
    TrackedJob &added = this->jobs.add(std::move(*job), std::nullopt);
    added.revision = item.revision;
    if (this->phase == Phase::Leading)
        this->takeOn(added, now);
}

/// The job was stored after the watch had last been known to be up to date.
void TaskDispatcher::takeOn(TrackedJob &job, TimePoint now)
{
    const Duration stated = this->statedAge(job);
    const TimePoint freshAt = this->jobWatch.freshAt().value_or(now);
    const AgeBounds bounds{.most = now - freshAt + longestUsualSubmission};
    const Duration age = JobAgeClock::ageOf(stated, bounds);
    this->setAge(job, age, now);
    this->logger.logEvent(LogKind::Request, "job taken on",
                          {{"request", job.job.id},
                           {"revision", job.revision},
                           {"ageMs", toMs(stated)},
                           {"countedAgeMs", toMs(age)}},
                          now);
    this->schedulePlan();
}

Duration TaskDispatcher::statedAge(const TrackedJob &job) const
{
    return milliseconds(this->wallClock.nowMs() - job.job.acceptedAt);
}

void TaskDispatcher::setAge(TrackedJob &job, Duration age, TimePoint now)
{
    job.job.acceptedAt = this->ageClock.at(now) - toMs(age);
}

void TaskDispatcher::cancelJob(const std::string &id, TimePoint now)
{
    TrackedJob *job = this->jobs.find(id);
    if (!job) {
        this->cancelledIds.insert(id);
        return;
    }
    const JobUpdate update = TrackedJobTable::cancel(*job, this->wallClock.nowMs());
    if (!update.changed)
        return;
    this->logger.logEvent(LogKind::Request, "job cancelled",
                          {{"request", id}, {"runsToStop", update.runsToStop.size()}}, now);
    this->applyUpdate(*job, update, nullptr, now);
}

void TaskDispatcher::workerKeyChanged(const StoredItem &item, TimePoint now)
{
    const std::string id = item.key.substr(this->settings.workerRegistry.size());
    if (item.removed) {
        this->fleet.workerUnlisted(id, now);
        return;
    }
    tl::expected<Tasks::WorkerEntry, std::string> entry = this->decoder(item.key, item.value);
    // Answers of earlier incarnations are ignored, so an entry with a start time in the future
    // would silence its worker.
    if (entry && entry->incarnation > this->wallClock.nowMs() + maxClockLeadMs)
        entry = tl::unexpected(std::string("its start time is in the future"));
    if (entry) {
        this->fleet.workerListed(*entry, now);
        if (entry->draining && this->isLeading(now))
            this->stopDoomedRuns(now);
        return;
    }
    this->logger.logEvent(LogKind::Fault, "worker entry can't be used",
                          {{"worker", id}, {"error", entry.error()}}, now);
    this->fleet.workerUnlisted(id, now);
}

void TaskDispatcher::runConfirmed(const RunRef &run, TimePoint now)
{
    TrackedJob *job = this->jobs.find(run.job);
    if (!job || !job->progress.contains(run.task))
        return;
    job->noteBegun(run);
    TaskProgress &task = job->progress.task(run.task);
    if (task.run == run.run && task.state == TaskState::Assigned) {
        task.state = TaskState::Running;
        this->risks.recordStart(task.worker, job->job.service, now);
    }
    if (job->isFinished())
        this->stopRuns({&run, 1}, now);
}

void TaskDispatcher::runProgressed(const RunProgress &progress, TimePoint now)
{
    this->speeds.recordProgress(progress.run, progress.worker, progress.startedAt, progress.percent,
                                now);
}

void TaskDispatcher::runEnded(const RunEnd &end, TimePoint now)
{
    if (this->phase != Phase::Leading)
        return;
    TrackedJob *job = this->jobs.find(end.run.job);
    JobUpdate update;
    if (job) {
        job->noteBegun(end.run);
        update = TrackedJobTable::endRun(*job, end.run, end.cause, end.checkpoint,
                                         this->wallClock.nowMs());
    }
    this->logger.logEvent(LogKind::Task, "run ended",
                          {{"request", end.run.job},
                           {"task", Tasks::textOf(end.run.task)},
                           {"run", end.run.run},
                           {"worker", end.worker},
                           {"cause", Tasks::nameOf(end.cause)},
                           {"end", end.number},
                           {"tracked", end.tracked},
                           {"changed", update.changed}},
                          now);
    // An end that a former leader has counted says nothing of the worker's present state.
    const bool isNew = end.tracked || update.changed;
    if (end.cause == EndCause::Failed && isNew)
        this->fleet.reportFailure(end.worker, end.wasAtWork, now);
    if (end.cause == EndCause::Failed && isNew && !end.wasAtWork)
        this->noteFailure(end, now);
    if (end.cause == EndCause::Done)
        this->fleet.reportSuccess(end.worker);
    if (end.cause == EndCause::Done && job && end.runTime > Duration{})
        this->runTimes.recordRun(job->job.queue, typicalRunTime(end));
    const auto worker = this->fleet.all().find(end.worker);
    const bool showsSpeed = end.cause == EndCause::Done && end.runTime > Duration{}
        && worker != this->fleet.all().end();
    if (showsSpeed)
        this->speeds.recordProgress(end.run, worker->second.entry, now - end.runTime,
                                    Tasks::completePercent, now);
    const auto recorded = [this, end](TimePoint at) { this->fleet.endRecorded(end, at); };
    // An end that changes nothing may depend on an earlier change that is not stored yet: the first
    // end of a gang settles the ends of its other members.
    if (update.changed)
        this->applyUpdate(*job, update, recorded, now);
    else
        this->writer.whenStored(end.run.job, recorded, now);
}

void TaskDispatcher::noteFailure(const RunEnd &end, TimePoint now)
{
    const auto worker = this->fleet.all().find(end.worker);
    if (worker == this->fleet.all().end())
        return;
    const std::string &service = worker->second.entry.service;
    const double bound = this->settings.planner.maxGangRisk;
    const bool wasTooRisky = this->risks.riskOf(end.worker, service, now) > bound;
    this->risks.recordFailure(end.worker, service, end.run, end.wasEarly, now);
    const double risk = this->risks.riskOf(end.worker, service, now);
    if (!wasTooRisky && risk > bound)
        this->logger.logEvent(LogKind::Dependency, "worker too risky for gangs",
                              {{"worker", end.worker}, {"risk", risk}}, now);
}

void TaskDispatcher::runLost(const RunEnd &end, const char *reason, TimePoint now)
{
    if (this->phase != Phase::Leading)
        return;
    TrackedJob *job = this->jobs.find(end.run.job);
    this->logger.logEvent(LogKind::Task, "run lost",
                          {{"request", end.run.job},
                           {"task", Tasks::textOf(end.run.task)},
                           {"run", end.run.run},
                           {"worker", end.worker},
                           {"reason", reason}},
                          now);
    if (!job)
        return;
    const JobUpdate update = TrackedJobTable::endRun(*job, end.run, EndCause::LeaseExpired,
                                                     end.checkpoint, this->wallClock.nowMs());
    if (update.changed)
        this->applyUpdate(*job, update, nullptr, now);
}

void TaskDispatcher::permitRejected(const RunRef &run, std::string_view worker)
{
    this->permits.discardPermit({run.job, run.task.occurrence, run.task.step}, worker);
}

void TaskDispatcher::fenced(TimePoint now)
{
    this->fleet.stop();
    this->election.handleOtherLeader(now);
}

void TaskDispatcher::tokensUsedUp(TimePoint now)
{
    this->fleet.stop();
    this->election.endTermEarly("the fencing tokens of the term are used up", now);
}

void TaskDispatcher::fleetChanged(TimePoint)
{
    this->schedulePlan();
}

void TaskDispatcher::silenceEnded(TimePoint now)
{
    if (this->isLeading(now))
        this->silence.update(this->election.termName());
}

void TaskDispatcher::applyUpdate(TrackedJob &job, const JobUpdate &update,
                                 RecordWriter::StoredHandler afterStored, TimePoint now)
{
    if (update.jobFinished) {
        this->reportFinishedJob(job, now);
        this->writer.scheduleWrite(job.job.id, [this, id = job.job.id](TimePoint) {
            if (TrackedJob *stored = this->jobs.find(id))
                stored->finalStateStored = true;
        });
    }
    this->writer.scheduleWrite(job.job.id, std::move(afterStored));
    this->stopRuns(update.runsToStop, now);
    this->schedulePlan();
}

void TaskDispatcher::reportFinishedJob(const TrackedJob &job, TimePoint now)
{
    const std::int64_t ageMs = this->ageClock.at(now) - job.job.acceptedAt;
    this->logger.logEvent(LogKind::Request, "job over",
                          {{"request", job.job.id},
                           {"queue", job.job.queue},
                           {"customer", job.job.customer},
                           {"state", Tasks::nameOf(job.progress.state)},
                           {"ageMs", ageMs},
                           {"objectiveMs", toMs(job.job.objective(job.job.criticalPath()))}},
                          now);
    if (this->jobFinished)
        this->jobFinished(job.job, job.progress.state,
                          milliseconds(std::max<std::int64_t>(0, ageMs)));
}

/// Until a final state is stored, each attempt to store it counts as its beginning, since callers
/// can't read it before.
std::string TaskDispatcher::encodeRecord(const std::string &id, TimePoint now)
{
    TrackedJob *job = this->jobs.find(id);
    const Tasks::TermTimeMs termTime = this->termClock.reading(now);
    if (!job || job->isRetentionOver(termTime, this->settings.statusRetention))
        return {};
    if (job->isFinished() && !job->finalStateStored)
        job->progress.finalSince = termTime;
    return Tasks::encodeProgress(job->progress);
}

/// Removes jobs from the store whose status retention is over. The watch then removes them from the
/// job table.
void TaskDispatcher::removeExpired(TimePoint now)
{
    const Tasks::TermTimeMs termTime = this->termClock.reading(now);
    for (auto &[id, job] : this->jobs.all()) {
        if (!job.isRetentionOver(termTime, this->settings.statusRetention))
            continue;
        if (!std::exchange(job.removalLogged, true))
            this->logRemoval(job, termTime, now);
        this->writer.scheduleWrite(id, nullptr);
    }
}

void TaskDispatcher::logRemoval(const TrackedJob &job, Tasks::TermTimeMs termTime, TimePoint now)
{
    this->logger.logEvent(LogKind::Request, "finished job forgotten",
                          {{"request", job.job.id},
                           {"state", Tasks::nameOf(job.progress.state)},
                           {"keptMs", termTime - *job.progress.finalSince},
                           {"retentionMs", toMs(this->settings.statusRetention)},
                           {"timeOfDayElapsedMs", this->wallClock.nowMs() - job.progress.endedAt}},
                          now);
}

void TaskDispatcher::scheduleTick()
{
    this->timers.after(this->settings.tickInterval,
                       [this, generation = this->generation](TimePoint now) {
                           if (generation != this->generation)
                               return;
                           this->tick(now);
                           this->scheduleTick();
                       });
}

void TaskDispatcher::tick(TimePoint now)
{
    if (!this->isLeading(now))
        return;
    this->termClock.advance(now);
    this->removeExpired(now);
    this->tombstones.sweep(now);
    this->fleet.forgetUnlisted(now);
    this->fleet.refreshClocks(now);
    this->risks.forgetOld(now);
    this->writeLoad(now);
    this->speeds.update(now);
    this->silence.update(this->election.termName());
    this->termClock.update(this->jobWatch.reportedRevision(), this->wallClock.nowMs(), now);
    this->stopDoomedRuns(now);
    this->plan(now);
}

void TaskDispatcher::writeLoad(TimePoint now)
{
    if (now < this->loadWrittenAt + this->settings.loadInterval)
        return;
    this->loadWrittenAt = now;
    const QueueReport report(this->jobs, this->fleet, this->runTimes, this->forecast);
    this->published.publish(StoreKeys::load, report.describeWaitingJobs());
    this->published.publish(StoreKeys::waits, report.describeWaits(now));
}

} // namespace Hibiscus::Coordination
