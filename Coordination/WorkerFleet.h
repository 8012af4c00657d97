#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/TimerService.h>
#include <Tasks/PaceController.h>
#include <Tasks/WorkerLink.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Hibiscus::Coordination {

/// Why a run is no longer on its worker.
struct RunEnd
{
    Tasks::RunRef run;
    std::string worker;
    Tasks::EndCause cause = Tasks::EndCause::Failed;
    std::string checkpoint; ///< Newest known; empty: none.
    std::int64_t number = 0; ///< Of the end in the worker's list; 0: not listed.
    Duration runTime{}; ///< As far as this leader saw it; 0: not known, or it resumed.
};

/// What the fleet tells of the runs that it was given.
class FleetListener
{
public:
    virtual ~FleetListener() = default;
    virtual void runConfirmed(const Tasks::RunRef &run, TimePoint now) = 0;
    virtual void runEnded(const RunEnd &end, TimePoint now) = 0;
    /// The run surely does not run and will not, and no end of it is known.
    virtual void runLost(const RunEnd &end, const char *reason, TimePoint now) = 0;
    /// The worker rejected the run's start for want of a valid permit; the run is lost.
    virtual void permitRejected(const Tasks::RunRef &run, std::string_view worker) = 0;
    /// A worker has seen a higher fencing token.
    virtual void fenced(TimePoint now) = 0;
    /// Room or the set of workers changed.
    virtual void fleetChanged(TimePoint now) = 0;
};

/// Sessions with all workers while this instance leads: renews the leases of what runs, learns
/// ends, carries out starts and stops and repeats them until their outcome is known.
class WorkerFleet
{
public:
    struct Settings
    {
        Duration maxLeaseDuration = seconds(6); ///< Longest lease that workers grant.
        Duration pollWait = seconds(2); ///< Workers answer at an end, or after this.
        Duration pollSlack = milliseconds(500); ///< More than this without an answer: none comes.
        /// A worker answers at once while it lists an end, so it is asked again when the end is
        /// stored, or after this, for the sake of its leases.
        Duration maxPollPause = milliseconds(1500);
        Duration orderTimeout = milliseconds(400);
        Duration retryDelay = milliseconds(150);
        Duration maxRetryDelay = seconds(1);
        Duration minBackoff = milliseconds(500); ///< After a failed order.
        Duration maxBackoff = seconds(8);
        std::int32_t maxStartAttempts = 3; ///< Sendings of one start without an answer.
        /// An order without an answer is not carried out later than this.
        Duration maxStartDelay = seconds(13);
        Duration leaseSlack = milliseconds(300); ///< Beyond the computed end of a lease.
        /// How long a leader that lost the store goes on renewing leases.
        Duration renewalGrace = seconds(5);
        /// Instead of `pollWait` where some tasks serve users and others fill the worker.
        Duration mixedPollWait = milliseconds(400);
        Tasks::PaceController::Settings pace;
    };

    /// One run that this fleet has been given.
    struct Run
    {
        Tasks::RunRef ref;
        Tasks::Resources need;
        std::int32_t priority = 0;
        Duration estimate{}; ///< Of its run time.
        std::int32_t members = 1; ///< Of its gang.
        bool checkpoints = false;
        bool perpetual = false;
        bool bestEffort = false; ///< May be slowed for the sake of tasks that serve users.
        Duration responseTarget{}; ///< Zero: none.
        std::string permit; ///< For its start; empty: none is needed.
        bool resumed = false; ///< From a checkpoint, or taken over: its start tells no run time.
        std::string payload;
        std::string checkpoint; ///< Newest known.
        std::int32_t percent = 0;
        double load = 0.0; ///< See RunningTask.
        std::int32_t pace = 100; ///< Percent that the worker was told.
        bool paceConfirmed = true; ///< Whether the worker surely has that pace.
        bool adopted = false; ///< Taken over from a former leader and not yet seen.
        bool startOutstanding = false;
        bool stopOutstanding = false;
        bool stopWanted = false;
        std::int32_t startAttempts = 0; ///< Sendings of its start.
        std::optional<TimePoint> startConfirmedAt; ///< Its start.
        /// The worker's word on the last order; a list asked for later is complete about the run.
        std::optional<TimePoint> orderConfirmedAt;
    };

    struct Worker
    {
        Tasks::WorkerEntry entry;
        bool listed = false; ///< In the platform's registry.
        bool hasSession = false; ///< Has answered under the present token.
        Tasks::Resources used;
        std::int64_t clock = 0; ///< The worker's, in ms, at `clockReadAt`.
        TimePoint clockReadAt{};
        TimePoint leaseExpiresAt{}; ///< From then on nothing runs that we ordered.
        TimePoint lastAnswerAt{};
        TimePoint backoffUntil{};
        std::int32_t consecutiveFailures
            = 0; ///< Failed orders and runs since the last run that was done.
        std::int64_t lastEnd = 0; ///< Highest end that was processed.
        std::set<std::int64_t> unrecordedEnds; ///< Ends that are not stored yet.
        std::int64_t acknowledgedEnd = 0; ///< Highest end that the worker was told to forget.
        bool pollInFlight = false;
        bool pauseTimerPending = false; ///< A timer ends the pause between two polls.
        TimePoint pollSentAt{}; ///< Start of the last poll.
        Duration pollRetryDelay{};
        std::map<std::pair<std::string, Tasks::TaskRef>, Run> runs;
        /// Starts that had no answer, and when they were given up; they may still be carried out.
        std::map<Tasks::RunRef, TimePoint> unansweredStarts;

        bool isUsable(TimePoint now) const
        {
            return this->listed && this->hasSession && !this->entry.draining
                && now >= this->backoffUntil;
        }
        /// Whether tasks that serve users share the worker with tasks that fill it.
        bool isMixed() const;
        std::int64_t recordedUpTo() const
        {
            return this->unrecordedEnds.empty() ? this->lastEnd : *this->unrecordedEnds.begin() - 1;
        }
    };

    WorkerFleet(Tasks::WorkerLink &link, TimerService &timers, EventLogger &logger,
                const Settings &settings, FleetListener &listener);

    /// Takes workers and runs of former leaders in, but calls no worker yet: an end that is learned
    /// before its run is known would be forgotten.
    void begin(std::int64_t token, TimePoint now);
    void openSessions(TimePoint now);
    void stop();
    /// While false, nothing is started or stopped; leases are renewed for the grace time.
    void setAuthority(bool value, TimePoint now);

    void workerListed(const Tasks::WorkerEntry &entry, TimePoint now);
    void workerUnlisted(const std::string &id, TimePoint now);

    /// Takes room for a run; `start` follows once the assignment is stored.
    void assign(const std::string &worker, Run run, TimePoint now);
    void start(const std::string &worker, const Tasks::RunRef &ref, TimePoint now);
    /// Gives up an assignment that was never sent.
    void withdraw(const std::string &worker, const Tasks::RunRef &ref, TimePoint now);
    void requestStop(const std::string &worker, const Tasks::RunRef &ref, TimePoint now);
    /// A run that the store says is on this worker, started by a former leader. Whether it is still
    /// there, the worker's first answer tells; that bars what the former leader sent as well.
    void adopt(const std::string &worker, std::int64_t incarnation, Run run, TimePoint now);
    /// The end is stored: the worker may forget it.
    void endRecorded(const std::string &worker, std::int64_t number, TimePoint now);
    /// The worker did what it was given.
    void reportSuccess(const std::string &worker);
    /// The worker failed what it was given: leave it alone, twice as long each time in a row.
    void reportFailure(const std::string &worker, TimePoint now);

    const std::map<std::string, Worker, std::less<>> &all() const { return this->workers; }
    /// How long ago the most silent worker that runs something has answered; absent: none runs.
    std::optional<Duration> oldestAnswerAge(TimePoint now) const;
    const Run *find(std::string_view worker, const Tasks::RunRef &ref) const;

private:
    using RunKey = std::pair<std::string, Tasks::TaskRef>;

    static RunKey keyOf(const Tasks::RunRef &ref);
    Worker *workerOf(std::string_view id);
    Run *runOf(Worker &worker, const Tasks::RunRef &ref);
    void removeRun(Worker &worker, const RunKey &key, TimePoint now);
    void reportLostRun(Worker &worker, const RunKey &key, const char *reason, TimePoint now);

    Duration longestLease() const;
    std::int64_t extendLease(Worker &worker, TimePoint now);
    void poll(const std::string &id, TimePoint now);
    void handlePollAnswer(const std::string &id, const Tasks::WorkerAnswer &answer,
                          TimePoint sentAt, TimePoint now);
    bool needsPoll(const Worker &worker) const;
    void pollIfNeeded(Worker &worker, TimePoint now);
    void pollAfterPause(Worker &worker, TimePoint now);
    /// False: the answer is of an earlier life of the worker and tells nothing.
    bool acceptAnswer(Worker &worker, const Tasks::WorkerAnswer &answer, TimePoint now);
    void handleRestart(Worker &worker, std::int64_t incarnation, TimePoint now);
    void revokeUnansweredStarts(Worker &worker, TimePoint now);
    void revokeStart(const std::string &id, const Tasks::RunRef &ref, TimePoint now);
    void processEnds(Worker &worker, const Tasks::WorkerAnswer &answer, TimePoint now);
    void processRunning(Worker &worker, const Tasks::WorkerAnswer &answer, TimePoint sentAt,
                        TimePoint now);
    void stopUnknownRun(Worker &worker, const Tasks::RunRef &ref);
    void checkLease(Worker &worker, TimePoint now);

    void sendStart(Worker &worker, Run &run, TimePoint now);
    Worker *acceptOrderAnswer(const std::string &id, Tasks::WorkerAnswer &answer, TimePoint now);
    void handleStartAnswer(const std::string &id, const Tasks::RunRef &ref,
                           Tasks::WorkerAnswer answer, TimePoint now);
    void handleUnansweredStart(Worker &worker, Run &run, TimePoint now);
    void sendStop(Worker &worker, Run &run, TimePoint now);
    void handleStopAnswer(const std::string &id, const Tasks::RunRef &ref,
                          Tasks::WorkerAnswer answer, TimePoint now);
    void backOff(Worker &worker, TimePoint now);
    void adjustPaces(Worker &worker, TimePoint now);
    void sendPace(Worker &worker, Run &run, std::int32_t percent);
    bool canRenew(TimePoint now) const;

    Tasks::WorkerLink &link;
    TimerService &timers;
    EventLogger &logger;
    Settings settings;
    FleetListener &listener;
    Tasks::PaceController paceControl;
    std::uint64_t generation = 0; ///< Answers to calls of an earlier one are ignored.
    bool active = false;
    bool authority = false;
    TimePoint authorityLostAt{};
    std::int64_t token = 0;
    std::map<std::string, Worker, std::less<>> workers;
};

} // namespace Hibiscus::Coordination
