#include "FakeStore.h"

namespace Hibiscus::Coordination::Test {

using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreHandler;
using Tasks::StoreOutcome;

namespace {

constexpr std::size_t pageSize = 500; ///< Maximum number of items in one list answer.
constexpr Duration executionDelay = seconds(2);

bool answersWatches(StoreBehavior behavior)
{
    return behavior == StoreBehavior::Normal || behavior == StoreBehavior::DropsCommits
        || behavior == StoreBehavior::LosesCommitAnswers
        || behavior == StoreBehavior::ExecutesCommitsLate;
}

} // namespace

StoreBehavior FakeStore::behaviorOf(const std::string &instance) const
{
    const auto behavior = this->behaviors.find(instance);
    return behavior == this->behaviors.end() ? this->defaultBehavior : behavior->second;
}

Duration FakeStore::latencyOf(const std::string &instance) const
{
    const auto found = this->instanceLatencies.find(instance);
    return found == this->instanceLatencies.end() ? this->latency : found->second;
}

const StoredItem *FakeStore::find(const std::string &key) const
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? nullptr : &found->second;
}

std::map<std::string, StoredItem> FakeStore::itemsWithPrefix(const std::string &prefix) const
{
    std::map<std::string, StoredItem> found;
    for (auto item = this->items.lower_bound(prefix);
         item != this->items.end() && item->first.starts_with(prefix); ++item)
        found.insert(*item);
    return found;
}

void FakeStore::recordEvent(const StoredItem &event)
{
    this->history.push_back(event);
    std::vector<std::shared_ptr<Watch>> woken;
    for (const std::shared_ptr<Watch> &watch : this->watches) {
        if (event.key.starts_with(watch->prefix))
            woken.push_back(watch);
    }
    for (const std::shared_ptr<Watch> &watch : woken) {
        this->watches.remove(watch);
        watch->open = false;
        watch->answer(this->eventsAfter(watch->prefix, watch->after));
    }
}

void FakeStore::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    this->revision++;
    StoredItem item{.key = key, .value = value, .revision = this->revision, .lease = lease};
    this->items[key] = item;
    if (lease != 0)
        this->leases[lease].keys.insert(key);
    this->recordEvent(item);
}

void FakeStore::remove(const std::string &key)
{
    if (this->items.erase(key) == 0)
        return;
    this->revision++;
    this->recordEvent({.key = key, .revision = this->revision, .removed = true});
}

void FakeStore::compactHistory()
{
    this->history.clear();
    this->compactedRevision = this->revision;
    const std::list<std::shared_ptr<Watch>> cut = std::exchange(this->watches, {});
    for (const std::shared_ptr<Watch> &watch : cut) {
        watch->open = false;
        watch->answer({.outcome = StoreOutcome::Unknown});
    }
}

void FakeStore::failFor(Duration span)
{
    this->defaultBehavior = StoreBehavior::Unresponsive;
    for (auto &[id, lease] : this->leases)
        lease.endsAt += span;
    this->clock.in(span, [this] { this->defaultBehavior = StoreBehavior::Normal; });
}

void FakeStore::expire(std::int64_t id)
{
    const auto lease = this->leases.find(id);
    if (lease == this->leases.end())
        return;
    if (this->clock.now() < lease->second.endsAt) {
        this->clock.at(lease->second.endsAt, [this, id] { this->expire(id); });
        return;
    }
    const std::set<std::string> keys = lease->second.keys;
    this->leases.erase(lease);
    for (const std::string &key : keys)
        this->remove(key);
}

StoreAnswer FakeStore::eventsAfter(const std::string &prefix, std::int64_t after) const
{
    StoreAnswer answer{.outcome = StoreOutcome::Done, .revision = this->revision};
    if (after < this->compactedRevision)
        return {.outcome = StoreOutcome::HistoryCompacted};
    for (const StoredItem &event : this->history) {
        if (event.revision > after && event.key.starts_with(prefix))
            answer.items.push_back(event);
    }
    return answer;
}

StoreAnswer FakeStore::commit(const Tasks::StoreCommit &commit)
{
    this->commits++;
    const std::size_t entries
        = commit.checks.size() + commit.writes.size() + commit.removals.size();
    if (entries > Tasks::maxCommitEntries)
        return {.outcome = StoreOutcome::Refused};
    for (const Tasks::StoredWrite &write : commit.writes) {
        if (this->maxValueBytes != 0 && write.value.size() > this->maxValueBytes)
            return {.outcome = StoreOutcome::Refused};
    }
    StoreAnswer conflict{.outcome = StoreOutcome::Conflict, .revision = this->revision};
    bool holds = true;
    for (const Tasks::RevisionCheck &check : commit.checks) {
        const StoredItem *item = this->find(check.key);
        holds = holds && (item ? item->revision : 0) == check.revision;
        conflict.items.push_back(item ? *item : StoredItem{.key = check.key});
    }
    if (!holds)
        return conflict;
    for (const Tasks::StoredWrite &write : commit.writes) {
        if (write.lease != 0 && !this->leases.contains(write.lease))
            return {.outcome = StoreOutcome::Absent};
    }
    // All writes of a commit get the same revision.
    const std::int64_t before = this->revision;
    for (const Tasks::StoredWrite &write : commit.writes) {
        this->revision = before;
        this->write(write.key, write.value, write.lease);
    }
    for (const std::string &key : commit.removals)
        this->remove(key);
    return {.outcome = StoreOutcome::Done, .revision = this->revision};
}

void FakeStore::View::answer(const StoreHandler &handler, StoreAnswer answer, Duration delay)
{
    SimClock &clock = this->store.clock;
    clock.inProcess(
        delay, this->alive, this->suspendedUntil,
        [handler, answer = std::move(answer), &clock] { handler(answer, clock.now()); });
}

void FakeStore::View::call(Duration timeout, const StoreHandler &handler, const Action &action,
                           bool isCommit)
{
    FakeStore &target = this->store;
    target.clock.in(
        target.latencyOf(this->instance),
        [this, &target, timeout, handler, action, isCommit, alive = this->alive,
         name = this->instance] {
            const Duration latency = target.latencyOf(name);
            StoreBehavior behavior = target.behaviorOf(name);
            if (behavior == StoreBehavior::DropsCommits)
                behavior = isCommit ? StoreBehavior::Unresponsive : StoreBehavior::Normal;
            if (behavior == StoreBehavior::LosesCommitAnswers)
                behavior = isCommit && target.commits % 2 == 0 ? StoreBehavior::LosesAnswers
                                                               : StoreBehavior::Normal;
            if (behavior == StoreBehavior::ExecutesCommitsLate)
                behavior = isCommit ? StoreBehavior::ExecutesLate : StoreBehavior::Normal;
            StoreAnswer result;
            if (behavior == StoreBehavior::Normal || behavior == StoreBehavior::LosesAnswers)
                result = action();
            if (behavior == StoreBehavior::ExecutesLate)
                target.clock.in(executionDelay, [action] { action(); });
            if (!*alive)
                return;
            if (behavior == StoreBehavior::Normal)
                this->answer(handler, std::move(result), latency);
            else if (behavior == StoreBehavior::Rejecting)
                this->answer(handler, {.outcome = StoreOutcome::Refused}, latency);
            else
                this->answer(handler, {}, timeout - latency);
        });
}

void FakeStore::View::read(const std::string &key, Duration timeout, StoreHandler handler)
{
    this->call(timeout, handler, [&target = this->store, key] {
        const StoredItem *item = target.find(key);
        StoreAnswer answer{.outcome = item ? StoreOutcome::Done : StoreOutcome::Absent,
                           .revision = target.revision};
        if (item)
            answer.items.push_back(*item);
        return answer;
    });
}

void FakeStore::View::list(const std::string &prefix, const std::string &after, Duration timeout,
                           StoreHandler handler)
{
    this->call(timeout, handler, [&target = this->store, prefix, after] {
        StoreAnswer answer{.outcome = StoreOutcome::Done, .revision = target.revision};
        for (const auto &[key, item] : target.itemsWithPrefix(prefix)) {
            if (key <= after)
                continue;
            answer.truncated = answer.items.size() == pageSize;
            if (answer.truncated)
                break;
            answer.items.push_back(item);
        }
        return answer;
    });
}

void FakeStore::View::watch(const std::string &prefix, std::int64_t revision, Duration wait,
                            StoreHandler handler)
{
    FakeStore &target = this->store;
    target.clock.in(
        target.latencyOf(this->instance),
        [this, &target, prefix, revision, wait, handler, alive = this->alive,
         name = this->instance] {
            if (!*alive)
                return;
            const StoreBehavior behavior = target.behaviorOf(name);
            if (!answersWatches(behavior)) {
                const bool refused = behavior == StoreBehavior::Rejecting;
                this->answer(handler,
                             {.outcome = refused ? StoreOutcome::Refused : StoreOutcome::Unknown},
                             refused ? target.latencyOf(name) : wait);
                return;
            }
            StoreAnswer present = target.eventsAfter(prefix, revision);
            if (present.outcome != StoreOutcome::Done || !present.items.empty()) {
                this->answer(handler, std::move(present), target.latencyOf(name));
                return;
            }
            const auto entry = std::make_shared<Watch>();
            entry->prefix = prefix;
            entry->after = revision;
            entry->answer = [this, handler, alive, &target, name](StoreAnswer answer) {
                // The answer is lost if the store's behaviour for the instance has changed in the
                // meantime.
                if (!answersWatches(target.behaviorOf(name)))
                    answer = {};
                if (*alive)
                    this->answer(handler, std::move(answer), target.latencyOf(name));
            };
            target.watches.push_back(entry);
            target.clock.in(wait, [&target, entry] {
                if (!std::exchange(entry->open, false))
                    return;
                target.watches.remove(entry);
                entry->answer({.outcome = StoreOutcome::Done, .revision = target.revision});
            });
        });
}

void FakeStore::View::commit(const Tasks::StoreCommit &commit, Duration timeout,
                             StoreHandler handler)
{
    this->call(
        timeout, handler, [&target = this->store, commit] { return target.commit(commit); }, true);
}

void FakeStore::View::grantLease(Duration term, Duration timeout, StoreHandler handler)
{
    this->call(timeout, handler, [&target = this->store, term] {
        const std::int64_t id = target.nextLease++;
        target.leases[id] = {term, target.clock.now() + term, {}};
        target.clock.in(term, [&target, id] { target.expire(id); });
        return StoreAnswer{.outcome = StoreOutcome::Done, .lease = id, .leaseTerm = term};
    });
}

void FakeStore::View::renewLease(std::int64_t lease, Duration timeout, StoreHandler handler)
{
    this->call(timeout, handler, [&target = this->store, lease] {
        const auto found = target.leases.find(lease);
        if (found == target.leases.end())
            return StoreAnswer{.outcome = StoreOutcome::Absent};
        found->second.endsAt = target.clock.now() + found->second.term;
        return StoreAnswer{.outcome = StoreOutcome::Done, .leaseTerm = found->second.term};
    });
}

void FakeStore::View::revokeLease(std::int64_t lease, Duration timeout, StoreHandler handler)
{
    this->call(timeout, handler, [&target = this->store, lease] {
        const auto found = target.leases.find(lease);
        if (found != target.leases.end()) {
            found->second.endsAt = target.clock.now();
            target.expire(lease);
        }
        return StoreAnswer{.outcome = StoreOutcome::Done};
    });
}

} // namespace Hibiscus::Coordination::Test
