#include <Coordination/SpeedTracker.h>
#include <Coordination/StoreKeys.h>

#include <algorithm>
#include <vector>

namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::WorkerSpeeds;

SpeedTracker::SpeedTracker(Tasks::MetadataStore &store, PublishedKeys &published,
                           EventLogger &logger, const TrackedJobTable &jobs,
                           const WorkerTable &workers, const Settings &settings)
    : store(store)
    , published(published)
    , logger(logger)
    , jobs(jobs)
    , workers(workers)
    , settings(settings)
    , speeds(settings.speeds)
{}

/// The takeover does not wait for the speeds: without them, work is placed less well for a while.
void SpeedTracker::begin()
{
    this->generation++;
    this->speeds.clear();
    this->updatedAt = {};
    this->nextWriteAt = {};
    const auto answerHandler
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
              if (generation == this->generation)
                  this->handleStoredSpeeds(answer, now);
          };
    this->store.read(StoreKeys::speeds, this->settings.readTimeout, answerHandler);
}

void SpeedTracker::handleStoredSpeeds(const StoreAnswer &answer, TimePoint now)
{
    const StoredItem *item = answer.find(StoreKeys::speeds);
    if (!item)
        return;
    this->published.setRevision(StoreKeys::speeds, item->revision);
    if (!this->speeds.restore(item->value))
        this->logger.logEvent(LogKind::Fault, "speeds of workers can't be read",
                              {{"revision", item->revision}, {"effect", "they are learned anew"}},
                              now);
    this->updateSpreads(now);
}

void SpeedTracker::recordProgress(const Tasks::RunRef &run, const Tasks::WorkerEntry &worker,
                                  std::optional<TimePoint> startedAt, std::int32_t percent,
                                  TimePoint now)
{
    const TrackedJob *job = this->jobs.find(run.job);
    if (!job || !job->progress.contains(run.task))
        return;
    const Tasks::Step &step = job->stepOf(run.task);
    const bool isFarFromData
        = !step.dataRack.empty() && !Tasks::hasLabel(worker.labels, step.dataRack);
    if (isFarFromData || step.count < 2)
        return;
    const std::string name = WorkerSpeeds::identityOf(worker);
    this->speeds.recordProgress({{run.job, run.task.occurrence, run.task.step},
                                 run.task.index,
                                 run.run,
                                 name,
                                 step.gang,
                                 startedAt,
                                 percent},
                                now);
}

void SpeedTracker::update(TimePoint now)
{
    const auto workerCount = static_cast<Duration::rep>(this->workers.size());
    const TimePoint dueAt = this->updatedAt + this->settings.updateIntervalPerWorker * workerCount;
    if (now < dueAt || !this->speeds.hasNews())
        return;
    this->updatedAt = now;
    this->speeds.update();
    this->updateSpreads(now);
    this->write(now);
}

void SpeedTracker::updateSpreads(TimePoint now)
{
    std::map<std::string_view, std::vector<std::string>> names;
    for (const auto &[id, worker] : this->workers) {
        if (worker.listed)
            names[worker.entry.service].push_back(WorkerSpeeds::identityOf(worker.entry));
    }
    for (const auto &[service, workersOfService] : names)
        this->updateSpread(service, workersOfService, now);
}

void SpeedTracker::updateSpread(std::string_view service, std::span<const std::string> names,
                                TimePoint now)
{
    const auto known = this->speeds.spreads().find(service);
    const bool differed = known != this->speeds.spreads().end() && known->second.differs;
    this->speeds.updateSpread(service, names);
    const WorkerSpeeds::Spread &spread = this->speeds.spreads().find(service)->second;
    if (spread.differs == differed)
        return;
    this->logger.logEvent(LogKind::Dependency,
                          spread.differs ? "workers differ in speed"
                                         : "workers are about equally fast",
                          {{"service", service},
                           {"known", spread.known},
                           {"fastest", spread.fastest},
                           {"slowest", spread.slowest}},
                          now);
}

void SpeedTracker::write(TimePoint now)
{
    if (now < this->nextWriteAt)
        return;
    const std::string text = this->speeds.encode();
    if (text.empty())
        return;
    constexpr std::size_t bytesPerKiB = 1024;
    const auto sizeInKiB = static_cast<Duration::rep>(text.size() / bytesPerKiB);
    this->nextWriteAt = now
        + std::max(this->settings.writeInterval, this->settings.writeIntervalPerKiB * sizeInKiB);
    this->published.publish(StoreKeys::speeds, text);
}

} // namespace Hibiscus::Coordination
