#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/PublishedKeys.h>
#include <Coordination/TrackedJobTable.h>
#include <Coordination/WorkerFleet.h>
#include <Tasks/WorkerSpeeds.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Hibiscus::Coordination {

/// Learns the speeds of the leader's workers from the progress of their runs, and stores them for
/// the next leader.
class SpeedTracker
{
public:
    struct Settings
    {
        Tasks::WorkerSpeeds::Settings speeds;
        /// Minimum time between two updates of the speeds, for each worker in microseconds.
        Duration updateIntervalPerWorker{100};
        /// Minimum time between two writes of the speeds, which grows with their size.
        Duration writeInterval = seconds(5);
        Duration writeIntervalPerKiB = milliseconds(500);
        Duration readTimeout = milliseconds(1500);
    };

    using WorkerTable = std::map<std::string, WorkerFleet::Worker, std::less<>>;

    SpeedTracker(Tasks::MetadataStore &store, PublishedKeys &published, EventLogger &logger,
                 const TrackedJobTable &jobs, const WorkerTable &workers, const Settings &settings);

    /// Begins the term of a leader: forgets all speeds and reads those of the last leader. Called
    /// after `published` has begun the term.
    void begin();
    /// Ignores the answer to a call made so far.
    void stop() { this->generation++; }

    /// Takes the run's progress as evidence of its worker's speed, unless the place of its data
    /// decides its run time. `startedAt` is empty if the run had done some work before it was seen.
    void recordProgress(const Tasks::RunRef &run, const Tasks::WorkerEntry &worker,
                        std::optional<TimePoint> startedAt, std::int32_t percent, TimePoint now);
    /// Takes what was recorded since the last update into the speeds and writes them, if either is
    /// due.
    void update(TimePoint now);

    const Tasks::WorkerSpeeds &workerSpeeds() const { return this->speeds; }

private:
    void handleStoredSpeeds(const Tasks::StoreAnswer &answer, TimePoint now);
    void updateSpreads(TimePoint now);
    void updateSpread(std::string_view service, std::span<const std::string> names, TimePoint now);
    void write(TimePoint now);

    Tasks::MetadataStore &store;
    PublishedKeys &published;
    EventLogger &logger;
    const TrackedJobTable &jobs;
    const WorkerTable &workers;
    Settings settings;
    Tasks::WorkerSpeeds speeds;
    std::uint64_t generation = 0; ///< Answers to calls of earlier generations are ignored.
    TimePoint updatedAt{};
    TimePoint nextWriteAt{};
};

} // namespace Hibiscus::Coordination
