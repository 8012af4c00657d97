#pragma once

#include <Coordination/EventLogger.h>
#include <Tasks/MetadataStore.h>

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Coordination {

/// Removes the tombstones of jobs from the store for the leader, once no delayed write that they
/// hold back can be on its way any more.
class TombstoneSweeper
{
public:
    struct Settings
    {
        Duration retention{}; ///< How long a tombstone stays after this leader has first read it.
        Duration commitTimeout{};
        /// Before tombstones whose removal failed are removed again.
        Duration retryDelay = seconds(1);
    };

    TombstoneSweeper(Tasks::MetadataStore &store, EventLogger &logger, const Settings &settings)
        : store(store)
        , logger(logger)
        , settings(settings)
    {}

    /// Starts to remove tombstones under the leader's fencing token; none is known.
    void begin(std::int64_t leaderToken);
    /// Ignores the answer to a call made so far.
    void stop() { this->generation++; }

    void noteStored(const std::string &job, std::int64_t revision, TimePoint now);
    /// The job's key was removed or holds a job now.
    void noteGone(std::string_view job);
    /// Removes a batch of old tombstones, unless one is being removed.
    void sweep(TimePoint now);

    std::size_t count() const { return this->revisions.size(); }

private:
    struct Tombstone
    {
        std::string job;
        std::int64_t revision = 0;
        TimePoint removeAt{};
    };

    bool isKnown(const Tombstone &tombstone) const;
    std::vector<Tombstone> takeBatch(TimePoint now);
    void handleAnswer(const std::vector<Tombstone> &batch, const Tasks::StoreAnswer &answer,
                      TimePoint now);

    Tasks::MetadataStore &store;
    EventLogger &logger;
    Settings settings;
    std::int64_t token = 0;
    std::uint64_t generation = 0; ///< Answers to calls of earlier generations are ignored.
    bool isSweeping = false;
    std::map<std::string, std::int64_t, std::less<>> revisions; ///< Known tombstones, by job.
    /// Tombstones in the order in which they may be removed, among them some that have been
    /// replaced since.
    std::deque<Tombstone> queue;
};

} // namespace Hibiscus::Coordination
