#pragma once

#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Hibiscus::Coordination {

/// Mirrors all keys below a prefix: lists them, then watches from the revision of the list, and
/// lists again when the store has compacted the history in between. Reports each change once.
class PrefixWatch
{
public:
    struct Settings
    {
        std::string prefix;
        /// How long one watch call waits; a connection that went silent is noticed a little later.
        Duration wait = seconds(1);
        Duration listTimeout = milliseconds(1500);
        Duration minRetryDelay = milliseconds(100);
        Duration maxRetryDelay = milliseconds(500);
    };

    struct Handlers
    {
        /// Called when a key was written or removed.
        std::function<void(const Tasks::StoredItem &, TimePoint)> changed;
        /// Called after all changes of a list were reported.
        std::function<void(TimePoint)> listed;
        /// Called when the store becomes reachable or unreachable.
        std::function<void(bool reachable, TimePoint)> reachability;
    };

    PrefixWatch(Tasks::MetadataStore &store, TimerService &timers, Settings settings,
                Handlers handlers);

    void start(TimePoint now);
    void stop();
    /// Asks the store at once, also while a call is in flight: it may have been sent during an
    /// outage and never be answered.
    void refresh(TimePoint now);

    /// All changes that the store acknowledged before this time have been reported.
    std::optional<TimePoint> freshAt() const { return this->fresh; }
    /// All changes up to this revision of the store have been reported.
    std::int64_t reportedRevision() const { return this->revision; }

private:
    void listPage(const std::string &after, TimePoint now);
    void handlePage(const Tasks::StoreAnswer &answer, TimePoint now);
    void finishList(TimePoint now);
    void watchNext(TimePoint now);
    void handleWatchAnswer(const Tasks::StoreAnswer &answer, TimePoint sentAt, TimePoint now);
    void apply(const Tasks::StoredItem &item, TimePoint now);
    void retryLater(TimePoint now, bool listAgain);
    void markReachable(TimePoint now);

    Tasks::MetadataStore &store;
    TimerService &timers;
    Settings settings;
    Handlers handlers;
    std::uint64_t generation = 0; ///< Answers to calls of earlier generations are ignored.
    /// Revisions of the existing keys.
    std::map<std::string, std::int64_t> revisions;
    std::set<std::string> listedKeys;
    /// Revision of the list's first page; 0 before it was read.
    std::int64_t listRevision = 0;
    std::int64_t revision = 0;
    TimePoint listSentAt{};
    std::optional<TimePoint> fresh;
    Duration retryDelay{};
    bool reachable = true;
};

} // namespace Hibiscus::Coordination
