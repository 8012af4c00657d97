#include <Coordination/RecordWriter.h>
#include <Coordination/StoreKeys.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace Hibiscus::Coordination {

using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;

namespace {

/// Keeps a commit within the store's limit of entries: a job takes one check and one write, or one
/// check and three removals.
constexpr std::size_t maxJobsPerCommit = 7;
/// Number of refusals that are taken for a passing limit of the store's call rate.
constexpr std::int32_t toleratedRefusals = 3;

} // namespace

RecordWriter::RecordWriter(Tasks::MetadataStore &store, TimerService &timers, EventLogger &logger,
                           const Settings &settings, Handlers handlers)
    : store(store)
    , timers(timers)
    , logger(logger)
    , settings(settings)
    , handlers(std::move(handlers))
    , commitTimeout(settings.commitTimeout)
{}

void RecordWriter::begin(std::int64_t leaderToken)
{
    this->stop();
    this->active = true;
    this->commitSize = maxJobsPerCommit;
    this->token = leaderToken;
}

void RecordWriter::stop()
{
    this->generation++;
    this->active = false;
    this->revisions.clear();
    this->queue.clear();
    this->storedHandlers.clear();
    this->batches.clear();
    this->refusedJobs.clear();
    this->paused = false;
}

void RecordWriter::setRevision(const std::string &job, std::int64_t revision)
{
    this->revisions[job] = revision;
}

void RecordWriter::scheduleWrite(const std::string &job, StoredHandler handler)
{
    if (!this->active)
        return;
    const auto [entry, added] = this->storedHandlers.try_emplace(job);
    if (handler)
        entry->second.push_back(std::move(handler));
    if (!added)
        return;
    this->queue.push_back(job);
    this->flushAfter(Duration{});
}

void RecordWriter::whenStored(const std::string &job, StoredHandler handler, TimePoint now)
{
    if (!this->active)
        return;
    const auto queued = this->storedHandlers.find(job);
    if (queued != this->storedHandlers.end()) {
        queued->second.push_back(std::move(handler));
        return;
    }
    for (auto &[id, batch] : this->batches) {
        for (PendingWrite &entry : batch.writes) {
            if (entry.job == job) {
                entry.storedHandlers.push_back(std::move(handler));
                return;
            }
        }
    }
    handler(now);
}

void RecordWriter::flushAfter(Duration delay)
{
    this->timers.after(delay, [this, generation = this->generation](TimePoint at) {
        if (generation == this->generation)
            this->flush(at);
    });
}

void RecordWriter::flush(TimePoint now)
{
    if (this->queue.empty() || !this->mayOpenBatch(now))
        return;
    Batch batch = this->takeBatch(now);
    if (batch.writes.empty())
        return;
    const BatchId id = this->nextBatch++;
    this->batches.emplace(id, std::move(batch));
    this->send(id, now);
    this->flushAfter(this->settings.batchDelay);
}

/// Another batch is opened only beside batches whose answers are late. While the store answers
/// quickly, waiting for the answer gathers records for the next commit.
bool RecordWriter::mayOpenBatch(TimePoint now) const
{
    if (this->paused || this->batches.size() >= this->settings.maxBatches)
        return false;
    return this->batches.empty()
        || now >= this->batches.rbegin()->second.openedAt + this->settings.batchDelay;
}

bool RecordWriter::isInFlight(const std::string &job) const
{
    return std::any_of(this->batches.begin(), this->batches.end(), [&job](const auto &entry) {
        const std::vector<PendingWrite> &writes = entry.second.writes;
        return std::any_of(writes.begin(), writes.end(),
                           [&job](const PendingWrite &write) { return write.job == job; });
    });
}

/// Takes the jobs of the next commit from the queue, in its order. Jobs that are in flight stay
/// queued, since the revision of their record is not known yet.
RecordWriter::Batch RecordWriter::takeBatch(TimePoint now)
{
    Batch batch;
    batch.openedAt = now;
    batch.commitsBefore = this->storedCommits;
    batch.commit.checks.push_back({StoreKeys::leader, this->token});
    for (auto job = this->queue.begin(); job != this->queue.end();) {
        if (this->isInFlight(*job)) {
            ++job;
            continue;
        }
        if (!this->fitsBatch(batch, *job))
            break;
        std::string value = this->handlers.encode(*job, now);
        // A removal that is queued again while the first one is unanswered finds no record. It must
        // not remove what another instance may have stored under the job's key since.
        if (value.empty() && this->revisions[*job] == 0)
            this->runStoredHandlers(*job);
        else
            this->append(batch, *job, std::move(value));
        job = this->queue.erase(job);
    }
    return batch;
}

/// Whether the job may join the batch. A job that was refused alone gets a commit of its own.
bool RecordWriter::fitsBatch(const Batch &batch, const std::string &job) const
{
    if (batch.writes.empty())
        return true;
    return batch.writes.size() < this->commitSize && !this->refusedJobs.contains(job)
        && !this->refusedJobs.contains(batch.writes.front().job);
}

void RecordWriter::append(Batch &batch, const std::string &job, std::string value)
{
    const std::string key = StoreKeys::progressOf(job);
    batch.commit.checks.push_back({key, this->revisions[job]});
    if (value.empty()) {
        batch.commit.removals.push_back(key);
        batch.commit.removals.push_back(StoreKeys::job(job));
        batch.commit.removals.push_back(StoreKeys::cancellation(job));
    } else {
        batch.commit.writes.push_back({key, value, 0});
    }
    auto waiting = this->storedHandlers.extract(job);
    batch.writes.push_back({job, std::move(value), std::move(waiting.mapped())});
}

/// Runs the handlers of a job of which nothing is stored and nothing is to be written. They may
/// schedule writes, so not while a batch is taken from the queue.
void RecordWriter::runStoredHandlers(const std::string &job)
{
    this->revisions.erase(job);
    auto waiting = this->storedHandlers.extract(job);
    this->timers.after(Duration{},
                       [this, handlers = std::move(waiting.mapped()),
                        generation = this->generation](TimePoint at) {
                           for (const StoredHandler &handler : handlers) {
                               if (generation == this->generation)
                                   handler(at);
                           }
                       });
}

void RecordWriter::send(BatchId id, TimePoint now)
{
    Batch &batch = this->batches.at(id);
    batch.attempts++;
    batch.sentAt = now;
    const auto handler
        = [this, id, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
              if (generation == this->generation)
                  this->handleAnswer(id, answer, now);
          };
    this->store.commit(batch.commit, this->commitTimeout.ofAttempt(batch.attempts), handler);
}

void RecordWriter::handleAnswer(BatchId id, const StoreAnswer &answer, TimePoint now)
{
    if (answer.outcome == StoreOutcome::Done || answer.outcome == StoreOutcome::Conflict)
        this->commitTimeout.recordAnswer(now - this->batches.at(id).sentAt);
    switch (answer.outcome) {
    case StoreOutcome::Done:
        this->setReachable(true, now);
        this->handleCommit(id, answer.revision, now);
        return;
    case StoreOutcome::Conflict:
        this->setReachable(true, now);
        this->handleConflict(id, answer, now);
        return;
    case StoreOutcome::Refused:
        this->handleRefusal(id, now);
        return;
    default:
        this->handleSilence(id, now);
    }
}

void RecordWriter::handleSilence(BatchId id, TimePoint now)
{
    if (this->batches.at(id).commitsBefore == this->storedCommits)
        this->setReachable(false, now);
    this->resendLater(id);
}

void RecordWriter::resendLater(BatchId id)
{
    this->timers.after(this->settings.retryDelay,
                       [this, id, generation = this->generation](TimePoint at) {
                           if (generation == this->generation)
                               this->send(id, at);
                       });
}

void RecordWriter::handleRefusal(BatchId id, TimePoint now)
{
    const Batch &batch = this->batches.at(id);
    if (batch.writes.size() == 1) {
        this->postponeRefusedJob(id, now);
        return;
    }
    this->setReachable(false, now);
    // Smaller commits take more calls, so a store that limits the rate of calls gets the whole
    // commit again first.
    if (batch.attempts < toleratedRefusals) {
        this->resendLater(id);
        return;
    }
    this->logCommit("refused commit divided", batch, 0, now);
    this->commitSize = batch.writes.size() / 2;
    this->requeue(id);
    this->pauseWriting();
}

void RecordWriter::requeue(BatchId id)
{
    const auto batch = this->batches.extract(id);
    for (PendingWrite &entry : batch.mapped().writes) {
        std::vector<StoredHandler> &waiting = this->storedHandlers[entry.job];
        waiting.insert(waiting.begin(), entry.storedHandlers.begin(), entry.storedHandlers.end());
        if (std::find(this->queue.begin(), this->queue.end(), entry.job) == this->queue.end())
            this->queue.push_front(entry.job);
    }
}

/// If the store has accepted other commits since the job's last refusal, the record itself is the
/// likely reason: the job's pause grows and the other jobs go on at once. Otherwise the store may
/// refuse everything, and all writes pause.
void RecordWriter::postponeRefusedJob(BatchId id, TimePoint now)
{
    const PendingWrite &write = this->batches.at(id).writes.front();
    const std::string job = write.job;
    const std::size_t bytes = write.value.size();
    const auto [entry, added] = this->refusedJobs.try_emplace(job);
    RefusedJob &refused = entry->second;
    if (added)
        refused.pause = this->settings.retryDelay;
    const bool storeAccepts = !added && refused.commitsBefore != this->storedCommits;
    refused.commitsBefore = this->storedCommits;
    refused.refusals++;
    const Duration longest
        = storeAccepts ? this->settings.maxRefusedPause : this->settings.maxOutagePause;
    if (refused.refusals > toleratedRefusals && refused.pause < longest)
        refused.pause = std::min(2 * refused.pause, longest);
    // The number of lines stays small while the store refuses everything.
    const bool isLogged = std::has_single_bit(static_cast<std::uint32_t>(refused.refusals));
    if (isLogged)
        this->logger.logEvent(Runtime::LogKind::Fault, "record refused by the store",
                              {{"request", job},
                               {"bytes", bytes},
                               {"refusals", refused.refusals},
                               {"pauseMs", toMs(refused.pause)},
                               {"token", this->token}},
                              now);
    this->requeue(id);
    std::erase(this->queue, job);
    this->timers.after(refused.pause, [this, job, generation = this->generation](TimePoint at) {
        if (generation != this->generation)
            return;
        this->queue.push_back(job);
        this->flush(at);
    });
    if (storeAccepts) {
        this->flush(now);
        return;
    }
    this->setReachable(false, now);
    this->pauseWriting();
}

void RecordWriter::pauseWriting()
{
    this->paused = true;
    this->timers.after(this->settings.retryDelay,
                       [this, generation = this->generation](TimePoint at) {
                           if (generation != this->generation)
                               return;
                           this->paused = false;
                           this->flush(at);
                       });
}

void RecordWriter::setReachable(bool value, TimePoint now)
{
    if (std::exchange(this->reachable, value) != value)
        this->handlers.reachability(value, now);
}

void RecordWriter::logCommit(std::string_view event, const Batch &batch, std::int64_t revision,
                             TimePoint now)
{
    std::vector<std::string> jobs;
    for (const PendingWrite &entry : batch.writes)
        jobs.push_back(entry.job);
    this->logger.logEvent(Runtime::LogKind::Record, event,
                          {{"requests", jobs},
                           {"revision", revision},
                           {"token", this->token},
                           {"attempts", batch.attempts},
                           {"inFlight", this->batches.size()},
                           {"queued", this->queue.size()}},
                          now);
}

void RecordWriter::handleCommit(BatchId id, std::int64_t revision, TimePoint now)
{
    const auto node = this->batches.extract(id);
    const Batch &batch = node.mapped();
    this->logCommit("records stored", batch, revision, now);
    this->storedCommits++;
    this->commitSize = std::min(2 * this->commitSize, maxJobsPerCommit);
    for (const PendingWrite &entry : batch.writes) {
        this->refusedJobs.erase(entry.job);
        if (entry.value.empty())
            this->revisions.erase(entry.job);
        else
            this->revisions[entry.job] = revision;
    }
    const std::uint64_t before = this->generation;
    for (const PendingWrite &entry : batch.writes) {
        for (const StoredHandler &handler : entry.storedHandlers)
            handler(now);
    }
    if (before == this->generation)
        this->flush(now);
}

/// Distinguishes a real conflict from a resent commit whose first attempt succeeded while its
/// answer was lost.
void RecordWriter::handleConflict(BatchId id, const StoreAnswer &answer, TimePoint now)
{
    const StoredItem *leader = answer.find(StoreKeys::leader);
    if (!leader || leader->revision != this->token) {
        this->handlers.fenced(now);
        return;
    }
    bool allMatch = true;
    std::int64_t committedRevision = 0;
    for (const PendingWrite &entry : this->batches.at(id).writes) {
        const StoredItem *item = answer.find(StoreKeys::progressOf(entry.job));
        const bool matches = entry.value.empty() ? !item : item && item->value == entry.value;
        allMatch = allMatch && matches;
        this->revisions[entry.job] = item ? item->revision : 0;
        if (item)
            committedRevision = std::max(committedRevision, item->revision);
    }
    if (allMatch) {
        this->handleCommit(id, committedRevision, now);
        return;
    }
    this->logCommit("records differ in the store", this->batches.at(id), answer.revision, now);
    // The stored records differ from the ones sent: writes them again with the revisions just read.
    this->requeue(id);
    this->flush(now);
}

} // namespace Hibiscus::Coordination
