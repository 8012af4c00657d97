#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/JobSightings.h>
#include <Coordination/PublishedKeys.h>
#include <Tasks/MetadataStore.h>
#include <Tasks/TaskProgress.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Coordination {

/// What the store keeps of the term time for the next leader.
struct TermTimeRecord
{
    Tasks::TermTimeMs termTime = 0;
    Tasks::UnixMs timeOfDay = 0; ///< Of the leader that wrote the record; only for the log.
    std::vector<JobSighting> sightings;
};

std::string encodeTermTime(const TermTimeRecord &record);
/// Returns nothing if the text is not a record.
std::optional<TermTimeRecord> decodeTermTime(std::string_view text);

/// The term time: for how long instances have led, in milliseconds. The leaders count it on their
/// steady clocks and hand it on through the store, so that it depends on no machine's time of day.
///
/// Between two readings, also of different leaders, at least as much real time has passed as the
/// readings differ by. The term time stands still while nobody leads and while the leader's lease
/// is in doubt, and a change of leaders may set it back by what was not handed on yet.
class TermClock
{
public:
    struct Settings
    {
        Duration readTimeout = milliseconds(1500);
        /// Minimum time between two writes of the record. A change of leaders sets the term time
        /// back by no more than this if the store answers.
        Duration writeInterval = seconds(5);
        /// Time that counts between two calls of `advance` at most. A longer pause is a doubtful
        /// lease or a suspended process.
        Duration longestStep = seconds(1);
    };

    /// Called when the record of former leaders was read, or could not be.
    using ReadHandler = std::function<void(TimePoint now)>;

    TermClock(Tasks::MetadataStore &store, PublishedKeys &published, EventLogger &logger,
              const Settings &settings, ReadHandler readHandler);

    /// Begins the term of a leader and reads the record of former leaders. Called after `published`
    /// has begun the term.
    void begin();
    /// Ignores the answer to a call made so far.
    void stop() { this->generation++; }
    /// Whether the attempt to read the record is over.
    bool isRead() const { return this->read; }

    /// Starts to count at `now`. `latestKnown` is the latest term time in any other record of
    /// former leaders, `timeOfDay` is for the log.
    void start(Tasks::TermTimeMs latestKnown, Tasks::UnixMs timeOfDay, TimePoint now);
    /// Counts the time since the last call. Called regularly while the lease holds.
    void advance(TimePoint now);
    /// Hands the term time on to the next leader once in a while. All jobs that were stored up to
    /// `seenRevision` have been seen.
    void update(std::int64_t seenRevision, Tasks::UnixMs timeOfDay, TimePoint now);
    Tasks::TermTimeMs reading(TimePoint now) const;
    /// Bounds of the age of a job that was stored at `revision`.
    AgeBounds ageOf(std::int64_t revision, TimePoint now) const;

private:
    void handleRecord(const Tasks::StoreAnswer &answer, TimePoint now);
    Duration stepUntil(TimePoint now) const;

    Tasks::MetadataStore &store;
    PublishedKeys &published;
    EventLogger &logger;
    Settings settings;
    ReadHandler readHandler;
    std::uint64_t generation = 0; ///< Answers to calls of earlier generations are ignored.
    bool read = false;
    std::optional<TermTimeRecord> formerRecord;
    JobSightings sightings;
    Duration counted{}; ///< Term time at `countedAt`.
    TimePoint countedAt{};
    TimePoint writtenAt{};
};

} // namespace Hibiscus::Coordination
