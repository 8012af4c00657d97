#pragma once

#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Hibiscus::Coordination {

/// Follows all keys below a prefix: lists them, then watches from the list's revision, and lists
/// again when the store no longer has the history in between. Tells each change once.
class PrefixWatch
{
public:
    struct Settings
    {
        std::string prefix;
        /// A watch waits this long; a connection that went silent is noticed a little later.
        Duration wait = seconds(1);
        Duration listTimeout = milliseconds(1500);
        Duration minRetryDelay = milliseconds(100);
        Duration maxRetryDelay = milliseconds(500);
    };

    struct Handlers
    {
        std::function<void(const Tasks::StoredItem &, TimePoint)> changed; ///< Or removed.
        std::function<void(TimePoint)> listed; ///< After all changes of a list were told.
        std::function<void(bool reachable, TimePoint)> reachability; ///< On each change of it.
    };

    PrefixWatch(Tasks::MetadataStore &store, TimerService &timers, Settings settings,
                Handlers handlers);

    void start(TimePoint now);
    void stop();

    /// Changes acknowledged by the store before this moment have been told.
    std::optional<TimePoint> freshAt() const { return this->fresh; }

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
    std::uint64_t generation = 0; ///< Answers to calls of an earlier one are ignored.
    std::map<std::string, std::int64_t> revisions; ///< Of the keys that exist.
    std::set<std::string> listedKeys;
    std::int64_t listRevision = 0; ///< Of the list's first page; 0 before it.
    std::int64_t revision = 0;
    TimePoint listSentAt{};
    std::optional<TimePoint> fresh;
    Duration retryDelay{};
    bool reachable = true;
};

} // namespace Hibiscus::Coordination
