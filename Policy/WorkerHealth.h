#pragma once

#include <Core/Ids.h>
#include <Core/Time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Hibiscus {

/// What a worker's history allows.
enum class HealthState : std::uint8_t {
    Healthy,
    Ejected, ///< No work until its backoff is over.
    Probing, ///< May run one task, whose end decides.
};

/// Ejects workers that fail everything they start, and lets them back after a task that succeeds.
/// A worker's own faults count; so do tasks that end with errors of their own once several kinds
/// of work in a row did so, which points to the worker rather than to the work.
class WorkerHealth
{
public:
    struct Settings
    {
        std::uint32_t faultsToEject = 3; ///< In a row.
        std::uint32_t errorsToEject = 8; ///< In a row, of at least `kindsToEject` kinds.
        std::uint32_t kindsToEject = 3;
        Duration initialBackoff = seconds(10);
        Duration maxBackoff = seconds(600);
        double maxEjectedShare = 0.2; ///< Of all workers known.
    };

    explicit WorkerHealth(const Settings &settings)
        : settings(settings)
    {}

    /// A worker that is described anew starts healthy unless it is ejected now.
    void add(WorkerId worker);
    /// The worker is gone; it counts as neither known nor ejected.
    void remove(WorkerId worker);

    void recordSuccess(WorkerId worker);
    void recordFault(WorkerId worker, TimePoint now);
    void recordError(WorkerId worker, KindId kind, TimePoint now);

    /// Backoffs that are over become probes; true if any did.
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
    std::vector<WorkerId> backingOff; ///< Ejected workers.
    std::optional<TimePoint> earliest; ///< End of their first backoff.
    std::uint32_t knownCount = 0;
    std::uint32_t ejected = 0; ///< Ejected or probing.
};

} // namespace Hibiscus
