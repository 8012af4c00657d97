#pragma once

#include <Policy/SchedulerState.h>

namespace Hibiscus {

/// Admission control: decides whether a submitted job may be queued. Work that cannot be served in
/// time is refused early and cheaply, before any state is kept for it.
class AdmissionControl
{
public:
    explicit AdmissionControl(const SchedulerState &state)
        : state(state)
    {}

    Admission admit(const QueuedJob &job, TimePoint now);

    /// True if the job fits the present workers, healthy or not, when all of them are idle, within
    /// the preset's largest share and beside the other customers' guarantees.
    bool canEverFit(const QueuedJob &job);

private:
    Admission checkPreset(const QueuedJob &job) const;
    Admission checkQueue(const QueuedJob &job, TimePoint now) const;
    /// Estimated time until the job starts, given the work queued before it.
    Duration expectedWait(const QueuedJob &job) const;
    double slotsForClass(const QueuedJob &job) const;
    Duration clampedRetryDelay(double seconds) const;
    void refreshCapacity();
    bool fitsGuarantee(const QueuedJob &job) const;
    bool fitsBeyondGuarantees(const QueuedJob &job) const;
    bool fitsWorkers(const QueuedJob &job) const;
    bool gangFitsWorkers(const QueuedJob &job) const;

    /// Summary of the workers that are present, by pool and slots.
    struct Capacity
    {
        std::array<std::array<std::uint32_t, maxSlots + 1>, poolCount> largestMemory{};
        std::array<std::uint32_t, poolCount> slots{};
        std::uint64_t guaranteedSlots = 0;
        /// Accelerated workers with `CellShape::workerSlots` slots.
        std::uint32_t standardWorkers = 0;
        std::uint32_t smallestStandardMemory = ~std::uint32_t(0);
    };

    const SchedulerState &state;
    Capacity capacity;
    std::uint64_t seenServiceEpoch = ~std::uint64_t(0);
    std::uint64_t seenGuaranteeRevision = ~std::uint64_t(0);
};

} // namespace Hibiscus
