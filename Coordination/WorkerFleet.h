#pragma once

#include <Coordination/DataCenterReach.h>
#include <Coordination/EventLogger.h>
#include <Coordination/FencingToken.h>
#include <Coordination/TermRecord.h>
#include <Coordination/TimerService.h>
#include <Tasks/PaceController.h>
#include <Tasks/WorkerLink.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus::Coordination {

/// The end of a run, as reported by its worker or concluded by the leader.
struct RunEnd
{
    Tasks::RunRef run;
    std::string worker;
    Tasks::EndCause cause = Tasks::EndCause::Failed;
    std::string checkpoint; ///< Newest known checkpoint; empty if there is none.
    /// Sequence number of the end in the list of the worker's process; 0 if the worker did not
    /// report it.
    std::int64_t number = 0;
    std::int64_t incarnation = 0; ///< The worker's process that reported the end.
    bool tracked = false; ///< Whether the fleet held the run as assigned to the worker.
    bool wasEarly = false; ///< Ended when hardly any of its expected run time had passed.
    bool wasAtWork = false; ///< Of a perpetual task that its worker has reported at work.
    /// Run time observed by this leader; 0 if unknown or if the run resumed from a checkpoint.
    Duration runTime{};
    double slowness = 1.0; ///< See WorkerFleet::Run::slowness.
};

/// Progress of a run that its worker listed.
struct RunProgress
{
    const Tasks::RunRef &run;
    const Tasks::WorkerEntry &worker;
    std::int32_t percent = 0; ///< See Tasks::RunningTask::percent.
    /// Start of the run; empty if it resumed from a checkpoint or was taken over.
    std::optional<TimePoint> startedAt;
};

/// Receives the events of the runs that were assigned to the fleet.
class FleetListener
{
public:
    virtual ~FleetListener() = default;
    virtual void runConfirmed(const Tasks::RunRef &run, TimePoint now) = 0;
    /// Of runs that work at their full pace and have an end.
    virtual void runProgressed(const RunProgress &progress, TimePoint now) = 0;
    virtual void runEnded(const RunEnd &end, TimePoint now) = 0;
    /// The run is certainly not running, can't start any more, and no worker reported its end.
    virtual void runLost(const RunEnd &end, const char *reason, TimePoint now) = 0;
    /// The worker rejected the run's start for lack of a valid permit; runLost follows.
    virtual void permitRejected(const Tasks::RunRef &run, std::string_view worker) = 0;
    /// A worker has seen a higher fencing token, so this instance is no longer the leader.
    virtual void fenced(TimePoint now) = 0;
    /// Free room or the set of workers has changed.
    virtual void fleetChanged(TimePoint now) = 0;
    /// A worker whose leases are withheld has answered.
    virtual void silenceEnded(TimePoint now) = 0;
    /// This leader has no higher fencing token for one of the workers, so its term has to end.
    virtual void tokensUsedUp(TimePoint now) = 0;
};

/// The leader's sessions with all workers: renews the leases of runs, receives their ends, and
/// sends start and stop orders, which are retried until their outcome is known.
class WorkerFleet
{
public:
    struct Settings
    {
        Duration maxLeaseDuration = seconds(6); ///< Longest lease that workers accept.
        /// Lease that a start order asks for; the next poll extends it. A start order without an
        /// answer holds up its task until its lease is over.
        Duration startLease = seconds(3);
        /// Workers answer a poll when a run ends, or after this time.
        Duration pollWait = seconds(2);
        /// Added to the wait of a poll for its timeout.
        Duration pollSlack = milliseconds(500);
        /// A worker with unacknowledged ends answers a poll immediately. It is therefore polled
        /// again only when the ends are stored, or after this time to renew its leases.
        Duration maxPollPause = milliseconds(1500);
        /// A worker whose last answer is older is polled before its ends are acknowledged.
        Duration maxAnswerAge = milliseconds(50);
        Duration orderTimeout = milliseconds(400);
        Duration retryDelay = milliseconds(150);
        Duration maxRetryDelay = seconds(1);
        /// Backoff of a worker after its first failure.
        Duration minBackoff = milliseconds(500);
        Duration maxBackoff = seconds(8);
        /// Attempts to send a start order that gets no answer.
        std::int32_t maxStartAttempts = 3;
        /// An order without an answer may still be executed for this long.
        Duration maxStartDelay = seconds(13);
        /// Safety margin after the computed end of a lease.
        Duration leaseSlack = milliseconds(300);
        /// How long after the end of its own lease a former leader keeps renewing the leases of
        /// runs, so that they survive an outage of the store.
        Duration renewalGrace = defaultRenewalGrace;
        /// An idle worker whose clock was read longer ago is polled for it.
        Duration maxClockAge = seconds(90);
        /// Interval between probes of a data centre that is out of reach.
        Duration probeInterval = milliseconds(500);
        std::size_t probedWorkers = 3; ///< Workers of a data centre that are probed at a time.
        /// Replaces `pollWait` on workers whose leases are withheld, so that they are renewed soon
        /// after that is over.
        Duration withheldPollWait = milliseconds(50);
        /// Replaces `maxLeaseDuration` on workers that drain. When such a worker leaves, its runs
        /// end without a report, and they count until their lease is over.
        Duration drainingLease = milliseconds(2500);
        /// Replaces `pollWait` on workers that drain. A poll without an answer may be repeated
        /// within `drainingLease`.
        Duration drainingPollWait = seconds(1);
        /// Replaces `pollWait` on workers that run latency-sensitive and best-effort tasks
        /// together.
        Duration mixedPollWait = milliseconds(400);
        Tasks::PaceController::Settings pace;
    };

    /// A run that is assigned to a worker.
    struct Run
    {
        Tasks::RunRef ref;
        Tasks::Resources need;
        std::int32_t priority = 0;
        Duration estimate{}; ///< Expected run time.
        /// Expected ratio of its run time to that on a typical worker, for its whole gang.
        double slowness = 1.0;
        std::int32_t members = 1; ///< Size of its gang; 1 for a task without a gang.
        bool checkpoints = false;
        bool perpetual = false;
        /// May be slowed down to protect the response times of other tasks.
        bool bestEffort = false;
        Duration responseTarget{}; ///< Response time target; zero if there is none.
        std::string permit; ///< Permit for the start order; empty if none is needed.
        /// Resumed from a checkpoint or taken over from a former leader, so its run time can't be
        /// measured.
        bool resumed = false;
        std::string payload;
        std::string checkpoint; ///< Newest known checkpoint.
        std::int32_t percent = 0;
        TimePoint percentReadAt{};
        double load = 0.0; ///< Load that the worker reported; see Tasks::RunningTask::load.
        std::int32_t pace = 100; ///< Pace in percent that was last sent to the worker.
        bool paceConfirmed = true; ///< Whether the worker is known to apply that pace.
        /// Until then, a pace order that got no answer may still be executed.
        std::optional<TimePoint> latePaceUntil;
        /// Taken over from a former leader and not yet listed by the worker.
        bool adopted = false;
        bool startOutstanding = false; ///< Sent without an answer yet, or about to be sent again.
        bool stopOutstanding = false;
        bool stopWanted = false;
        /// Not assigned by this leader's plan, but tracked because its late start order has to be
        /// revoked in a restarted worker.
        bool isRevocation = false;
        std::int32_t startAttempts = 0; ///< Number of times that the start order was sent.
        std::optional<TimePoint> startConfirmedAt; ///< When the worker first confirmed the start.
        /// The worker's known process has listed the run. Answers to orders do not name a process.
        bool listedByProcess = false;
        /// By its clock, the worker's known process has answered the newest start order of the run,
        /// or a stop order that was sent after it.
        bool answeredByProcess = false;
        /// When the worker answered the last order; a list that was requested later shows for
        /// certain whether the run exists.
        std::optional<TimePoint> orderConfirmedAt;

        /// Whether the start order was sent, and nothing shows yet that the worker's known process
        /// got it.
        bool mayBeOfUnknownProcess() const
        {
            return this->startAttempts > 0 && !this->listedByProcess && !this->answeredByProcess;
        }

        /// Time since the worker first confirmed the start; zero before that.
        Duration elapsed(TimePoint now) const
        {
            return this->startConfirmedAt ? now - *this->startConfirmedAt : Duration{};
        }
    };

    struct Worker
    {
        Tasks::WorkerEntry entry;
        bool listed = false; ///< Has an entry in the platform's registry.
        /// The worker's process that wrote `entry`; 0 if the entry does not name it.
        std::int64_t entryWriter = 0;
        /// Newest entry of a process that started earlier than the known one by its own clock.
        std::optional<Tasks::WorkerEntry> otherEntry;
        /// A process that ended although its start time is higher than the known one; 0 if there is
        /// none.
        std::int64_t replacedProcess = 0;
        TimePoint listedAt{}; ///< When `entry` was read.
        /// Has answered a poll under the then current token since its process was last found, or
        /// suspected, to be new, or since its leases ran out.
        bool hasSession = false;
        Tasks::Resources used;
        std::int64_t clock = 0; ///< The worker's clock in ms at `clockReadAt`.
        TimePoint clockReadAt{};
        /// From this time on, the worker runs nothing that this leader ordered.
        TimePoint leaseExpiresAt{};
        TimePoint lastAnswerAt{};
        TimePoint backoffUntil{};
        /// Failed orders and runs since the last successful run.
        std::int32_t consecutiveFailures = 0;
        std::int64_t lastEnd = 0; ///< Highest sequence number of a processed end.
        /// Processed ends that are not stored yet.
        std::set<std::int64_t> unrecordedEnds;
        /// Highest sequence number of the ends that the worker was told to discard.
        std::int64_t acknowledgedEnd = 0;
        FencingToken token; ///< Of the next call to the worker.
        /// No poll with this token has been answered yet. The token may rise during a session.
        bool tokenIsNew = true;
        /// Of a call that acknowledged ends and has no answer yet; empty if there is none.
        std::optional<FencingToken> acknowledgementToken;
        bool pollInFlight = false;
        bool renewalInFlight = false; ///< The poll in flight extends the lease.
        /// When a poll that extended the lease was last given up without an answer.
        std::optional<TimePoint> renewalGivenUpAt;
        /// A timer for the end of the pause between two polls is running.
        bool pauseTimerPending = false;
        std::uint64_t pollSerial = 0; ///< Answers to polls with a lower serial are ignored.
        TimePoint pollSentAt{}; ///< When the last poll was sent.
        Duration pollRetryDelay{};
        std::map<std::pair<std::string, Tasks::TaskRef>, Run> runs;
        /// Start orders without a known answer, also of former leaders, and the time since when;
        /// the worker may still execute them.
        std::map<Tasks::RunRef, TimePoint> unansweredStarts;

        /// Whether the entry is that of the worker's present process. Another one may have another
        /// capacity and other labels.
        bool hasOwnEntry() const
        {
            return this->listed
                && (this->entryWriter == 0 || this->entryWriter == this->entry.incarnation);
        }
        bool isUsable(TimePoint now) const
        {
            return this->hasOwnEntry() && this->hasSession && !this->entry.draining
                && now >= this->backoffUntil;
        }
        /// Whether the worker runs latency-sensitive and best-effort tasks together.
        bool isMixed() const;
        std::int64_t recordedUpTo() const
        {
            return this->unrecordedEnds.empty() ? this->lastEnd : *this->unrecordedEnds.begin() - 1;
        }
        /// Whether the worker lists ends that it needs to keep no longer.
        bool hasEndsToAcknowledge() const { return this->recordedUpTo() > this->acknowledgedEnd; }
        /// Whether the last poll had an answer. A session outlasts polls without one.
        bool isAnswering() const { return this->pollRetryDelay == Duration{}; }
    };

    /// Returns the end of the leader's lease by its own clock. From then on no orders are sent, and
    /// the leases of runs are renewed only for the grace time.
    using AuthorityEnd = std::function<TimePoint()>;

    WorkerFleet(Tasks::WorkerLink &link, TimerService &timers, EventLogger &logger,
                const Settings &settings, FleetListener &listener, AuthorityEnd authorityEnd);

    /// Starts to accept workers and runs of former leaders without calling any worker yet: an end
    /// that arrives before its run is known would be lost. `formersEnded` tells that no former
    /// leader renews leases any more.
    void begin(std::int64_t token, bool formersEnded);
    /// The last leader extended no lease on these workers any more, nor did those before it.
    void setSilentBefore(std::set<std::string> silent) { this->silentBefore = std::move(silent); }
    /// Workers with runs that did not answer at least two polls in a row.
    std::set<std::string> silentWorkers() const;
    /// Extends no lease on these workers, in addition to those withheld already.
    void withholdLeases(const std::set<std::string> &silent);
    /// Extends no lease on these workers, and leases on all others again.
    void withholdLeasesOnly(std::set<std::string> silent) { this->withheld = std::move(silent); }
    bool withholdsLeases() const { return !this->withheld.empty(); }
    void openSessions(TimePoint now);
    /// Polls again the workers whose polls ceased when the grace time for renewals was over.
    void resumePolls(TimePoint now);
    void stop();
    void workerListed(const Tasks::WorkerEntry &entry, TimePoint now);
    void workerUnlisted(const std::string &id, TimePoint now);
    /// Removes workers that have left the registry and are not needed any more.
    void forgetUnlisted(TimePoint now);
    void refreshClocks(TimePoint now);

    /// Reserves room on the worker for a run. `start` follows once the assignment is stored.
    void assign(const std::string &worker, Run run, TimePoint now);
    void start(const std::string &worker, const Tasks::RunRef &ref, TimePoint now);
    /// Removes an assignment whose start order was never sent.
    void withdraw(const std::string &worker, const Tasks::RunRef &ref, TimePoint now);
    void requestStop(const std::string &worker, const Tasks::RunRef &ref, TimePoint now);
    /// Adds a run that a former leader started on the worker according to the store. The worker's
    /// first answer shows whether the run still exists, and its new fencing token invalidates
    /// orders of the former leader that are still in flight.
    void adopt(const std::string &worker, std::int64_t incarnation, Run run, TimePoint now);
    /// The end is stored, so the worker may discard it.
    void endRecorded(const RunEnd &end, TimePoint now);
    /// A run on the worker succeeded: resets its failure count.
    void reportSuccess(const std::string &worker);
    /// A run on the worker failed: assigns nothing to it for a backoff. It doubles with each
    /// consecutive failure, except of runs that had been at work.
    void reportFailure(const std::string &worker, bool wasAtWork, TimePoint now);

    const std::map<std::string, Worker, std::less<>> &all() const { return this->workers; }
    /// Whether the worker may get new runs.
    bool isUsable(const Worker &worker, TimePoint now) const
    {
        return worker.isUsable(now) && !this->isWithheld(worker.entry.id)
            && !this->reach.isOutOfReach(worker.entry.dataCenter) && !this->isEvacuated(worker);
    }
    /// Starts nothing on the workers of these data centres.
    void setEvacuated(std::set<std::string, std::less<>> dataCenters)
    {
        this->evacuated = std::move(dataCenters);
    }
    bool isEvacuated(const Worker &worker) const
    {
        return this->evacuated.contains(worker.entry.dataCenter);
    }
    bool isEvacuated(std::string_view worker) const;
    /// Least time for which a worker that has announced to leave stays; negative once it may be
    /// gone. Empty: the worker does not leave, or the time is unknown.
    static std::optional<Duration> timeUntilDeparture(const Worker &worker, TimePoint now);
    /// Longest time since the last answer among workers with runs; empty if no worker has runs.
    std::optional<Duration> oldestAnswerAge(TimePoint now) const;
    const Run *find(std::string_view worker, const Tasks::RunRef &ref) const;
    /// Whether an earlier run of the task may be executed by a restarted worker, so that the task
    /// must not start again yet.
    bool isRevoking(const std::string &job, const Tasks::TaskRef &task) const
    {
        return !this->revocations.empty() && this->revocations.contains({job, task});
    }

private:
    using RunKey = std::pair<std::string, Tasks::TaskRef>;

    /// A poll on its way, as far as its answer is judged by it.
    struct SentPoll
    {
        std::int64_t incarnation = 0; ///< The known process when the poll was sent.
        FencingToken token;
        std::int64_t acknowledgedEnd = 0; ///< See Tasks::RenewOrder::endsRecorded.
        bool extendsLease = false;
        TimePoint sentAt{};
    };

    /// An order on its way, as far as its answer is judged by it.
    struct SentOrder
    {
        std::int64_t incarnation = 0; ///< The known process when the order was sent.
        FencingToken token;
        TimePoint sentAt{};
        /// Lowest value in ms that the clock of the known process showed then; 0 if unknown.
        std::int64_t earliestClock = 0;
        TimePoint clockReadAt{};
    };

    bool isWithheld(const std::string &worker) const { return this->withheld.contains(worker); }
    bool mayBeRenewedByOthers(const std::string &worker) const;

    static RunKey keyOf(const Tasks::RunRef &ref);
    /// Returns the worker, and whether it was unknown before.
    std::pair<Worker &, bool> addWorker(const std::string &id);
    /// Returns false if the term has no token left, and ends it.
    bool raiseToken(Worker &worker, const char *reason, TimePoint now);
    /// Returns false if a call that is sent now would not fence off an acknowledgement.
    bool fenceOffAcknowledgement(Worker &worker, const char *reason, TimePoint now);
    Worker *workerOf(std::string_view id);
    Run *runOf(Worker &worker, const Tasks::RunRef &ref);
    void removeRun(Worker &worker, const RunKey &key, TimePoint now);
    void reportLostRun(Worker &worker, const RunKey &key, const char *reason, TimePoint now);

    Duration longestLease() const;
    bool mayStillStart(const Worker &worker, const Tasks::RunRef &ref, TimePoint now) const;
    TimePoint latestExecution(const Worker &worker, TimePoint now) const;
    Duration boundOfLease(Duration lease) const;
    std::int64_t extendLease(Worker &worker, Duration lease, TimePoint now);
    static std::int64_t earliestClock(const Worker &worker, TimePoint now);
    void noteSilence(const Worker &worker, TimePoint sentAt, TimePoint now);
    void noteAnswer(const Worker &worker, TimePoint now);
    void probe(const std::string &dataCenter, TimePoint now);
    void probeLater(const std::string &dataCenter);
    Duration pollWaitOf(const Worker &worker) const;
    /// Length of the lease that a poll asks for.
    Duration leaseOf(const Worker &worker) const;
    void poll(const std::string &id, TimePoint now);
    void handlePollAnswer(const std::string &id, const Tasks::WorkerAnswer &answer,
                          const SentPoll &sent, TimePoint now);
    void handlePollFailure(Worker &worker, Tasks::WorkerOutcome outcome, const SentPoll &sent,
                           TimePoint now);
    bool beginSession(Worker &worker, TimePoint now) const;
    bool mayAcknowledge(const Worker &worker, TimePoint now) const;
    void settleAcknowledgement(Worker &worker, const SentPoll &sent,
                               const Tasks::WorkerAnswer &answer, TimePoint now);
    void logAcknowledgement(Worker &worker, const SentPoll &sent, const Tasks::WorkerAnswer &answer,
                            TimePoint now);
    bool needsPoll(const Worker &worker) const;
    bool mustPause(const Worker &worker, TimePoint now) const;
    void pollIfNeeded(Worker &worker, TimePoint now);
    void pollAfterPause(Worker &worker, TimePoint now);
    /// Updates the worker's incarnation and clock from an answer. Returns false if the answer is
    /// from an earlier incarnation and must be ignored.
    bool acceptAnswer(Worker &worker, const Tasks::WorkerAnswer &answer, TimePoint now);
    void acceptEarlierStart(Worker &worker, std::int64_t incarnation, TimePoint sentAt,
                            TimePoint now);
    void handleRestart(Worker &worker, std::int64_t incarnation, TimePoint now);
    void abandonPoll(Worker &worker, TimePoint now);
    bool mayBelongToNextProcess(const Worker &worker, const Run &run, TimePoint now) const;
    void suspectRestart(Worker &worker, TimePoint now);
    void revokeUnansweredStarts(Worker &worker, TimePoint now);
    void revokeStart(Worker &worker, const Tasks::RunRef &ref, TimePoint now);
    void processEnds(Worker &worker, const Tasks::WorkerAnswer &answer, TimePoint now);
    void logGap(const Worker &worker, std::int64_t number, TimePoint now);
    RunEnd takeEnd(Worker &worker, const Tasks::EndedTask &ended, TimePoint now);
    void processRunning(Worker &worker, const Tasks::WorkerAnswer &answer, TimePoint sentAt,
                        TimePoint now);
    void reportMissingRun(Worker &worker, const RunKey &key, TimePoint now);
    void stopUnknownRun(Worker &worker, const Tasks::RunRef &ref, TimePoint now);
    void checkLease(Worker &worker, TimePoint now);

    void sendStart(Worker &worker, Run &run, TimePoint now);
    static SentOrder describeOrder(const Worker &worker, TimePoint now);
    void noteOrderAnswer(Worker &worker, const Tasks::RunRef &ref,
                         const Tasks::WorkerAnswer &answer, const SentOrder &sent, TimePoint now);
    Worker *acceptOrderAnswer(const std::string &id, const Tasks::RunRef &ref,
                              Tasks::WorkerAnswer &answer, const SentOrder &sent, TimePoint now);
    void handleStartAnswer(const std::string &id, const Tasks::RunRef &ref,
                           Tasks::WorkerAnswer answer, const SentOrder &sent, TimePoint now);
    void handleUnansweredStart(Worker &worker, Run &run, TimePoint sentAt, TimePoint now);
    void countUnansweredLease(Worker &worker, TimePoint now) const;
    void handleOvertakenStart(Worker &worker, Run &run, TimePoint now);
    bool mayRetryStart(const Worker &worker, const Run &run, TimePoint now) const;
    void retryStart(Worker &worker, Run &run, TimePoint sentAt, TimePoint now);
    void handleRejectedStart(Worker &worker, Run &run, Tasks::WorkerOutcome outcome, TimePoint now);
    void sendStop(Worker &worker, Run &run, TimePoint now);
    void sendStopLater(const std::string &id, const Tasks::RunRef &ref);
    void settleExpiredRun(Worker &worker, Run &run, TimePoint now);
    void handleStopAnswer(const std::string &id, const Tasks::RunRef &ref,
                          Tasks::WorkerAnswer answer, const SentOrder &sent, TimePoint now);
    void backOff(Worker &worker, TimePoint now);
    void pause(Worker &worker, Duration span, TimePoint now);
    void adjustPaces(Worker &worker, TimePoint now);
    void sendPace(Worker &worker, Run &run, std::int32_t percent);
    bool hasAuthority(TimePoint now) const;
    bool canRenew(TimePoint now) const;

    Tasks::WorkerLink &link;
    TimerService &timers;
    EventLogger &logger;
    Settings settings;
    FleetListener &listener;
    AuthorityEnd authorityEnd;
    Tasks::PaceController paceControl;
    std::uint64_t generation = 0; ///< Answers to calls of earlier generations are ignored.
    bool active = false;
    FencingToken firstToken; ///< Of the first call to a worker that becomes known.
    bool formersEnded = false; ///< No former leader renews leases any more.
    std::set<std::string> silentBefore; ///< Workers on which no former leader renews leases.
    std::set<std::string> withheld; ///< Workers on which this leader extends no lease.
    std::map<std::string, Worker, std::less<>> workers;
    DataCenterReach reach;
    std::set<std::string, std::less<>> evacuated; ///< Data centres; see setEvacuated.
    std::set<std::string> probedDataCenters; ///< Have a timer for their next probe.
    std::multiset<RunKey> revocations; ///< Tasks of the runs with `isRevocation`.
};

} // namespace Hibiscus::Coordination
