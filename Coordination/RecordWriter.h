#pragma once

#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Hibiscus::Coordination {

/// Writes jobs' progress records for the leader, one commit at a time. Each commit holds only
/// while the leader's key is unchanged, so a former leader writes nothing. A commit without an
/// answer is sent again as it was: its conditions let it happen once.
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
        /// The record of a job as it is now; empty: remove all that is stored of the job.
        std::function<std::string(const std::string &job)> encode;
        std::function<void(TimePoint)> fenced; ///< The leader's key is not ours any more.
        std::function<void(bool reachable, TimePoint)> reachability;
    };

    using StoredHandler = std::function<void(TimePoint)>;

    RecordWriter(Tasks::MetadataStore &store, TimerService &timers, const Settings &settings,
                 Handlers handlers);

    /// Starts to write under the leader's token.
    void begin(std::int64_t token);
    void stop();
    /// The revision of a job's record, as it was read at takeover.
    void setRevision(const std::string &job, std::int64_t revision);

    /// Has the job's record written. `handler` runs once what is now known of the job is stored.
    void scheduleWrite(const std::string &job, StoredHandler handler);

    /// Runs `handler` once all that was known of the job up to now is stored, at once if it is.
    void whenStored(const std::string &job, StoredHandler handler, TimePoint now);

    std::size_t waiting() const { return this->queue.size() + this->inFlight.size(); }

private:
    struct PendingWrite
    {
        std::string job;
        std::string value; ///< Empty: removed.
        std::vector<StoredHandler> storedHandlers;
    };

    void flush(TimePoint now);
    void append(const std::string &job);
    void send(TimePoint now);
    void handleAnswer(const Tasks::StoreAnswer &answer, TimePoint now);
    void handleCommit(std::int64_t revision, TimePoint now);
    void handleConflict(const Tasks::StoreAnswer &answer, TimePoint now);
    void setReachable(bool value, TimePoint now);

    Tasks::MetadataStore &store;
    TimerService &timers;
    Settings settings;
    Handlers handlers;
    std::uint64_t generation = 0;
    bool active = false;
    bool reachable = true;
    std::int64_t token = 0;
    std::map<std::string, std::int64_t> revisions;
    std::deque<std::string> queue; ///< Jobs to write, each once.
    std::map<std::string, std::vector<StoredHandler>> storedHandlers; ///< Of the jobs in `queue`.
    std::vector<PendingWrite> inFlight;
    Tasks::StoreCommit commit;
};

} // namespace Hibiscus::Coordination
