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
    this->inFlight.clear();
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
    if (added)
        this->queue.push_back(job);
    if (this->inFlight.empty())
        this->timers.after(Duration{}, [this, generation = this->generation](TimePoint at) {
            if (generation == this->generation)
                this->flush(at);
        });
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
    for (PendingWrite &entry : this->inFlight) {
        if (entry.job == job) {
            entry.storedHandlers.push_back(std::move(handler));
            return;
        }
    }
    handler(now);
}

void RecordWriter::flush(TimePoint now)
{
    if (this->paused || !this->inFlight.empty() || this->queue.empty())
        return;
    this->commit = {};
    this->commit.checks.push_back({StoreKeys::leader, this->token});
    while (!this->queue.empty() && this->fitsCommit(this->queue.front())) {
        this->append(this->queue.front());
        this->queue.pop_front();
    }
    this->attempts = 0;
    this->send(now);
}

/// Whether the job may join the commit that is being put together. A job that was refused alone
/// gets a commit of its own.
bool RecordWriter::fitsCommit(const std::string &job) const
{
    if (this->inFlight.empty())
        return true;
    return this->inFlight.size() < this->commitSize && !this->refusedJobs.contains(job)
        && !this->refusedJobs.contains(this->inFlight.front().job);
}

void RecordWriter::append(const std::string &job)
{
    const std::string key = StoreKeys::progressOf(job);
    std::string value = this->handlers.encode(job);
    this->commit.checks.push_back({key, this->revisions[job]});
    if (value.empty()) {
        this->commit.removals.push_back(key);
        this->commit.removals.push_back(StoreKeys::job(job));
        this->commit.removals.push_back(StoreKeys::cancellation(job));
    } else {
        this->commit.writes.push_back({key, value, 0});
    }
    auto storedHandlers = this->storedHandlers.extract(job);
    this->inFlight.push_back({job, std::move(value), std::move(storedHandlers.mapped())});
}

void RecordWriter::send(TimePoint)
{
    this->attempts++;
    const auto handler
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
              if (generation == this->generation)
                  this->handleAnswer(answer, now);
          };
    this->store.commit(this->commit, this->settings.commitTimeout, handler);
}

void RecordWriter::handleAnswer(const StoreAnswer &answer, TimePoint now)
{
    switch (answer.outcome) {
    case StoreOutcome::Done:
        this->setReachable(true, now);
        this->handleCommit(answer.revision, now);
        return;
    case StoreOutcome::Conflict:
        this->setReachable(true, now);
        this->handleConflict(answer, now);
        return;
    case StoreOutcome::Refused:
        this->handleRefusal(now);
        return;
    default:
        this->setReachable(false, now);
        this->resendLater();
    }
}

void RecordWriter::resendLater()
{
    this->timers.after(this->settings.retryDelay,
                       [this, generation = this->generation](TimePoint at) {
                           if (generation == this->generation)
                               this->send(at);
                       });
}

void RecordWriter::handleRefusal(TimePoint now)
{
    if (this->inFlight.size() == 1) {
        this->postponeRefusedJob(now);
        return;
    }
    this->setReachable(false, now);
    // Smaller commits take more calls, so a store that limits the rate of calls gets the whole
    // commit again first.
    if (this->attempts < toleratedRefusals) {
        this->resendLater();
        return;
    }
    this->logCommit("refused commit divided", 0, now);
    this->commitSize = this->inFlight.size() / 2;
    this->requeueInFlight();
    this->pauseWriting();
}

void RecordWriter::requeueInFlight()
{
    std::vector<PendingWrite> writes = std::exchange(this->inFlight, {});
    for (PendingWrite &entry : writes) {
        std::vector<StoredHandler> &waiting = this->storedHandlers[entry.job];
        waiting.insert(waiting.begin(), entry.storedHandlers.begin(), entry.storedHandlers.end());
        if (std::find(this->queue.begin(), this->queue.end(), entry.job) == this->queue.end())
            this->queue.push_front(entry.job);
    }
}

/// If the store has accepted other commits since the job's last refusal, the record itself is the
/// likely reason: the job's pause grows and the other jobs go on at once. Otherwise the store may
/// refuse everything, and all writes pause.
void RecordWriter::postponeRefusedJob(TimePoint now)
{
    const std::string job = this->inFlight.front().job;
    const std::size_t bytes = this->inFlight.front().value.size();
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
    this->requeueInFlight();
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

void RecordWriter::logCommit(std::string_view event, std::int64_t revision, TimePoint now)
{
    std::vector<std::string> jobs;
    for (const PendingWrite &entry : this->inFlight)
        jobs.push_back(entry.job);
    this->logger.logEvent(Runtime::LogKind::Record, event,
                          {{"requests", jobs},
                           {"revision", revision},
                           {"token", this->token},
                           {"attempts", this->attempts},
                           {"queued", this->queue.size()}},
                          now);
}

void RecordWriter::handleCommit(std::int64_t revision, TimePoint now)
{
    this->logCommit("records stored", revision, now);
    this->storedCommits++;
    this->commitSize = std::min(2 * this->commitSize, maxJobsPerCommit);
    const std::vector<PendingWrite> written = std::exchange(this->inFlight, {});
    for (const PendingWrite &entry : written) {
        this->refusedJobs.erase(entry.job);
        if (entry.value.empty())
            this->revisions.erase(entry.job);
        else
            this->revisions[entry.job] = revision;
    }
    const std::uint64_t before = this->generation;
    for (const PendingWrite &entry : written) {
        for (const StoredHandler &handler : entry.storedHandlers)
            handler(now);
    }
    if (before == this->generation)
        this->flush(now);
}

/// Distinguishes a real conflict from a resent commit whose first attempt succeeded while its
/// answer was lost.
void RecordWriter::handleConflict(const StoreAnswer &answer, TimePoint now)
{
    const StoredItem *leader = answer.find(StoreKeys::leader);
    if (!leader || leader->revision != this->token) {
        this->handlers.fenced(now);
        return;
    }
    bool allMatch = true;
    std::int64_t committedRevision = 0;
    for (const PendingWrite &entry : this->inFlight) {
        const StoredItem *item = answer.find(StoreKeys::progressOf(entry.job));
        const bool matches = entry.value.empty() ? !item : item && item->value == entry.value;
        allMatch = allMatch && matches;
        this->revisions[entry.job] = item ? item->revision : 0;
        if (item)
            committedRevision = std::max(committedRevision, item->revision);
    }
    if (allMatch) {
        this->handleCommit(committedRevision, now);
        return;
    }
    this->logCommit("records differ in the store", answer.revision, now);
    // The stored records differ from the ones sent: writes them again with the revisions just read.
    this->requeueInFlight();
    this->flush(now);
}

} // namespace Hibiscus::Coordination
