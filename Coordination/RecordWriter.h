#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hibiscus::Coordination {

/// Writes the progress records of jobs for the leader, one commit at a time. Each commit is
/// conditional on the leader's key, so a former leader can't write. A commit without an answer is
/// resent unchanged; its revision checks make it idempotent.
class RecordWriter
{
public:
    struct Settings
    {
        Duration commitTimeout = milliseconds(700);
        Duration retryDelay = milliseconds(100);
    };

    struct Handlers
    {
        /// Returns the current record of a job; empty to remove everything that is stored about the
        /// job.
        std::function<std::string(const std::string &job)> encode;
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

    std::size_t waiting() const { return this->queue.size() + this->inFlight.size(); }

private:
    struct PendingWrite
    {
        std::string job;
        std::string value; ///< Empty if the record is removed.
        std::vector<StoredHandler> storedHandlers;
    };

    void flush(TimePoint now);
    void append(const std::string &job);
    void send(TimePoint now);
    void handleAnswer(const Tasks::StoreAnswer &answer, TimePoint now);
    void handleCommit(std::int64_t revision, TimePoint now);
    void handleConflict(const Tasks::StoreAnswer &answer, TimePoint now);
    void setReachable(bool value, TimePoint now);
    void logCommit(std::string_view event, std::int64_t revision, TimePoint now);

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
    /// Handlers of the jobs in `queue`.
    std::map<std::string, std::vector<StoredHandler>> storedHandlers;
    std::vector<PendingWrite> inFlight;
    Tasks::StoreCommit commit;
    std::int32_t attempts = 0; ///< Number of times that `commit` was sent.
};

} // namespace Hibiscus::Coordination
