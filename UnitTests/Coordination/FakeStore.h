#pragma once

#include "SimClock.h"

#include <Tasks/MetadataStore.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Hibiscus::Coordination::Test {

/// How the store handles the calls of an instance.
enum class StoreBehavior : std::uint8_t {
    Normal,
    Unresponsive, ///< Calls do not reach the store.
    Rejecting, ///< Calls are refused.
    LosesAnswers, ///< Calls are executed but not answered.
    /// Every second commit is executed but not answered; other calls are answered.
    LosesCommitAnswers,
    DropsCommits, ///< Commits do not reach the store; other calls are executed and answered.
    ExecutesLate, ///< Calls are executed two seconds late and not answered.
    /// Commits are executed two seconds late and not answered; other calls are answered.
    ExecutesCommitsLate,
};

/// Fake of the platform's store with transactions, leases and watches on one revision counter.
class FakeStore
{
public:
    explicit FakeStore(SimClock &clock)
        : clock(clock)
    {}

    /// Writes a key on behalf of the operator or a worker.
    void put(const std::string &key, const std::string &value) { this->write(key, value, 0); }
    void remove(const std::string &key);
    const Tasks::StoredItem *find(const std::string &key) const;
    std::map<std::string, Tasks::StoredItem> itemsWithPrefix(const std::string &prefix) const;
    /// Compacts the history: watches from earlier revisions are answered with HistoryGone.
    void compactHistory();
    /// Starts an outage for all instances during which leases do not run.
    void failFor(Duration span);
    /// By instance; `defaultBehavior` applies to the others.
    std::map<std::string, StoreBehavior> behaviors;
    StoreBehavior defaultBehavior = StoreBehavior::Normal;
    Duration latency = milliseconds(2); ///< Of one direction.
    /// By instance; `latency` applies to the others.
    std::map<std::string, Duration> instanceLatencies;
    /// Longest value in bytes; commits with a longer one are refused. 0: no limit.
    std::size_t maxValueBytes = 0;
    std::uint64_t commits = 0; ///< Number of attempted commits.

    /// An instance's connection to the store. Answers to an instance that was killed are dropped.
    class View;

private:
    struct Lease
    {
        Duration term{};
        TimePoint endsAt{};
        std::set<std::string> keys;
    };
    struct Watch
    {
        std::string prefix;
        std::int64_t after = 0;
        std::function<void(Tasks::StoreAnswer)> answer;
        bool open = true;
    };

    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void recordEvent(const Tasks::StoredItem &event);
    void expire(std::int64_t lease);
    Tasks::StoreAnswer commit(const Tasks::StoreCommit &commit);
    Tasks::StoreAnswer eventsAfter(const std::string &prefix, std::int64_t after) const;
    StoreBehavior behaviorOf(const std::string &instance) const;
    Duration latencyOf(const std::string &instance) const;

    SimClock &clock;
    std::int64_t revision = 1;
    std::map<std::string, Tasks::StoredItem> items;
    std::deque<Tasks::StoredItem> history;
    std::int64_t compactedRevision = 0;
    std::map<std::int64_t, Lease> leases;
    std::int64_t nextLease = 100;
    std::list<std::shared_ptr<Watch>> watches;
};

class FakeStore::View final : public Tasks::MetadataStore
{
public:
    View(FakeStore &store, std::string instance, std::shared_ptr<const bool> alive)
        : store(store)
        , instance(std::move(instance))
        , alive(std::move(alive))
    {}

    void read(const std::string &key, Duration timeout, Tasks::StoreHandler handler) override;
    void list(const std::string &prefix, const std::string &after, Duration timeout,
              Tasks::StoreHandler handler) override;
    void watch(const std::string &prefix, std::int64_t revision, Duration wait,
               Tasks::StoreHandler handler) override;
    void commit(const Tasks::StoreCommit &commit, Duration timeout,
                Tasks::StoreHandler handler) override;
    void grantLease(Duration term, Duration timeout, Tasks::StoreHandler handler) override;
    void renewLease(std::int64_t lease, Duration timeout, Tasks::StoreHandler handler) override;
    void revokeLease(std::int64_t lease, Duration timeout, Tasks::StoreHandler handler) override;

    /// While set and in the future, answers reach the instance at that time. Null: never suspended.
    std::shared_ptr<const std::optional<TimePoint>> suspendedUntil;

private:
    using Action = std::function<Tasks::StoreAnswer()>;

    void call(Duration timeout, const Tasks::StoreHandler &handler, const Action &action,
              bool isCommit = false);
    void answer(const Tasks::StoreHandler &handler, Tasks::StoreAnswer answer, Duration delay);

    FakeStore &store;
    std::string instance;
    std::shared_ptr<const bool> alive;
};

} // namespace Hibiscus::Coordination::Test
