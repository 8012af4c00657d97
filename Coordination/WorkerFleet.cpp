#include <Coordination/WorkerFleet.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Hibiscus::Coordination {

using Runtime::LogFields;
using Runtime::LogKind;
using Tasks::EndedTask;
using Tasks::RunningTask;
using Tasks::RunRef;
using Tasks::WorkerAnswer;
using Tasks::WorkerEntry;
using Tasks::WorkerOutcome;

namespace {

/// A worker's clock may be this much slower than ours.
constexpr double slowestClock = 0.98;

} // namespace

WorkerFleet::WorkerFleet(Tasks::WorkerLink &link, TimerService &timers, Journal &journal,
                         const Settings &settings, FleetListener &listener)
    : link(link)
    , timers(timers)
    , journal(journal)
    , settings(settings)
    , listener(listener)
    , paceControl(settings.pace)
{}

void WorkerFleet::begin(std::int64_t leaderToken, TimePoint now)
{
    this->stop();
    this->token = leaderToken;
    this->setAuthority(true, now);
}

void WorkerFleet::openSessions(TimePoint now)
{
    this->active = true;
    std::vector<std::string> ids;
    for (const auto &[id, worker] : this->workers)
        ids.push_back(id);
    for (const std::string &id : ids)
        this->poll(id, now);
}

void WorkerFleet::stop()
{
    this->generation++;
    this->active = false;
    this->workers.clear();
}

void WorkerFleet::setAuthority(bool value, TimePoint now)
{
    if (this->authority && !value)
        this->authorityLostAt = now;
    this->authority = value;
}

bool WorkerFleet::mayRenew(TimePoint now) const
{
    return this->authority || now < this->authorityLostAt + this->settings.renewalGrace;
}

WorkerFleet::RunKey WorkerFleet::keyOf(const RunRef &ref)
{
    return {ref.job, ref.task};
}

WorkerFleet::Worker *WorkerFleet::workerOf(std::string_view id)
{
    const auto found = this->workers.find(id);
    return found == this->workers.end() ? nullptr : &found->second;
}

WorkerFleet::Run *WorkerFleet::runOf(Worker &worker, const RunRef &ref)
{
    const auto found = worker.runs.find(keyOf(ref));
    if (found == worker.runs.end() || found->second.ref.run != ref.run)
        return nullptr;
    return &found->second;
}

const WorkerFleet::Run *WorkerFleet::find(std::string_view worker, const RunRef &ref) const
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end())
        return nullptr;
    const auto run = found->second.runs.find(keyOf(ref));
    return run == found->second.runs.end() || run->second.ref.run != ref.run ? nullptr
                                                                             : &run->second;
}

bool WorkerFleet::Worker::isMixed() const
{
    const auto serves = [](const auto &entry) { return entry.second.responseTarget > Duration{}; };
    const auto fills = [](const auto &entry) { return entry.second.fills; };
    return std::any_of(this->runs.begin(), this->runs.end(), serves)
        && std::any_of(this->runs.begin(), this->runs.end(), fills);
}

std::optional<Duration> WorkerFleet::oldestAnswer(TimePoint now) const
{
    std::optional<Duration> oldest;
    for (const auto &[id, worker] : this->workers) {
        if (!worker.runs.empty())
            oldest = std::max(oldest.value_or(Duration{}), now - worker.lastAnswerAt);
    }
    return oldest;
}

void WorkerFleet::workerListed(const WorkerEntry &entry, TimePoint now)
{
    const auto [found, added] = this->workers.try_emplace(entry.id);
    Worker &worker = found->second;
    const std::int64_t known = worker.entry.incarnation;
    const bool wasDraining = worker.entry.draining;
    if (added) {
        worker.leaseOverAt = now;
        worker.lastAnswerAt = now;
    }
    if (known != 0 && entry.incarnation > known)
        this->reborn(worker, entry.incarnation, now);
    worker.entry = entry;
    // The registry may lag behind what the worker itself has told.
    worker.entry.incarnation = std::max(known, entry.incarnation);
    worker.listed = true;
    if (entry.draining && !wasDraining)
        this->journal.tell(LogKind::Dependency, "worker leaves", {{"worker", entry.id}}, now);
    if (!worker.greeted)
        this->poll(entry.id, now);
    this->listener.fleetChanged(now);
}

void WorkerFleet::workerUnlisted(const std::string &id, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (!worker)
        return;
    worker->listed = false;
    this->journal.tell(LogKind::Dependency, "worker unlisted",
                       {{"worker", id}, {"runs", worker->runs.size()}}, now);
    if (worker->runs.empty() && !worker->polling)
        this->workers.erase(id);
    this->listener.fleetChanged(now);
}

void WorkerFleet::assign(const std::string &id, Run run, TimePoint)
{
    Worker *worker = this->workerOf(id);
    assert(worker);
    worker->used += run.need;
    const RunKey key = keyOf(run.ref);
    worker->runs.insert_or_assign(key, std::move(run));
}

void WorkerFleet::adopt(const std::string &id, std::int64_t incarnation, Run run, TimePoint now)
{
    const auto [found, added] = this->workers.try_emplace(id);
    Worker &worker = found->second;
    if (added) {
        worker.entry.id = id;
        worker.entry.incarnation = incarnation;
        worker.lastAnswerAt = now;
    }
    run.adopted = true;
    run.resumed = true;
    run.paceTaken = !run.fills;
    // A former leader may have renewed until its grace ran out, with the longest lease.
    const Duration longest = this->longestLease();
    worker.leaseOverAt = std::max(worker.leaseOverAt, now + this->settings.renewalGrace + longest);
    this->assign(id, std::move(run), now);
    this->timers.after(worker.leaseOverAt - now,
                       [this, id, generation = this->generation](TimePoint at) {
                           if (generation != this->generation)
                               return;
                           if (Worker *late = this->workerOf(id))
                               this->checkLease(*late, at);
                       });
}

void WorkerFleet::removeRun(Worker &worker, const RunKey &key, TimePoint now)
{
    const auto found = worker.runs.find(key);
    assert(found != worker.runs.end());
    worker.used -= found->second.need;
    worker.runs.erase(found);
    this->listener.fleetChanged(now);
}

void WorkerFleet::loseRun(Worker &worker, const RunKey &key, const char *reason, TimePoint now)
{
    // What the listener does about one lost run may already have given up another.
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end())
        return;
    const RunEnd end{found->second.ref, worker.entry.id, Tasks::EndCause::LeaseExpired,
                     found->second.checkpoint, 0};
    this->removeRun(worker, key, now);
    this->listener.runLost(end, reason, now);
}

void WorkerFleet::withdraw(const std::string &id, const RunRef &ref, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (worker && this->runOf(*worker, ref))
        this->removeRun(*worker, keyOf(ref), now);
}

void WorkerFleet::endRecorded(const std::string &id, std::int64_t number, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (!worker)
        return;
    worker->unrecorded.erase(number);
    this->pollIfNeeded(*worker, now);
}

void WorkerFleet::trust(const std::string &id)
{
    if (Worker *worker = this->workerOf(id))
        worker->strikes = 0;
}

void WorkerFleet::avoid(const std::string &id, TimePoint now)
{
    if (Worker *worker = this->workerOf(id))
        this->strike(*worker, now);
}

void WorkerFleet::strike(Worker &worker, TimePoint now)
{
    constexpr std::int32_t mostDoublings = 5;
    const Duration span
        = this->settings.shortestAvoidance * (1 << std::min(worker.strikes, mostDoublings));
    worker.strikes++;
    worker.avoidUntil = now + std::min(span, this->settings.longestAvoidance);
    this->timers.after(worker.avoidUntil - now,
                       [this, generation = this->generation](TimePoint at) {
                           if (generation == this->generation)
                               this->listener.fleetChanged(at);
                       });
}

/// By our clock, from an order to the surest end of the lease that it gives.
Duration WorkerFleet::longestLease() const
{
    const double hold = static_cast<double>(this->settings.longestHold.count());
    return Duration(static_cast<Duration::rep>(hold / slowestClock)) + this->settings.leaseSlack;
}

/// The end of a lease given now, on the worker's clock. Notes by when it is surely over.
std::int64_t WorkerFleet::leaseUntil(Worker &worker, TimePoint now)
{
    const double passed = static_cast<double>(toMs(now - worker.clockAt)) * slowestClock;
    const std::int64_t earliestClock = worker.clock + static_cast<std::int64_t>(passed);
    worker.leaseOverAt = std::max(worker.leaseOverAt, now + this->longestLease());
    return earliestClock + toMs(this->settings.longestHold);
}

bool WorkerFleet::needsPoll(const Worker &worker) const
{
    if (!worker.greeted)
        return worker.listed || !worker.runs.empty();
    if (worker.recordedUpTo() > worker.acknowledged)
        return true;
    return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &entry) {
        const Run &run = entry.second;
        return run.adopted || run.settledAt.has_value();
    });
}

void WorkerFleet::pollIfNeeded(Worker &worker, TimePoint now)
{
    if (worker.polling || !this->needsPoll(worker))
        return;
    const bool pauses = worker.greeted && !worker.unrecorded.empty()
        && now < worker.polledAt + this->settings.longestPollPause;
    if (pauses)
        this->pollAfterPause(worker, now);
    else
        this->poll(worker.entry.id, now);
}

void WorkerFleet::pollAfterPause(Worker &worker, TimePoint now)
{
    if (std::exchange(worker.pauseTimed, true))
        return;
    const Duration left = worker.polledAt + this->settings.longestPollPause - now;
    this->timers.after(
        left, [this, id = worker.entry.id, generation = this->generation](TimePoint at) {
            Worker *paused = generation == this->generation ? this->workerOf(id) : nullptr;
            if (!paused)
                return;
            paused->pauseTimed = false;
            this->pollIfNeeded(*paused, at);
        });
}

void WorkerFleet::poll(const std::string &id, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (!this->active || !worker || worker->polling || worker->entry.address.empty())
        return;
    if (!this->mayRenew(now))
        return;
    Tasks::RenewOrder order;
    order.fencingToken = this->token;
    order.endsRecorded = worker->recordedUpTo();
    const bool greeted = worker->greeted;
    // A worker that does not answer gets no longer lease, so that its runs end some day.
    const bool answering = worker->pollRetry == Duration{};
    if (greeted && answering && !worker->runs.empty()) {
        order.leaseUntil = this->leaseUntil(*worker, now);
        order.wait = worker->isMixed() ? this->settings.mixedPollWait : this->settings.pollWait;
    }
    worker->polling = true;
    worker->polledAt = now;
    const Duration timeout = order.wait + this->settings.pollSlack;
    const std::int64_t acknowledged = order.endsRecorded;
    this->link.renew(worker->entry, order, timeout,
                     [this, id, acknowledged, sentAt = now,
                      generation = this->generation](const WorkerAnswer &answer, TimePoint at) {
                         if (generation != this->generation)
                             return;
                         Worker *sender = this->workerOf(id);
                         if (sender && answer.outcome == WorkerOutcome::Done)
                             sender->acknowledged = std::max(sender->acknowledged, acknowledged);
                         this->polled(id, answer, sentAt, at);
                     });
}

void WorkerFleet::polled(const std::string &id, const WorkerAnswer &answer, TimePoint sentAt,
                         TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (!worker)
        return;
    worker->polling = false;
    if (answer.outcome == WorkerOutcome::Fenced) {
        this->listener.fenced(now);
        return;
    }
    if (answer.outcome != WorkerOutcome::Done) {
        if (worker->pollRetry == Duration{})
            this->journal.tell(LogKind::Dependency, "worker does not answer",
                               {{"worker", id}, {"runs", worker->runs.size()}}, now);
        worker->avoidUntil = std::max(worker->avoidUntil, now + this->settings.longestRetry);
        worker->pollRetry
            = std::clamp(worker->pollRetry * 2, this->settings.retry, this->settings.longestRetry);
        this->checkLease(*worker, now);
        this->timers.after(worker->pollRetry,
                           [this, id, generation = this->generation](TimePoint at) {
                               if (generation != this->generation)
                                   return;
                               if (Worker *again = this->workerOf(id))
                                   this->pollIfNeeded(*again, at);
                           });
        return;
    }
    if (std::exchange(worker->pollRetry, Duration{}) != Duration{})
        this->journal.tell(LogKind::Dependency, "worker answers again", {{"worker", id}}, now);
    if (!this->answeredAtAll(*worker, answer, now)) {
        this->pollIfNeeded(*worker, now);
        return;
    }
    const bool first = !std::exchange(worker->greeted, true);
    this->takeEnds(*worker, answer, now);
    this->takeRunning(*worker, answer, sentAt, now);
    this->balance(*worker, now);
    if (first)
        this->listener.fleetChanged(now);
    if (!worker->listed && worker->runs.empty()) {
        this->workers.erase(id);
        return;
    }
    this->pollIfNeeded(*worker, now);
}

bool WorkerFleet::answeredAtAll(Worker &worker, const WorkerAnswer &answer, TimePoint now)
{
    // Starts of a worker's process are told by their time, so an earlier one is gone.
    if (answer.incarnation != 0 && answer.incarnation < worker.entry.incarnation)
        return false;
    const bool otherLife
        = answer.incarnation != 0 && answer.incarnation != worker.entry.incarnation;
    if (otherLife && worker.entry.incarnation != 0)
        this->reborn(worker, answer.incarnation, now);
    if (otherLife)
        worker.entry.incarnation = answer.incarnation;
    worker.lastAnswerAt = now;
    if (answer.clock != 0) {
        worker.clock = answer.clock;
        worker.clockAt = now;
    }
    return true;
}

/// The worker's process was started anew: it runs and knows nothing of before.
void WorkerFleet::reborn(Worker &worker, std::int64_t incarnation, TimePoint now)
{
    this->journal.tell(LogKind::Dependency, "worker started anew",
                       {{"worker", worker.entry.id}, {"runs", worker.runs.size()}}, now);
    worker.entry.incarnation = incarnation;
    worker.lastEnd = 0;
    worker.acknowledged = 0;
    worker.unrecorded.clear();
    worker.greeted = false;
    worker.strikes = 0;
    // Its clock began anew as well, so a lease of before proves nothing.
    worker.leaseOverAt = now + this->longestLease();
    std::vector<RunKey> gone;
    for (const auto &[key, run] : worker.runs) {
        // A start on its way may be carried out by the new process; its answer will tell.
        if (!run.startOutstanding && !worker.openStarts.contains(run.ref))
            gone.push_back(key);
    }
    for (const RunKey &key : gone)
        this->loseRun(worker, key, "the worker was started anew", now);
    this->barOpenStarts(worker, now);
}

/// Starts that had no answer may reach the new process, which knows nothing of their runs. They
/// are barred there, and runs among them count as lost only then, or they would run twice.
void WorkerFleet::barOpenStarts(Worker &worker, TimePoint now)
{
    const std::map<RunRef, TimePoint> open = worker.openStarts;
    for (const auto &[ref, givenUpAt] : open) {
        if (now > givenUpAt + this->settings.latestStart)
            continue;
        Run *run = this->runOf(worker, ref);
        if (!run) {
            this->barStart(worker.entry.id, ref, now);
            continue;
        }
        run->confirmedAt.reset();
        run->settledAt.reset();
        run->stopWanted = true;
        if (!run->stopOutstanding && !run->startOutstanding)
            this->sendStop(worker, *run, now);
    }
}

void WorkerFleet::takeEnds(Worker &worker, const WorkerAnswer &answer, TimePoint now)
{
    for (const EndedTask &ended : answer.ended) {
        if (ended.number <= worker.lastEnd)
            continue;
        worker.lastEnd = ended.number;
        Run *run = this->runOf(worker, ended.run);
        if (!run)
            continue;
        worker.unrecorded.insert(ended.number);
        const bool timed = run->confirmedAt && !run->resumed;
        const RunEnd end{
            ended.run,    worker.entry.id,
            ended.cause,  ended.checkpoint.empty() ? run->checkpoint : ended.checkpoint,
            ended.number, timed ? now - *run->confirmedAt : Duration{}};
        this->removeRun(worker, keyOf(ended.run), now);
        this->listener.runEnded(end, now);
    }
}

void WorkerFleet::takeRunning(Worker &worker, const WorkerAnswer &answer, TimePoint sentAt,
                              TimePoint now)
{
    std::set<RunRef> seen;
    std::vector<RunRef> confirmed;
    for (const RunningTask &running : answer.running) {
        seen.insert(running.run);
        Run *run = this->runOf(worker, running.run);
        if (!run) {
            this->stopStranger(worker, running.run);
            continue;
        }
        if (!running.checkpoint.empty())
            run->checkpoint = running.checkpoint;
        run->percent = running.percent;
        run->load = running.load;
        run->adopted = false;
        if (!run->confirmedAt) {
            run->confirmedAt = now;
            run->settledAt = now;
            confirmed.push_back(running.run);
        }
    }
    for (const RunRef &run : confirmed)
        this->listener.runConfirmed(run, now);
    std::vector<RunKey> missing;
    for (const auto &[key, run] : worker.runs) {
        if (seen.contains(run.ref))
            continue;
        // The answer fences off a former leader's orders, so what it does not list will not come.
        const bool settled = run.settledAt && *run.settledAt <= sentAt && !run.startOutstanding;
        if (run.adopted || settled)
            missing.push_back(key);
    }
    for (const RunKey &key : missing)
        this->loseRun(worker, key, "the worker does not list it", now);
}

void WorkerFleet::checkLease(Worker &worker, TimePoint now)
{
    if (now < worker.leaseOverAt || worker.runs.empty())
        return;
    std::vector<RunKey> keys;
    for (const auto &[key, run] : worker.runs)
        keys.push_back(key);
    for (const RunKey &key : keys)
        this->loseRun(worker, key, "its lease is over and the worker does not answer", now);
    worker.greeted = false;
}

} // namespace Hibiscus::Coordination
