#include <Coordination/WorkerFleet.h>

#include <algorithm>
#include <utility>

// The sessions of WorkerFleet: polls, which renew leases and acknowledge ends, and what their
// answers show of a worker's process, its runs and its ends.
namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::EndedTask;
using Tasks::RunningTask;
using Tasks::RunRef;
using Tasks::WorkerAnswer;
using Tasks::WorkerEntry;
using Tasks::WorkerOutcome;

bool WorkerFleet::needsPoll(const Worker &worker) const
{
    if (!worker.hasSession)
        return worker.listed || !worker.runs.empty();
    if (worker.hasEndsToAcknowledge())
        return true;
    return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &entry) {
        const Run &run = entry.second;
        return run.adopted || run.orderConfirmedAt.has_value();
    });
}

/// A worker that keeps ends answers a poll at once. It is polled again when they may be
/// acknowledged, when a list may show runs that hold this up, or after a pause.
bool WorkerFleet::mustPause(const Worker &worker, TimePoint now) const
{
    if (!worker.hasSession || now >= worker.pollSentAt + this->settings.maxPollPause)
        return false;
    if (!worker.unrecordedEnds.empty())
        return true;
    if (!worker.hasEndsToAcknowledge() || !worker.isAnswering())
        return false;
    if (this->mayAcknowledge(worker, now)
        || now > worker.lastAnswerAt + this->settings.maxAnswerAge)
        return false;
    // A list is due of the runs whose orders were answered after the last poll.
    return std::none_of(worker.runs.begin(), worker.runs.end(), [&worker](const auto &entry) {
        const Run &run = entry.second;
        return run.mayBeOfUnknownProcess() && run.orderConfirmedAt > worker.pollSentAt;
    });
}

void WorkerFleet::pollIfNeeded(Worker &worker, TimePoint now)
{
    if (worker.pollInFlight || !this->needsPoll(worker))
        return;
    if (this->mustPause(worker, now))
        this->pollAfterPause(worker, now);
    else
        this->poll(worker.entry.id, now);
}

void WorkerFleet::pollAfterPause(Worker &worker, TimePoint now)
{
    if (std::exchange(worker.pauseTimerPending, true))
        return;
    const Duration left = worker.pollSentAt + this->settings.maxPollPause - now;
    this->timers.after(
        left, [this, id = worker.entry.id, generation = this->generation](TimePoint at) {
            Worker *paused = generation == this->generation ? this->workerOf(id) : nullptr;
            if (!paused)
                return;
            paused->pauseTimerPending = false;
            this->pollIfNeeded(*paused, at);
        });
}

/// A run whose order was answered and which was not seen yet waits for the worker's list: it may
/// have no end that would make the worker answer.
Duration WorkerFleet::pollWaitOf(const Worker &worker) const
{
    const bool hasUnsettledRun
        = std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &entry) {
              return entry.second.orderConfirmedAt && !entry.second.startConfirmedAt;
          });
    if (hasUnsettledRun)
        return Duration{};
    if (this->isWithheld(worker.entry.id))
        return this->settings.withheldPollWait;
    if (worker.isMixed())
        return this->settings.mixedPollWait;
    return worker.entry.draining ? this->settings.drainingPollWait : this->settings.pollWait;
}

/// A worker that drains takes its runs with it when it leaves, at a time that is not known exactly.
/// Its absence proves nothing, since a worker that is cut off looks the same and runs on. Only a
/// short lease lets its tasks start elsewhere soon.
Duration WorkerFleet::leaseOf(const Worker &worker) const
{
    const Duration longest = this->settings.maxLeaseDuration;
    return worker.entry.draining ? std::min(this->settings.drainingLease, longest) : longest;
}

/// A call does not name the process that it is meant for, so an acknowledgement discards ends of
/// whichever process executes it. It is sent to a process that has just answered, when nothing that
/// was ordered before may run in another one, and starts that follow fence it off. So a next
/// process has no end to discard, except of an earlier attempt of a start that it executes late.
bool WorkerFleet::mayAcknowledge(const Worker &worker, TimePoint now) const
{
    if (!worker.hasSession || !worker.isAnswering() || !worker.hasEndsToAcknowledge())
        return false;
    if (now > worker.lastAnswerAt + this->settings.maxAnswerAge)
        return false;
    return std::none_of(worker.runs.begin(), worker.runs.end(),
                        [](const auto &entry) { return entry.second.mayBeOfUnknownProcess(); });
}

void WorkerFleet::poll(const std::string &id, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (!this->active || !worker || worker->pollInFlight || worker->entry.address.empty())
        return;
    if (!this->canRenew(now))
        return;
    Tasks::RenewOrder order;
    order.fencingToken = worker->token.value();
    const bool acknowledges = this->mayAcknowledge(*worker, now);
    if (acknowledges) {
        order.endsRecorded = worker->recordedUpTo();
        worker->acknowledgementToken = worker->token;
    }
    // A worker that does not answer gets no lease extension, so that its runs end.
    if (worker->hasSession && worker->isAnswering() && !worker->runs.empty()) {
        // An acknowledgement must not wait at a worker whose next process may begin meanwhile.
        if (!acknowledges)
            order.wait = this->pollWaitOf(*worker);
        if (!this->isWithheld(id))
            order.leaseUntil = this->extendLease(*worker, this->leaseOf(*worker), now);
    }
    worker->pollInFlight = true;
    worker->renewalInFlight = order.leaseUntil != 0;
    worker->pollSentAt = now;
    worker->pollSerial++;
    const Duration timeout = order.wait + this->settings.pollSlack;
    const SentPoll sent{worker->entry.incarnation, worker->token, order.endsRecorded,
                        worker->renewalInFlight, now};
    this->link.renew(worker->entry, order, timeout,
                     [this, id, sent, serial = worker->pollSerial,
                      generation = this->generation](const WorkerAnswer &answer, TimePoint at) {
                         Worker *sender
                             = generation == this->generation ? this->workerOf(id) : nullptr;
                         if (!sender)
                             return;
                         this->logAcknowledgement(*sender, sent, answer, at);
                         // A poll of an earlier process says nothing of the present one.
                         if (sender->pollSerial != serial)
                             return;
                         this->settleAcknowledgement(*sender, sent, answer, at);
                         this->handlePollAnswer(id, answer, sent, at);
                     });
}

/// An acknowledgement without an answer may be executed later, so calls that follow fence it off.
void WorkerFleet::settleAcknowledgement(Worker &worker, const SentPoll &sent,
                                        const WorkerAnswer &answer, TimePoint now)
{
    if (sent.acknowledgedEnd == 0)
        return;
    // Without a token left, the call stays marked, so that no start follows it.
    const bool isSettled = answer.outcome != WorkerOutcome::Unknown
        || this->fenceOffAcknowledgement(worker, "an acknowledgement has no answer", now);
    if (isSettled)
        worker.acknowledgementToken.reset();
    if (answer.outcome == WorkerOutcome::Done && answer.incarnation == sent.incarnation)
        worker.acknowledgedEnd = std::max(worker.acknowledgedEnd, sent.acknowledgedEnd);
}

bool WorkerFleet::fenceOffAcknowledgement(Worker &worker, const char *reason, TimePoint now)
{
    return worker.acknowledgementToken != worker.token || this->raiseToken(worker, reason, now);
}

/// Logs a poll that acknowledged ends for the first time, one without an answer, which may be
/// executed later, and one that another process has answered than it was sent for.
void WorkerFleet::logAcknowledgement(Worker &worker, const SentPoll &sent,
                                     const WorkerAnswer &answer, TimePoint now)
{
    if (sent.acknowledgedEnd == 0)
        return;
    const bool isOfOtherProcess = answer.incarnation != 0 && answer.incarnation != sent.incarnation;
    const bool isNew = sent.acknowledgedEnd > worker.acknowledgedEnd;
    const bool isUnanswered = answer.outcome == WorkerOutcome::Unknown;
    if (!isNew && !isOfOtherProcess && !isUnanswered)
        return;
    const char *event = "ends acknowledged";
    if (isOfOtherProcess)
        event = "acknowledgement answered by another process";
    else if (isUnanswered)
        event = "acknowledgement not answered";
    else if (answer.outcome != WorkerOutcome::Done)
        event = "acknowledgement rejected";
    this->logger.logEvent(LogKind::Record, event,
                          {{"worker", worker.entry.id},
                           {"incarnation", sent.incarnation},
                           {"answeredBy", answer.incarnation},
                           {"after", worker.acknowledgedEnd},
                           {"upTo", sent.acknowledgedEnd},
                           {"token", sent.token.value()},
                           {"outcome", Tasks::nameOf(answer.outcome)}},
                          now);
}

void WorkerFleet::handlePollAnswer(const std::string &id, const WorkerAnswer &answer,
                                   const SentPoll &sent, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (!worker)
        return;
    worker->pollInFlight = false;
    if (answer.outcome == WorkerOutcome::Fenced) {
        // A later call of this leader may have overtaken the poll.
        if (sent.token < worker->token)
            this->pollIfNeeded(*worker, now);
        else
            this->listener.fenced(now);
        return;
    }
    if (answer.outcome != WorkerOutcome::Done) {
        this->handlePollFailure(*worker, answer.outcome, sent, now);
        return;
    }
    if (std::exchange(worker->pollRetryDelay, Duration{}) != Duration{})
        this->logger.logEvent(LogKind::Dependency, "worker answers again", {{"worker", id}}, now);
    if (this->isWithheld(id))
        this->listener.silenceEnded(now);
    this->acceptEarlierStart(*worker, answer.incarnation, sent.sentAt, now);
    if (!this->acceptAnswer(*worker, answer, now)) {
        this->pollIfNeeded(*worker, now);
        return;
    }
    const bool first = sent.token == worker->token && this->beginSession(*worker, now);
    this->processEnds(*worker, answer, now);
    this->processRunning(*worker, answer, sent.sentAt, now);
    this->adjustPaces(*worker, now);
    if (first)
        this->listener.fleetChanged(now);
    // Ends that are stored need not wait for those that are not.
    if (this->mayAcknowledge(*worker, now))
        this->poll(id, now);
    else
        this->pollIfNeeded(*worker, now);
}

void WorkerFleet::handlePollFailure(Worker &worker, WorkerOutcome outcome, const SentPoll &sent,
                                    TimePoint now)
{
    const std::string id = worker.entry.id;
    if (outcome == WorkerOutcome::Unknown) {
        if (sent.extendsLease)
            worker.renewalGivenUpAt = now;
        this->noteSilence(worker, sent.sentAt, now);
    }
    if (worker.isAnswering())
        this->logger.logEvent(LogKind::Dependency, "worker does not answer",
                              {{"worker", id}, {"runs", worker.runs.size()}}, now);
    worker.backoffUntil = std::max(worker.backoffUntil, now + this->settings.maxRetryDelay);
    worker.pollRetryDelay = std::clamp(worker.pollRetryDelay * 2, this->settings.retryDelay,
                                       this->settings.maxRetryDelay);
    this->checkLease(worker, now);
    this->timers.after(worker.pollRetryDelay,
                       [this, id, generation = this->generation](TimePoint at) {
                           if (generation != this->generation)
                               return;
                           if (Worker *again = this->workerOf(id))
                               this->pollIfNeeded(*again, at);
                       });
}

/// The first answer under a token shows that calls with a lower one extend the lease no more.
/// Returns whether the worker had no session before.
bool WorkerFleet::beginSession(Worker &worker, TimePoint now) const
{
    if (std::exchange(worker.tokenIsNew, false))
        worker.leaseExpiresAt = std::min(worker.leaseExpiresAt, now + this->longestLease());
    return !std::exchange(worker.hasSession, true);
}

bool WorkerFleet::acceptAnswer(Worker &worker, const WorkerAnswer &answer, TimePoint now)
{
    // The incarnation is the start time of the worker's process, so a lower one belongs to a
    // process that no longer exists.
    const bool isGone = answer.incarnation < worker.entry.incarnation
        || answer.incarnation == worker.replacedProcess;
    if (answer.incarnation != 0 && isGone)
        return false;
    const bool isRestarted
        = answer.incarnation != 0 && answer.incarnation != worker.entry.incarnation;
    if (isRestarted && worker.entry.incarnation != 0)
        this->handleRestart(worker, answer.incarnation, now);
    if (isRestarted)
        worker.entry.incarnation = answer.incarnation;
    worker.lastAnswerAt = now;
    this->noteAnswer(worker, now);
    if (answer.clock != 0) {
        worker.clock = answer.clock;
        worker.clockReadAt = now;
    }
    return true;
}

/// Accepts a process whose start time is lower than that of the known one, since its machine's
/// clock was set back: it answers a poll that was sent after the known process had last shown
/// itself.
void WorkerFleet::acceptEarlierStart(Worker &worker, std::int64_t incarnation, TimePoint sentAt,
                                     TimePoint now)
{
    const bool startedEarlier = incarnation != 0 && incarnation < worker.entry.incarnation;
    if (!startedEarlier || sentAt <= std::max(worker.lastAnswerAt, worker.listedAt))
        return;
    worker.replacedProcess = worker.entry.incarnation;
    this->handleRestart(worker, incarnation, now);
    const std::optional<WorkerEntry> entry = std::exchange(worker.otherEntry, std::nullopt);
    if (!entry || entry->incarnation != incarnation)
        return;
    worker.entry = *entry;
    worker.entryWriter = incarnation;
    worker.listed = true;
}

/// Handles a restart of the worker's process, after which the worker has no runs and no ends of the
/// earlier process.
void WorkerFleet::handleRestart(Worker &worker, std::int64_t incarnation, TimePoint now)
{
    this->logger.logEvent(LogKind::Dependency, "worker started anew",
                          {{"worker", worker.entry.id}, {"runs", worker.runs.size()}}, now);
    worker.entry.incarnation = incarnation;
    // Calls that were meant for the former process end with the first one to the new process.
    if (this->raiseToken(worker, "the worker started anew", now))
        worker.acknowledgementToken.reset();
    worker.lastEnd = 0;
    worker.acknowledgedEnd = 0;
    worker.unrecordedEnds.clear();
    worker.hasSession = false;
    // The new process has seen no fencing token, so it is polled at once.
    this->abandonPoll(worker, now);
    worker.consecutiveFailures = 0;
    worker.clock = 0;
    worker.clockReadAt = now;
    for (const auto &[key, run] : worker.runs) {
        if (run.startOutstanding)
            worker.unansweredStarts[run.ref] = now;
    }
    // The worker's clock restarted too, so the end of an earlier lease is meaningless, also in
    // start orders that are still in flight.
    worker.leaseExpiresAt = this->latestExecution(worker, now) + this->longestLease();
    std::vector<RunKey> lost;
    for (auto &[key, run] : worker.runs) {
        if (!this->mayBelongToNextProcess(worker, run, now))
            lost.push_back(key);
        run.listedByProcess = false;
        run.answeredByProcess = false;
    }
    for (const RunKey &key : lost)
        this->reportLostRun(worker, key, "the worker restarted", now);
    this->revokeUnansweredStarts(worker, now);
}

/// Ignores the answer to a poll in flight, which any process of the worker may execute yet.
void WorkerFleet::abandonPoll(Worker &worker, TimePoint now)
{
    if (std::exchange(worker.pollInFlight, false) && worker.renewalInFlight)
        worker.renewalGivenUpAt = now;
    worker.pollSerial++;
}

/// Polls a worker whose process seems to have restarted; the answer names the process. The end of a
/// lease in the answered order was a time on the clock of the former process, so the new one may
/// have granted the longest lease.
void WorkerFleet::suspectRestart(Worker &worker, TimePoint now)
{
    this->logger.logEvent(LogKind::Dependency, "worker may have started anew",
                          {{"worker", worker.entry.id}, {"runs", worker.runs.size()}}, now);
    if (this->raiseToken(worker, "the worker may have started anew", now))
        worker.acknowledgementToken.reset();
    worker.hasSession = false;
    this->abandonPoll(worker, now);
    worker.leaseExpiresAt = std::max(worker.leaseExpiresAt,
                                     this->latestExecution(worker, now) + this->longestLease());
    this->pollIfNeeded(worker, now);
}

/// Whether a run that the former process held, or was told to start, may be one of the worker's
/// next process. The new process may execute a start order that is still in flight, and it may have
/// executed one whose answer was taken for that of the former process. Its lists decide.
bool WorkerFleet::mayBelongToNextProcess(const Worker &worker, const Run &run, TimePoint now) const
{
    const bool isConfirmedByOrder = run.startConfirmedAt && !run.listedByProcess;
    return isConfirmedByOrder || this->mayStillStart(worker, run.ref, now);
}

/// Unanswered start orders may still reach the restarted process, which does not know their runs.
/// They are revoked with stop orders, and their runs count as lost only after that, also those that
/// counted as lost in the former process; otherwise a task could run twice.
void WorkerFleet::revokeUnansweredStarts(Worker &worker, TimePoint now)
{
    const std::map<RunRef, TimePoint> open = worker.unansweredStarts;
    for (const auto &[ref, givenUpAt] : open) {
        if (!this->mayStillStart(worker, ref, now))
            continue;
        Run *run = this->runOf(worker, ref);
        if (!run) {
            this->revokeStart(worker, ref, now);
            continue;
        }
        // The answer to the only attempt shows whether the new process has executed it.
        if (run->startOutstanding && run->startAttempts == 1)
            continue;
        run->startConfirmedAt.reset();
        run->orderConfirmedAt.reset();
        run->stopWanted = true;
        if (!run->stopOutstanding && !run->startOutstanding)
            this->sendStop(worker, *run, now);
    }
}

/// Reports new ends to the listener, also those of runs that this fleet does not track: only the
/// listener knows whether a job's record depends on an end, for example on one that was listed
/// before the worker left the registry and came back.
void WorkerFleet::processEnds(Worker &worker, const WorkerAnswer &answer, TimePoint now)
{
    std::vector<RunEnd> ends;
    for (const EndedTask &ended : answer.ended) {
        if (ended.number <= worker.lastEnd) {
            // The worker has not discarded it, so it is acknowledged again.
            worker.acknowledgedEnd = std::min(worker.acknowledgedEnd, ended.number - 1);
            continue;
        }
        if (ended.number > worker.lastEnd + 1)
            this->logGap(worker, ended.number, now);
        worker.lastEnd = ended.number;
        worker.unrecordedEnds.insert(ended.number);
        ends.push_back(this->takeEnd(worker, ended, now));
    }
    for (const RunEnd &end : ends)
        this->listener.runEnded(end, now);
}

/// A worker numbers its ends without gaps. Missing ones were acknowledged by a former leader, or by
/// a call that was meant for another process.
void WorkerFleet::logGap(const Worker &worker, std::int64_t number, TimePoint now)
{
    this->logger.logEvent(LogKind::Record, "ends are missing in a worker's list",
                          {{"worker", worker.entry.id},
                           {"incarnation", worker.entry.incarnation},
                           {"after", worker.lastEnd},
                           {"next", number}},
                          now);
}

/// Removes the run of a listed end if the fleet tracks it, and describes the end.
RunEnd WorkerFleet::takeEnd(Worker &worker, const EndedTask &ended, TimePoint now)
{
    RunEnd end{ended.run,        worker.entry.id, ended.cause,
               ended.checkpoint, ended.number,    worker.entry.incarnation};
    const Run *run = this->runOf(worker, ended.run);
    if (!run)
        return end;
    if (end.checkpoint.empty())
        end.checkpoint = run->checkpoint;
    if (run->startConfirmedAt && !run->resumed)
        end.runTime = run->elapsed(now);
    constexpr int earlyShareOfRunTime = 10;
    end.wasEarly
        = run->startConfirmedAt && run->elapsed(now) <= run->estimate / earlyShareOfRunTime;
    end.slowness = run->slowness;
    end.tracked = true;
    end.wasAtWork = run->perpetual && run->percent >= Tasks::completePercent;
    this->removeRun(worker, keyOf(ended.run), now);
    return end;
}

void WorkerFleet::processRunning(Worker &worker, const WorkerAnswer &answer, TimePoint sentAt,
                                 TimePoint now)
{
    std::set<RunRef> seen;
    std::vector<RunRef> confirmed;
    for (const RunningTask &running : answer.running) {
        seen.insert(running.run);
        Run *run = this->runOf(worker, running.run);
        if (!run) {
            this->stopUnknownRun(worker, running.run, now);
            continue;
        }
        if (!running.checkpoint.empty())
            run->checkpoint = running.checkpoint;
        const bool reachesWork = run->perpetual && run->percent < Tasks::completePercent
            && running.percent >= Tasks::completePercent;
        if (reachesWork)
            worker.consecutiveFailures = 0;
        run->percent = running.percent;
        run->percentReadAt = now;
        run->load = running.load;
        run->adopted = false;
        run->listedByProcess = true;
        if (!run->startConfirmedAt) {
            run->startConfirmedAt = now;
            run->orderConfirmedAt = now;
            confirmed.push_back(running.run);
        }
        if (!run->perpetual && !run->bestEffort)
            this->listener.runProgressed({run->ref, worker.entry, run->percent,
                                          run->resumed ? std::nullopt : run->startConfirmedAt},
                                         now);
    }
    for (const RunRef &run : confirmed)
        this->listener.runConfirmed(run, now);
    // A run that is missing may have ended; its end may be on the next page.
    if (!answer.hasAllEnds)
        return;
    std::vector<RunKey> missing;
    for (const auto &[key, run] : worker.runs) {
        if (seen.contains(run.ref))
            continue;
        // The worker's answer under this token fences off orders of former leaders, so an adopted
        // run that is not listed can't start any more.
        const bool settled
            = run.orderConfirmedAt && *run.orderConfirmedAt <= sentAt && !run.startOutstanding;
        if (run.adopted || settled)
            missing.push_back(key);
    }
    for (const RunKey &key : missing)
        this->reportMissingRun(worker, key, now);
}

void WorkerFleet::reportMissingRun(Worker &worker, const RunKey &key, TimePoint now)
{
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end())
        return;
    // A run that was stopped may have been stopped before it began.
    if (found->second.startConfirmedAt && !found->second.stopWanted)
        this->logger.logEvent(LogKind::Task, "run in neither list",
                              {{"request", key.first},
                               {"run", Tasks::textOf(found->second.ref)},
                               {"worker", worker.entry.id},
                               {"incarnation", worker.entry.incarnation},
                               {"lastEnd", worker.lastEnd},
                               {"acknowledgedEnd", worker.acknowledgedEnd}},
                              now);
    this->reportLostRun(worker, key, "the worker does not list the run", now);
}

void WorkerFleet::checkLease(Worker &worker, TimePoint now)
{
    if (now < worker.leaseExpiresAt || worker.runs.empty())
        return;
    std::vector<RunKey> keys;
    for (const auto &[key, run] : worker.runs)
        keys.push_back(key);
    for (const RunKey &key : keys)
        this->reportLostRun(worker, key, "the lease has expired and the worker does not answer",
                            now);
    worker.hasSession = false;
}

} // namespace Hibiscus::Coordination
