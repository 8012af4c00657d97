#include <Coordination/WorkerFleet.h>

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::RunRef;
using Tasks::WorkerEntry;

namespace {

/// Lowest rate of a worker's clock relative to the leader's clock.
constexpr double minClockRate = 0.98;

} // namespace

WorkerFleet::WorkerFleet(Tasks::WorkerLink &link, TimerService &timers, EventLogger &logger,
                         const Settings &settings, FleetListener &listener,
                         AuthorityEnd authorityEnd)
    : link(link)
    , timers(timers)
    , logger(logger)
    , settings(settings)
    , listener(listener)
    , authorityEnd(std::move(authorityEnd))
    , paceControl(settings.pace)
{}

void WorkerFleet::begin(std::int64_t leaderToken, bool haveFormersEnded)
{
    this->stop();
    this->firstToken = FencingToken(leaderToken);
    this->formersEnded = haveFormersEnded;
    this->silentBefore.clear();
    this->withheld.clear();
    this->evacuated.clear();
}

std::set<std::string> WorkerFleet::silentWorkers() const
{
    std::set<std::string> silent;
    for (const auto &[id, worker] : this->workers) {
        if (!worker.runs.empty() && worker.pollRetryDelay > this->settings.retryDelay)
            silent.insert(id);
    }
    return silent;
}

void WorkerFleet::withholdLeases(const std::set<std::string> &silent)
{
    this->withheld.insert(silent.begin(), silent.end());
}

/// Whether a former leader that is alive and cut off may renew leases on the worker.
bool WorkerFleet::mayBeRenewedByOthers(const std::string &worker) const
{
    return !this->formersEnded && !this->silentBefore.contains(worker);
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

void WorkerFleet::resumePolls(TimePoint now)
{
    for (auto &[id, worker] : this->workers)
        this->pollIfNeeded(worker, now);
}

void WorkerFleet::stop()
{
    this->generation++;
    this->active = false;
    this->workers.clear();
    this->reach.clear();
    this->probedDataCenters.clear();
    this->revocations.clear();
}

bool WorkerFleet::hasAuthority(TimePoint now) const
{
    return now < this->authorityEnd();
}

/// The grace time starts at the end of the leader's lease, not when the leader notices it: a
/// successor derives its bound for these leases from that end, and a leader may notice late after a
/// suspension.
bool WorkerFleet::canRenew(TimePoint now) const
{
    return now < this->authorityEnd() + this->settings.renewalGrace;
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

std::pair<WorkerFleet::Worker &, bool> WorkerFleet::addWorker(const std::string &id)
{
    const auto [found, added] = this->workers.try_emplace(id);
    if (added)
        found->second.token = this->firstToken;
    return {found->second, added};
}

/// The next call to the worker fences off all that were sent before, in whichever of its processes
/// executes it. A term without tokens left ends, and the next one has higher ones.
bool WorkerFleet::raiseToken(Worker &worker, const char *reason, TimePoint now)
{
    if (worker.token.isHighestOfTerm()) {
        this->logger.logEvent(LogKind::Leadership, "fencing tokens used up",
                              {{"worker", worker.entry.id}, {"token", worker.token.value()}}, now);
        this->timers.after(Duration{}, [this, generation = this->generation](TimePoint at) {
            if (generation == this->generation)
                this->listener.tokensUsedUp(at);
        });
        return false;
    }
    worker.token = worker.token.next();
    worker.tokenIsNew = true;
    this->logger.logEvent(
        LogKind::Dependency, "fencing token raised",
        {{"worker", worker.entry.id}, {"token", worker.token.value()}, {"reason", reason}}, now);
    return true;
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

bool WorkerFleet::isEvacuated(std::string_view id) const
{
    const auto found = this->workers.find(id);
    return found != this->workers.end() && this->isEvacuated(found->second);
}

/// The entry may have been read late. Its age follows from the worker's clock, if that is known.
std::optional<Duration> WorkerFleet::timeUntilDeparture(const Worker &worker, TimePoint now)
{
    const WorkerEntry &entry = worker.entry;
    if (!worker.hasOwnEntry() || !entry.draining || !entry.timeLeft)
        return std::nullopt;
    const bool hasClocks = worker.clock != 0 && entry.clock != 0;
    const Duration age = hasClocks
        ? milliseconds(worker.clock - entry.clock) + (now - worker.clockReadAt)
        : now - worker.listedAt;
    return *entry.timeLeft - age;
}

bool WorkerFleet::Worker::isMixed() const
{
    const auto serves = [](const auto &entry) { return entry.second.responseTarget > Duration{}; };
    const auto isBestEffort = [](const auto &entry) { return entry.second.bestEffort; };
    return std::any_of(this->runs.begin(), this->runs.end(), serves)
        && std::any_of(this->runs.begin(), this->runs.end(), isBestEffort);
}

std::optional<Duration> WorkerFleet::oldestAnswerAge(TimePoint now) const
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
    const auto [worker, added] = this->addWorker(entry.id);
    const std::int64_t known = worker.entry.incarnation;
    const bool wasDraining = worker.entry.draining;
    // A later process has its own entry, unless the clock was set back; the answer to a poll shows
    // which of the two runs.
    const bool startedEarlier
        = entry.incarnation < worker.entryWriter && entry.incarnation != known;
    const bool isReplaced = entry.incarnation == worker.replacedProcess;
    if (entry.incarnation != 0 && (startedEarlier || isReplaced)) {
        this->logger.logEvent(LogKind::Dependency, "entry of an earlier process ignored",
                              {{"worker", entry.id},
                               {"incarnation", entry.incarnation},
                               {"known", worker.entryWriter}},
                              now);
        worker.otherEntry = entry;
        this->poll(entry.id, now);
        return;
    }
    if (added) {
        worker.leaseExpiresAt = now;
        worker.lastAnswerAt = now;
    }
    if (known != 0 && entry.incarnation > known)
        this->handleRestart(worker, entry.incarnation, now);
    worker.entry = entry;
    worker.entryWriter = entry.incarnation;
    worker.otherEntry.reset();
    worker.listedAt = now;
    // The registry may be older than the incarnation that the worker itself reported.
    worker.entry.incarnation = std::max(known, entry.incarnation);
    worker.listed = true;
    if (entry.draining && !wasDraining)
        this->logger.logEvent(LogKind::Dependency, "worker leaves", {{"worker", entry.id}}, now);
    if (!worker.hasSession)
        this->poll(entry.id, now);
    this->listener.fleetChanged(now);
}

void WorkerFleet::workerUnlisted(const std::string &id, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (!worker)
        return;
    worker->listed = false;
    worker->otherEntry.reset();
    this->logger.logEvent(LogKind::Dependency, "worker unlisted",
                          {{"worker", id}, {"runs", worker->runs.size()}}, now);
    this->listener.fleetChanged(now);
}

/// Removes the workers that have left the registry, unless a run may exist on them or a start order
/// may still be executed there by a new process.
void WorkerFleet::forgetUnlisted(TimePoint now)
{
    for (auto entry = this->workers.begin(); entry != this->workers.end();) {
        const Worker &worker = entry->second;
        const bool needed = worker.listed || worker.pollInFlight || !worker.runs.empty()
            || this->latestExecution(worker, now) > now;
        if (needed) {
            ++entry;
            continue;
        }
        this->logger.logEvent(LogKind::Dependency, "worker forgotten",
                              {{"worker", entry->first},
                               {"incarnation", worker.entry.incarnation},
                               {"lastEnd", worker.lastEnd},
                               {"acknowledgedEnd", worker.acknowledgedEnd},
                               {"unrecordedEnds", worker.unrecordedEnds.size()}},
                              now);
        this->firstToken = std::max(this->firstToken, worker.token);
        entry = this->workers.erase(entry);
    }
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
    const auto [worker, added] = this->addWorker(id);
    if (added) {
        worker.entry.id = id;
        worker.entry.incarnation = incarnation;
        worker.lastAnswerAt = now;
    }
    run.adopted = true;
    run.resumed = true;
    run.paceConfirmed = !run.bestEffort;
    // The former leader may have sent the start order without receiving an answer.
    worker.unansweredStarts[run.ref] = now;
    // A former leader may renew the longest lease until the end of its grace time.
    const bool restarted = worker.entry.incarnation != incarnation;
    const Duration grace
        = this->mayBeRenewedByOthers(id) ? this->settings.renewalGrace : Duration{};
    const TimePoint lastGrant = restarted ? this->latestExecution(worker, now) : now + grace;
    worker.leaseExpiresAt = std::max(worker.leaseExpiresAt, lastGrant + this->longestLease());
    this->assign(id, std::move(run), now);
    this->timers.after(worker.leaseExpiresAt - now,
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
    if (found->second.isRevocation)
        this->revocations.extract(key);
    worker.runs.erase(found);
    this->listener.fleetChanged(now);
}

void WorkerFleet::reportLostRun(Worker &worker, const RunKey &key, const char *reason,
                                TimePoint now)
{
    // The listener's reaction to another lost run may already have removed this one.
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

void WorkerFleet::endRecorded(const RunEnd &end, TimePoint now)
{
    Worker *worker = this->workerOf(end.worker);
    // Each process of a worker numbers its ends from 1.
    if (!worker || worker->entry.incarnation != end.incarnation)
        return;
    worker->unrecordedEnds.erase(end.number);
    this->pollIfNeeded(*worker, now);
}

void WorkerFleet::reportSuccess(const std::string &id)
{
    if (Worker *worker = this->workerOf(id))
        worker->consecutiveFailures = 0;
}

/// A perpetual task that fails after it has been at work says nothing of its worker. Such tasks
/// never end with success, so their failures must not add up.
void WorkerFleet::reportFailure(const std::string &id, bool wasAtWork, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (worker && wasAtWork)
        this->pause(*worker, this->settings.minBackoff, now);
    else if (worker)
        this->backOff(*worker, now);
}

void WorkerFleet::backOff(Worker &worker, TimePoint now)
{
    constexpr std::int32_t maxDoublings = 5;
    const Duration span
        = this->settings.minBackoff * (1 << std::min(worker.consecutiveFailures, maxDoublings));
    worker.consecutiveFailures++;
    this->pause(worker, std::min(span, this->settings.maxBackoff), now);
}

/// Assigns nothing to the worker for a time.
void WorkerFleet::pause(Worker &worker, Duration span, TimePoint now)
{
    worker.backoffUntil = std::max(worker.backoffUntil, now + span);
    this->timers.after(worker.backoffUntil - now,
                       [this, generation = this->generation](TimePoint at) {
                           if (generation == this->generation)
                               this->listener.fleetChanged(at);
                       });
}

/// Upper bound, by the leader's clock, of the time from an order to the end of the lease that it
/// grants.
Duration WorkerFleet::boundOfLease(Duration lease) const
{
    const double rounded = static_cast<double>(lease.count()) / minClockRate;
    return Duration(static_cast<Duration::rep>(rounded)) + this->settings.leaseSlack;
}

Duration WorkerFleet::longestLease() const
{
    return this->boundOfLease(this->settings.maxLeaseDuration);
}

/// Whether a start order of the run is without an answer and may still be executed.
bool WorkerFleet::mayStillStart(const Worker &worker, const RunRef &ref, TimePoint now) const
{
    const auto open = worker.unansweredStarts.find(ref);
    return open != worker.unansweredStarts.end()
        && now <= open->second + this->settings.maxStartDelay;
}

/// Latest time at which a call without an answer may still start a run or extend the lease; `now`
/// if there is none.
TimePoint WorkerFleet::latestExecution(const Worker &worker, TimePoint now) const
{
    TimePoint latest = now;
    for (const auto &[ref, givenUpAt] : worker.unansweredStarts)
        latest = std::max(latest, givenUpAt + this->settings.maxStartDelay);
    if (worker.renewalGivenUpAt)
        latest = std::max(latest, *worker.renewalGivenUpAt + this->settings.maxStartDelay);
    return latest;
}

/// Returns the end of a lease granted now, by the worker's clock, and updates the time at which the
/// lease has certainly expired. The end counts from the latest time that the worker's clock may
/// show; a clock that is behind makes the lease longer by that much. It is limited, since the next
/// leader knows of no lease that outlasts the longest one by more than the grace time.
std::int64_t WorkerFleet::extendLease(Worker &worker, Duration lease, TimePoint now)
{
    const std::int64_t passedMs = toMs(now - worker.clockReadAt);
    const auto lag = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(passedMs) * (1.0 - minClockRate)));
    const Duration limit = this->settings.maxLeaseDuration + this->settings.renewalGrace;
    const Duration longest = std::min<Duration>(lease + lag, limit);
    worker.leaseExpiresAt = std::max(worker.leaseExpiresAt, now + this->boundOfLease(longest));
    return worker.clock + passedMs + toMs(longest - lag);
}

/// Lowest value in ms that the clock of the worker's known process may show; 0 if unknown.
std::int64_t WorkerFleet::earliestClock(const Worker &worker, TimePoint now)
{
    if (worker.clock == 0)
        return 0;
    const auto passedMs = static_cast<double>(toMs(now - worker.clockReadAt));
    return worker.clock + static_cast<std::int64_t>(passedMs * minClockRate);
}

/// Polls idle workers whose clock was read long ago, so that the ends of leases stay exact.
void WorkerFleet::refreshClocks(TimePoint now)
{
    for (auto &[id, worker] : this->workers) {
        const bool isDue = worker.listed && worker.hasSession && worker.runs.empty()
            && !worker.pollInFlight && worker.pollRetryDelay == Duration{}
            && now >= worker.clockReadAt + this->settings.maxClockAge;
        if (isDue)
            this->poll(id, now);
    }
}

/// While nothing comes from a whole data centre, its workers get no new work. Work that runs there
/// is left alone.
void WorkerFleet::noteSilence(const Worker &worker, TimePoint sentAt, TimePoint now)
{
    const std::string dataCenter = worker.entry.dataCenter;
    // A refused connection fails at once, before another worker could have answered.
    const TimePoint since = std::min(sentAt, now - this->settings.orderTimeout);
    if (!this->reach.noteSilence(dataCenter, since))
        return;
    this->logger.logEvent(LogKind::Dependency, "data centre does not answer",
                          {{"dataCenter", dataCenter}, {"worker", worker.entry.id}}, now);
    this->probe(dataCenter, now);
    if (this->probedDataCenters.insert(dataCenter).second)
        this->probeLater(dataCenter);
}

void WorkerFleet::noteAnswer(const Worker &worker, TimePoint now)
{
    if (!this->reach.noteAnswer(worker.entry.dataCenter, now))
        return;
    this->logger.logEvent(LogKind::Dependency, "data centre answers again",
                          {{"dataCenter", worker.entry.dataCenter}, {"worker", worker.entry.id}},
                          now);
    this->listener.fleetChanged(now);
}

/// Polls a few workers of a data centre that is out of reach. Workers that have not failed to
/// answer yet come first, then those whose last poll was sent earliest: in a long cut all have
/// failed.
void WorkerFleet::probe(const std::string &dataCenter, TimePoint now)
{
    std::vector<const Worker *> candidates;
    for (const auto &[id, worker] : this->workers) {
        if (worker.listed && worker.entry.dataCenter == dataCenter && !worker.pollInFlight)
            candidates.push_back(&worker);
    }
    const auto isBetter = [](const Worker *left, const Worker *right) {
        const auto rank = [](const Worker &worker) {
            // An idle worker answers a poll at once.
            return std::tuple(worker.pollRetryDelay != Duration{}, !worker.runs.empty(),
                              worker.pollSentAt);
        };
        return rank(*left) < rank(*right);
    };
    std::sort(candidates.begin(), candidates.end(), isBetter);
    candidates.resize(std::min(candidates.size(), this->settings.probedWorkers));
    std::vector<std::string> ids;
    ids.reserve(candidates.size());
    for (const Worker *worker : candidates)
        ids.push_back(worker->entry.id);
    for (const std::string &id : ids)
        this->poll(id, now);
}

void WorkerFleet::probeLater(const std::string &dataCenter)
{
    this->timers.after(this->settings.probeInterval,
                       [this, dataCenter, generation = this->generation](TimePoint at) {
                           if (generation != this->generation)
                               return;
                           if (!this->reach.isOutOfReach(dataCenter)) {
                               this->probedDataCenters.erase(dataCenter);
                               return;
                           }
                           this->probe(dataCenter, at);
                           this->probeLater(dataCenter);
                       });
}

} // namespace Hibiscus::Coordination
