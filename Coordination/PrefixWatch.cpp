#include <Coordination/PrefixWatch.h>

#include <algorithm>
#include <utility>

namespace Hibiscus::Coordination {

using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;

PrefixWatch::PrefixWatch(Tasks::MetadataStore &store, TimerService &timers, Settings settings,
                         Handlers handlers)
    : store(store)
    , timers(timers)
    , settings(std::move(settings))
    , handlers(std::move(handlers))
    , retryDelay(this->settings.minRetryDelay)
{}

void PrefixWatch::start(TimePoint now)
{
    this->generation++;
    this->revisions.clear();
    this->listedKeys.clear();
    this->listRevision = 0;
    this->fresh.reset();
    this->listPage({}, now);
}

void PrefixWatch::stop()
{
    this->generation++;
    this->fresh.reset();
}

void PrefixWatch::refresh(TimePoint now)
{
    this->generation++;
    this->reachable = false;
    if (this->fresh)
        this->watchNext(now);
    else
        this->listPage({}, now);
}

void PrefixWatch::listPage(const std::string &after, TimePoint now)
{
    if (after.empty()) {
        this->listedKeys.clear();
        this->listRevision = 0;
        this->listSentAt = now;
    }
    const auto answerHandler
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint answeredAt) {
              if (generation == this->generation)
                  this->handlePage(answer, answeredAt);
          };
    this->store.list(this->settings.prefix, after, this->settings.listTimeout, answerHandler);
}

void PrefixWatch::handlePage(const StoreAnswer &answer, TimePoint now)
{
    if (answer.outcome != StoreOutcome::Done) {
        this->retryLater(now, true);
        return;
    }
    if (this->listRevision == 0)
        this->listRevision = answer.revision;
    for (const StoredItem &item : answer.items) {
        this->listedKeys.insert(item.key);
        this->apply(item, now);
    }
    if (answer.truncated && !answer.items.empty())
        this->listPage(answer.items.back().key, now);
    else
        this->finishList(now);
}

void PrefixWatch::finishList(TimePoint now)
{
    std::vector<std::string> gone;
    for (const auto &[key, revision] : this->revisions) {
        if (!this->listedKeys.contains(key))
            gone.push_back(key);
    }
    for (const std::string &key : gone)
        this->apply({.key = key, .revision = this->listRevision, .removed = true}, now);
    // The pages are not one snapshot, so the watch starts at the revision of the first page and
    // repeats the changes since then.
    this->revision = this->listRevision;
    this->fresh = this->listSentAt;
    this->markReachable(now);
    this->handlers.listed(now);
    this->watchNext(now);
}

void PrefixWatch::watchNext(TimePoint now)
{
    const auto answerHandler = [this, generation = this->generation, now](const StoreAnswer &answer,
                                                                          TimePoint answeredAt) {
        if (generation == this->generation)
            this->handleWatchAnswer(answer, now, answeredAt);
    };
    // After an outage the answer comes at once, so that what is known is soon fresh again.
    const Duration wait = this->reachable ? this->settings.wait : Duration{};
    this->store.watch(this->settings.prefix, this->revision, wait, answerHandler);
}

void PrefixWatch::handleWatchAnswer(const StoreAnswer &answer, TimePoint sentAt, TimePoint now)
{
    if (answer.outcome == StoreOutcome::HistoryCompacted) {
        this->listPage({}, now);
        return;
    }
    if (answer.outcome != StoreOutcome::Done) {
        this->retryLater(now, false);
        return;
    }
    for (const StoredItem &item : answer.items)
        this->apply(item, now);
    this->revision = std::max(this->revision, answer.revision);
    this->fresh = sentAt;
    this->markReachable(now);
    this->watchNext(now);
}

void PrefixWatch::apply(const StoredItem &item, TimePoint now)
{
    // Keys are cut at the prefix by those who handle them.
    if (!item.key.starts_with(this->settings.prefix))
        return;
    const auto known = this->revisions.find(item.key);
    if (known != this->revisions.end() && known->second >= item.revision)
        return;
    if (item.removed) {
        if (known == this->revisions.end())
            return;
        this->revisions.erase(known);
    } else {
        this->revisions[item.key] = item.revision;
    }
    this->handlers.changed(item, now);
}

void PrefixWatch::retryLater(TimePoint now, bool listAgain)
{
    if (std::exchange(this->reachable, false))
        this->handlers.reachability(false, now);
    const auto again = [this, generation = this->generation, listAgain](TimePoint at) {
        if (generation != this->generation)
            return;
        if (listAgain)
            this->listPage({}, at);
        else
            this->watchNext(at);
    };
    this->timers.after(this->retryDelay, again);
    this->retryDelay = std::min(this->retryDelay * 2, this->settings.maxRetryDelay);
}

void PrefixWatch::markReachable(TimePoint now)
{
    this->retryDelay = this->settings.minRetryDelay;
    if (!std::exchange(this->reachable, true))
        this->handlers.reachability(true, now);
}

} // namespace Hibiscus::Coordination
