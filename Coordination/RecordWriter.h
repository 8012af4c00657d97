#pragma once

#include <Coordination/AnswerTimeout.h>
#include <Coordination/EventLogger.h>
#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hibiscus::Coordination {

/// Writes the progress records of jobs for the leader. Each commit is conditional on the leader's
/// key, so a former leader can't write. A commit without an answer is resent unchanged; its
/// revision checks make it idempotent.
///
/// Records that are scheduled while a commit is in flight share the next one, which saves calls. A
/// commit that is answered late or not at all does not hold up the records of other jobs: after
/// `batchDelay` the next commit is sent beside it. Each job is in at most one commit in flight.
///
/// The store may refuse a commit for a while or, because of one record, for good; its answer does
/// not tell which. The jobs of a refused commit are therefore sent one by one. A job that is
/// refused alone stays queued and is sent again after a pause, which grows while the store accepts
/// other records. Its handlers run only once its record is stored.
class RecordWriter
{
public:
    struct Settings
    {
        AnswerTimeout::Settings commitTimeout;
        Duration retryDelay = milliseconds(100);
        /// How long records wait for the answer to the newest commit at most.
        Duration batchDelay = milliseconds(50);
        std::size_t maxBatches = 16; ///< Commits in flight at the same time.
        /// Longest pause between two attempts to write a record that the store refuses while it
        /// accepts others.
        Duration maxRefusedPause = seconds(5);
        /// The same while the store accepts no records.
        Duration maxOutagePause = seconds(1);
    };

    struct Handlers
    {
        /// Returns the current record of a job; empty to remove everything that is stored about the
        /// job.
        std::function<std::string(const std::string &job, TimePoint)> encode;
        /// Another instance holds the leader's key.
        std::function<void(TimePoint)> fenced;
        std::function<void(bool reachable, TimePoint)> reachability;
    };

    using StoredHandler = std::function<void(TimePoint)>;

    RecordWriter(Tasks::MetadataStore &store, TimerService &timers, EventLogger &logger,
                 const Settings &settings, Handlers handlers);

    /// Starts writing under the leader's fencing token.
    void begin(std::int64_t token);
    void stop();
    /// Sets the revision of a job's record that was read at takeover.
    void setRevision(const std::string &job, std::int64_t revision);

    /// Queues a write of the job's record. `handler` runs once the current state of the job is
    /// stored.
    void scheduleWrite(const std::string &job, StoredHandler handler);

    /// Runs `handler` once the job's queued and unanswered writes are stored; immediately if there
    /// are none.
    void whenStored(const std::string &job, StoredHandler handler, TimePoint now);

private:
    struct PendingWrite
    {
        std::string job;
        std::string value; ///< Empty if the record is removed.
        std::vector<StoredHandler> storedHandlers;
    };

    /// A commit in flight.
    struct Batch
    {
        Tasks::StoreCommit commit;
        std::vector<PendingWrite> writes;
        std::int32_t attempts = 0; ///< Number of times that the commit was sent.
        TimePoint openedAt{};
        TimePoint sentAt{}; ///< Of the last attempt.
        std::uint64_t commitsBefore = 0; ///< Value of `storedCommits` when it was opened.
    };
    using BatchId = std::uint64_t; ///< Ids increase in the order in which batches are opened.

    /// A job whose record the store has refused in a commit of its own.
    struct RefusedJob
    {
        std::int32_t refusals = 0;
        Duration pause{};
        std::uint64_t commitsBefore = 0; ///< Value of `storedCommits` at the last refusal.
    };

    void flushAfter(Duration delay);
    void flush(TimePoint now);
    bool mayOpenBatch(TimePoint now) const;
    bool isInFlight(const std::string &job) const;
    Batch takeBatch(TimePoint now);
    bool fitsBatch(const Batch &batch, const std::string &job) const;
    void append(Batch &batch, const std::string &job, std::string value);
    void runStoredHandlers(const std::string &job);
    void send(BatchId id, TimePoint now);
    void handleAnswer(BatchId id, const Tasks::StoreAnswer &answer, TimePoint now);
    void handleCommit(BatchId id, std::int64_t revision, TimePoint now);
    void handleConflict(BatchId id, const Tasks::StoreAnswer &answer, TimePoint now);
    void handleRefusal(BatchId id, TimePoint now);
    void handleSilence(BatchId id, TimePoint now);
    void resendLater(BatchId id);
    /// Puts the batch's jobs back to the front of the queue.
    void requeue(BatchId id);
    /// Queues the only job of the batch again after a pause.
    void postponeRefusedJob(BatchId id, TimePoint now);
    void pauseWriting();
    void setReachable(bool value, TimePoint now);
    void logCommit(std::string_view event, const Batch &batch, std::int64_t revision,
                   TimePoint now);

    Tasks::MetadataStore &store;
    TimerService &timers;
    EventLogger &logger;
    Settings settings;
    Handlers handlers;
    std::uint64_t generation = 0;
    bool active = false;
    bool reachable = true;
    std::int64_t token = 0;
    std::map<std::string, std::int64_t> revisions;
    std::deque<std::string> queue; ///< Jobs to write, without duplicates.
    /// Handlers of the jobs that are queued or postponed.
    std::map<std::string, std::vector<StoredHandler>> storedHandlers;
    std::map<BatchId, Batch> batches; ///< Commits in flight.
    BatchId nextBatch = 1;
    /// Jobs that were refused alone and are not stored since.
    std::map<std::string, RefusedJob> refusedJobs;
    AnswerTimeout commitTimeout;
    std::uint64_t storedCommits = 0; ///< Number of commits that the store has accepted.
    /// Maximum number of jobs in the next commit; halved by refusals, doubled by each success.
    std::size_t commitSize = 0;
    bool paused = false; ///< No commit is sent until `retryDelay` after the last refusal.
};

} // namespace Hibiscus::Coordination
