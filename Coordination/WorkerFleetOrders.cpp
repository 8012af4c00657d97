#include <Coordination/WorkerFleet.h>

#include <algorithm>
#include <cassert>
#include <utility>

// The orders of WorkerFleet: start, stop and pace orders, which are retried until their outcome is
// known.
namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::RunRef;
using Tasks::WorkerAnswer;
using Tasks::WorkerOutcome;

/// Stops a run that the leader does not know, such as one of a late start order that had timed out.
void WorkerFleet::stopUnknownRun(Worker &worker, const RunRef &ref, TimePoint now)
{
    if (!this->hasAuthority(now))
        return;
    this->link.stop(worker.entry, {ref, worker.token.value()}, this->settings.orderTimeout,
                    [](const WorkerAnswer &, TimePoint) {});
}

/// Tracks a run whose start order may be executed by the worker's new process, until the worker has
/// accepted a stop order for it and does not list it.
void WorkerFleet::revokeStart(Worker &worker, const RunRef &ref, TimePoint now)
{
    const auto [found, added] = worker.runs.try_emplace(keyOf(ref));
    if (!added)
        return;
    Run &run = found->second;
    run.ref = ref;
    run.stopWanted = true;
    run.isRevocation = true;
    this->revocations.insert(keyOf(ref));
    this->sendStop(worker, run, now);
}

void WorkerFleet::start(const std::string &id, const RunRef &ref, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    Run *run = worker ? this->runOf(*worker, ref) : nullptr;
    if (run && this->isWithheld(id))
        this->reportLostRun(*worker, keyOf(ref), "the worker fell silent before the start", now);
    else if (run)
        this->sendStart(*worker, *run, now);
}

void WorkerFleet::sendStart(Worker &worker, Run &run, TimePoint now)
{
    // A term without tokens left is about to end.
    if (!this->fenceOffAcknowledgement(worker, "a start follows an acknowledgement", now))
        return;
    run.startOutstanding = true;
    run.startAttempts++;
    run.answeredByProcess = false;
    Tasks::StartOrder order;
    order.run = run.ref;
    order.payload = run.payload;
    order.checkpoint = run.checkpoint;
    order.permit = run.permit;
    const SentOrder sent = describeOrder(worker, now);
    order.leaseUntil = this->extendLease(worker, this->settings.startLease, now);
    order.fencingToken = worker.token.value();
    this->link.start(worker.entry, order, this->settings.orderTimeout,
                     [this, id = worker.entry.id, ref = run.ref, sent,
                      generation = this->generation](const WorkerAnswer &answer, TimePoint at) {
                         if (generation == this->generation)
                             this->handleStartAnswer(id, ref, answer, sent, at);
                     });
}

WorkerFleet::SentOrder WorkerFleet::describeOrder(const Worker &worker, TimePoint now)
{
    return {worker.entry.incarnation, worker.token, now, earliestClock(worker, now),
            worker.clockReadAt};
}

/// An answer to an order names no process, but tells its clock. The clock of a process that has
/// started since the last reading arrived shows less than the time since then, and is behind its
/// value at the sending of the order unless the known process was younger than that time.
void WorkerFleet::noteOrderAnswer(Worker &worker, const RunRef &ref, const WorkerAnswer &answer,
                                  const SentOrder &sent, TimePoint now)
{
    if (answer.clock == 0 || sent.earliestClock == 0 || !worker.hasSession)
        return;
    const bool mayBeNew
        = answer.clock < sent.earliestClock || answer.clock <= toMs(now - sent.clockReadAt);
    if (mayBeNew)
        this->suspectRestart(worker, now);
    else if (Run *run = this->runOf(worker, ref))
        run->answeredByProcess = true;
}

/// Handles the common part of all answers to orders. Returns null if the worker is unknown or has
/// fenced this leader off.
WorkerFleet::Worker *WorkerFleet::acceptOrderAnswer(const std::string &id, const RunRef &ref,
                                                    WorkerAnswer &answer, const SentOrder &sent,
                                                    TimePoint now)
{
    Worker *worker = this->workerOf(id);
    if (worker && answer.outcome == WorkerOutcome::Fenced && sent.token == worker->token) {
        this->listener.fenced(now);
        return nullptr;
    }
    const bool hasAnswer = worker && answer.outcome != WorkerOutcome::Unknown;
    // After a restart, either process may have answered, so the clock tells nothing of the new one.
    if (hasAnswer && sent.incarnation != worker->entry.incarnation)
        answer.clock = 0;
    if (hasAnswer)
        this->noteOrderAnswer(*worker, ref, answer, sent, now);
    if (hasAnswer && !this->acceptAnswer(*worker, answer, now))
        answer.outcome = WorkerOutcome::Unknown;
    if (hasAnswer && !worker->hasSession)
        this->pollIfNeeded(*worker, now);
    return worker;
}

void WorkerFleet::handleStartAnswer(const std::string &id, const RunRef &ref, WorkerAnswer answer,
                                    const SentOrder &sent, TimePoint now)
{
    Worker *worker = this->acceptOrderAnswer(id, ref, answer, sent, now);
    Run *run = worker ? this->runOf(*worker, ref) : nullptr;
    if (!run)
        return;
    run->startOutstanding = false;
    switch (answer.outcome) {
    case WorkerOutcome::Done:
        run->orderConfirmedAt = now;
        if (!std::exchange(run->startConfirmedAt, now))
            this->listener.runConfirmed(ref, now);
        break;
    case WorkerOutcome::Unknown:
        std::erase_if(worker->unansweredStarts, [this, now](const auto &entry) {
            return now > entry.second + this->settings.maxStartDelay;
        });
        worker->unansweredStarts[ref] = now;
        this->countUnansweredLease(*worker, now);
        this->logger.logEvent(LogKind::Task, "start not answered",
                              {{"request", ref.job},
                               {"run", Tasks::textOf(ref)},
                               {"worker", id},
                               {"try", run->startAttempts}},
                              now);
        // A data centre is probed before the start is given up for it.
        this->handleUnansweredStart(*worker, *run, sent.sentAt, now);
        this->noteSilence(*worker, sent.sentAt, now);
        return;
    case WorkerOutcome::Fenced:
        this->handleOvertakenStart(*worker, *run, now);
        return;
    case WorkerOutcome::NotPermitted:
        this->listener.permitRejected(ref, id);
        this->handleRejectedStart(*worker, *run, answer.outcome, now);
        this->pollIfNeeded(*worker, now);
        return;
    default:
        this->logger.logEvent(LogKind::Task, "start rejected",
                              {{"request", ref.job},
                               {"run", Tasks::textOf(ref)},
                               {"worker", id},
                               {"reason", Tasks::nameOf(answer.outcome)},
                               {"try", run->startAttempts}},
                              now);
        this->backOff(*worker, now);
        this->handleRejectedStart(*worker, *run, answer.outcome, now);
        this->pollIfNeeded(*worker, now);
        return;
    }
    if (run->stopWanted && !run->stopOutstanding)
        this->sendStop(*worker, *run, now);
    this->pollIfNeeded(*worker, now);
}

/// A process that has started since may have executed a start order without an answer. It grants
/// the longest lease, since the end that the order names is a time on the former clock. While the
/// leader has no session with the worker, that process may execute this and other calls late.
void WorkerFleet::countUnansweredLease(Worker &worker, TimePoint now) const
{
    const TimePoint granted = worker.hasSession ? now : this->latestExecution(worker, now);
    worker.leaseExpiresAt = std::max(worker.leaseExpiresAt, granted + this->longestLease());
}

/// A later call of this leader has overtaken the start order, which was not executed.
void WorkerFleet::handleOvertakenStart(Worker &worker, Run &run, TimePoint now)
{
    if (this->mayRetryStart(worker, run, now))
        this->sendStart(worker, run, now);
    else
        this->handleRejectedStart(worker, run, WorkerOutcome::Fenced, now);
}

/// A rejection concerns one attempt only. Earlier attempts without an answer may still be executed
/// until the worker has accepted a stop order for the run, or has answered that it accepts no start
/// of the run any more.
void WorkerFleet::handleRejectedStart(Worker &worker, Run &run, WorkerOutcome outcome,
                                      TimePoint now)
{
    if (outcome == WorkerOutcome::Superseded) {
        // The run may have been executed and may have ended; the worker's lists show it.
        run.orderConfirmedAt = now;
        this->pollIfNeeded(worker, now);
        return;
    }
    if (run.startAttempts > 1) {
        run.stopWanted = true;
        this->sendStop(worker, run, now);
        return;
    }
    this->reportLostRun(worker, keyOf(run.ref), "the worker rejected the start order", now);
}

void WorkerFleet::handleUnansweredStart(Worker &worker, Run &run, TimePoint sentAt, TimePoint now)
{
    if (this->mayRetryStart(worker, run, now)) {
        this->retryStart(worker, run, sentAt, now);
        return;
    }
    this->backOff(worker, now);
    run.stopWanted = true;
    this->sendStop(worker, run, now);
}

bool WorkerFleet::mayRetryStart(const Worker &worker, const Run &run, TimePoint now) const
{
    const bool hasAttemptLeft = run.startAttempts < this->settings.maxStartAttempts;
    return hasAttemptLeft && !run.stopWanted && worker.hasSession && this->hasAuthority(now)
        && !this->isWithheld(worker.entry.id) && !this->reach.isOutOfReach(worker.entry.dataCenter)
        && !this->isEvacuated(worker);
}

/// A connection that is refused or reset fails at once. All attempts would be used up within a few
/// milliseconds, so the next one waits until an attempt without any answer would be over.
void WorkerFleet::retryStart(Worker &worker, Run &run, TimePoint sentAt, TimePoint now)
{
    const TimePoint dueAt = sentAt + this->settings.orderTimeout;
    if (now >= dueAt) {
        this->sendStart(worker, run, now);
        return;
    }
    run.startOutstanding = true;
    this->timers.after(
        dueAt - now,
        [this, id = worker.entry.id, ref = run.ref, generation = this->generation](TimePoint at) {
            Worker *again = generation == this->generation ? this->workerOf(id) : nullptr;
            Run *waiting = again ? this->runOf(*again, ref) : nullptr;
            if (!waiting)
                return;
            waiting->startOutstanding = false;
            if (this->mayRetryStart(*again, *waiting, at)) {
                this->sendStart(*again, *waiting, at);
                return;
            }
            waiting->stopWanted = true;
            if (!waiting->stopOutstanding)
                this->sendStop(*again, *waiting, at);
        });
}

/// Slows down best-effort runs while the response times of other runs on the worker approach their
/// targets.
void WorkerFleet::adjustPaces(Worker &worker, TimePoint now)
{
    if (!this->hasAuthority(now))
        return;
    double load = 0.0;
    for (const auto &[key, run] : worker.runs) {
        if (run.responseTarget > Duration{})
            load = std::max(load, run.load / static_cast<double>(toMs(run.responseTarget)));
    }
    for (auto &[key, run] : worker.runs) {
        if (!run.bestEffort || !run.startConfirmedAt)
            continue;
        const std::int32_t percent = this->paceControl.nextPercent(run.pace, load);
        if (run.pace == percent && run.paceConfirmed && !run.latePaceUntil)
            continue;
        if (run.latePaceUntil && now > *run.latePaceUntil)
            run.latePaceUntil.reset();
        this->logger.logEvent(LogKind::Task, "pace set",
                              {{"request", run.ref.job},
                               {"run", Tasks::textOf(run.ref)},
                               {"worker", worker.entry.id},
                               {"percent", percent},
                               {"loadOfTarget", load}},
                              now);
        this->sendPace(worker, run, percent);
    }
}

/// Sends a pace order. If the order fails, it is sent again after the worker's next answer to a
/// poll. An order without an answer may be executed after a newer one, so the pace is sent after
/// each answer to a poll until that can't happen any more.
void WorkerFleet::sendPace(Worker &worker, Run &run, std::int32_t percent)
{
    run.pace = percent;
    run.paceConfirmed = true;
    this->link.setPace(
        worker.entry, {run.ref, percent, worker.token.value()}, this->settings.orderTimeout,
        [this, id = worker.entry.id, ref = run.ref,
         generation = this->generation](const WorkerAnswer &answer, TimePoint at) {
            if (generation != this->generation || answer.outcome == WorkerOutcome::Done)
                return;
            Worker *target = this->workerOf(id);
            Run *failed = target ? this->runOf(*target, ref) : nullptr;
            if (!failed)
                return;
            failed->paceConfirmed = false;
            if (answer.outcome == WorkerOutcome::Unknown)
                failed->latePaceUntil = at + this->settings.maxStartDelay;
        });
}

void WorkerFleet::requestStop(const std::string &id, const RunRef &ref, TimePoint now)
{
    Worker *worker = this->workerOf(id);
    Run *run = worker ? this->runOf(*worker, ref) : nullptr;
    if (!run || run->stopWanted)
        return;
    run->stopWanted = true;
    if (!run->startOutstanding)
        this->sendStop(*worker, *run, now);
}

void WorkerFleet::sendStop(Worker &worker, Run &run, TimePoint now)
{
    if (now >= worker.leaseExpiresAt) {
        this->settleExpiredRun(worker, run, now);
        return;
    }
    run.stopOutstanding = true;
    this->link.stop(worker.entry, {run.ref, worker.token.value()}, this->settings.orderTimeout,
                    [this, id = worker.entry.id, ref = run.ref, sent = describeOrder(worker, now),
                     generation = this->generation](const WorkerAnswer &answer, TimePoint at) {
                        if (generation == this->generation)
                            this->handleStopAnswer(id, ref, answer, sent, at);
                    });
}

/// Handles a run that was not stopped before the end of its lease. The worker has stopped all its
/// runs by then and rejects late start orders, but the run may have ended in another way before.
/// The answer to a poll shows that; without one, the run is lost. Until it answers, the worker has
/// no session, so it gets no new runs and no lease.
void WorkerFleet::settleExpiredRun(Worker &worker, Run &run, TimePoint now)
{
    if (!run.orderConfirmedAt)
        run.orderConfirmedAt = now;
    if (std::exchange(worker.hasSession, false))
        this->pollIfNeeded(worker, now);
    if (worker.pollInFlight)
        this->sendStopLater(worker.entry.id, run.ref);
    else
        this->reportLostRun(worker, keyOf(run.ref), "the lease has expired", now);
}

void WorkerFleet::handleStopAnswer(const std::string &id, const RunRef &ref, WorkerAnswer answer,
                                   const SentOrder &sent, TimePoint now)
{
    Worker *worker = this->acceptOrderAnswer(id, ref, answer, sent, now);
    Run *run = worker ? this->runOf(*worker, ref) : nullptr;
    if (!run)
        return;
    run->stopOutstanding = false;
    this->logger.logEvent(LogKind::Task, "stop order answered",
                          {{"request", ref.job},
                           {"run", Tasks::textOf(ref)},
                           {"worker", id},
                           {"outcome", Tasks::nameOf(answer.outcome)}},
                          now);
    if (answer.outcome == WorkerOutcome::Done || answer.outcome == WorkerOutcome::Superseded) {
        run->orderConfirmedAt = now;
        this->pollIfNeeded(*worker, now);
        return;
    }
    this->sendStopLater(id, ref);
}

void WorkerFleet::sendStopLater(const std::string &id, const RunRef &ref)
{
    this->timers.after(this->settings.retryDelay,
                       [this, id, ref, generation = this->generation](TimePoint at) {
                           if (generation != this->generation)
                               return;
                           Worker *again = this->workerOf(id);
                           Run *waiting = again ? this->runOf(*again, ref) : nullptr;
                           if (waiting && !waiting->stopOutstanding)
                               this->sendStop(*again, *waiting, at);
                       });
}

} // namespace Hibiscus::Coordination
