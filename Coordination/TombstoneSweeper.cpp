#include <Coordination/StoreKeys.h>
#include <Coordination/TombstoneSweeper.h>

namespace Hibiscus::Coordination {

using Tasks::StoreAnswer;
using Tasks::StoreOutcome;

namespace {

/// Keeps a commit within the store's limit of entries: each tombstone takes a check and a removal,
/// beside the check of the leader's key.
constexpr std::size_t maxBatch = (Tasks::maxCommitEntries - 1) / 2;

} // namespace

void TombstoneSweeper::begin(std::int64_t leaderToken)
{
    this->stop();
    this->token = leaderToken;
    this->isSweeping = false;
    this->revisions.clear();
    this->queue.clear();
}

void TombstoneSweeper::noteStored(const std::string &job, std::int64_t revision, TimePoint now)
{
    this->revisions[job] = revision;
    this->queue.push_back({job, revision, now + this->settings.retention});
}

void TombstoneSweeper::noteGone(std::string_view job)
{
    const auto known = this->revisions.find(job);
    if (known != this->revisions.end())
        this->revisions.erase(known);
}

bool TombstoneSweeper::isKnown(const Tombstone &tombstone) const
{
    const auto known = this->revisions.find(tombstone.job);
    return known != this->revisions.end() && known->second == tombstone.revision;
}

std::vector<TombstoneSweeper::Tombstone> TombstoneSweeper::takeBatch(TimePoint now)
{
    std::vector<Tombstone> batch;
    while (!this->queue.empty() && this->queue.front().removeAt <= now && batch.size() < maxBatch) {
        if (this->isKnown(this->queue.front()))
            batch.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
    }
    return batch;
}

void TombstoneSweeper::sweep(TimePoint now)
{
    if (this->isSweeping)
        return;
    const std::vector<Tombstone> batch = this->takeBatch(now);
    if (batch.empty())
        return;
    Tasks::StoreCommit commit;
    commit.checks.push_back({StoreKeys::leader, this->token});
    for (const Tombstone &tombstone : batch) {
        commit.checks.push_back({StoreKeys::job(tombstone.job), tombstone.revision});
        commit.removals.push_back(StoreKeys::job(tombstone.job));
    }
    this->isSweeping = true;
    this->store.commit(
        commit, this->settings.commitTimeout,
        [this, batch, generation = this->generation](const StoreAnswer &answer, TimePoint at) {
            if (generation == this->generation)
                this->handleAnswer(batch, answer, at);
        });
}

/// A tombstone that could not be removed is tried again, unless the watch reports in the meantime
/// that it has been replaced.
void TombstoneSweeper::handleAnswer(const std::vector<Tombstone> &batch, const StoreAnswer &answer,
                                    TimePoint now)
{
    this->isSweeping = false;
    if (answer.outcome == StoreOutcome::Done) {
        this->logger.logEvent(Runtime::LogKind::Record, "tombstones removed",
                              {{"count", batch.size()}, {"left", this->count()}}, now);
        return;
    }
    for (auto tombstone = batch.rbegin(); tombstone != batch.rend(); ++tombstone)
        this->queue.push_front(
            {tombstone->job, tombstone->revision, now + this->settings.retryDelay});
}

} // namespace Hibiscus::Coordination
