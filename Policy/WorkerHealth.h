#pragma once

#include <Core/Ids.h>
#include <Core/Time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Hibiscus {

/// A worker's health, derived from the results of its tasks.
enum class HealthState : std::uint8_t {
    Healthy,
    Ejected, ///< Gets no work until its backoff has elapsed.
    Probing, ///< May run one task, whose result decides whether the worker is healthy.
};

/// Outlier ejection: ejects workers that fail everything they start, and readmits them after a task
/// that succeeds. Faults of the worker itself count. Task errors count only once several kinds of
/// work in a row ended with errors, which points to the worker rather than to the work.
class WorkerHealth
{
public:
    struct Settings
    {
        std::uint32_t faultsToEject = 3; ///< Consecutive.
        std::uint32_t errorsToEject = 8; ///< Consecutive, of at least `kindsToEject` kinds.
        std::uint32_t kindsToEject = 3;
        Duration initialBackoff = seconds(10);
        Duration maxBackoff = seconds(600);
        double maxEjectedShare = 0.2; ///< Share of all known workers.
    };

    explicit WorkerHealth(const Settings &settings)
        : settings(settings)
    {}

    /// Adds a worker as healthy. A known worker keeps its state.
    void add(WorkerId worker);
    /// Removes a worker; it no longer counts as known or ejected.
    void remove(WorkerId worker);

    void recordSuccess(WorkerId worker);
    void recordFault(WorkerId worker, TimePoint now);
    void recordError(WorkerId worker, KindId kind, TimePoint now);

    /// Turns workers whose backoff has elapsed into probes; true if any backoff may have elapsed.
    bool advance(TimePoint now);
    std::optional<TimePoint> nextChange() const { return this->earliest; }

    HealthState state(WorkerId worker) const { return this->records[worker.value].state; }
    std::uint32_t ejectedCount() const { return this->ejected; }

private:
    struct Record
    {
        TimePoint until;
        Duration backoff{};
        std::uint32_t faults = 0;
        std::uint32_t errors = 0;
        std::uint32_t kinds = 0;
        KindId lastKind;
        HealthState state = HealthState::Healthy;
        bool isKnown = false;
    };

    void updateEarliest();
    void eject(WorkerId worker, TimePoint now);

    Settings settings;
    std::vector<Record> records;
    std::vector<WorkerId> backingOff; ///< Ejected workers whose backoff has not elapsed.
    std::optional<TimePoint> earliest; ///< Earliest end of a backoff.
    std::uint32_t knownCount = 0;
    std::uint32_t ejected = 0; ///< Number of ejected and probing workers.
};

} // namespace Hibiscus
