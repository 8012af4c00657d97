#pragma once

#include <Policy/SchedulerState.h>

namespace Hibiscus {

/// Decides whether a job may wait at all, so that what cannot be served in time is refused early
/// and cheaply, before anything of it is kept.
class AdmissionControl
{
public:
    explicit AdmissionControl(const SchedulerState &state)
        : state(state)
    {}

    Admission admit(const QueuedJob &job, TimePoint now);

    /// True if the job fits the fleet with all workers idle that are present, healthy or not, under
    /// the preset's largest share and beside what others are guaranteed.
    bool canEverFit(const QueuedJob &job);

private:
    Admission checkPreset(const QueuedJob &job) const;
    Admission checkQueue(const QueuedJob &job, TimePoint now) const;
    /// Time until a job would start behind what waits now.
    Duration expectedWait(const QueuedJob &job) const;
    double slotsForClass(const QueuedJob &job) const;
    Duration clampedRetryDelay(double seconds) const;
    void refreshCapacity();
    bool fitsGuarantee(const QueuedJob &job) const;
    bool fitsBeyondGuarantees(const QueuedJob &job) const;
    bool fitsWorkers(const QueuedJob &job) const;
    bool gangFitsWorkers(const QueuedJob &job) const;

    /// The workers that are present, by pool and slots.
    struct Capacity
    {
        std::array<std::array<std::uint32_t, maxSlots + 1>, poolCount> largestMemory{};
        std::array<std::uint32_t, poolCount> slots{};
        std::uint64_t guaranteedSlots = 0;
        std::uint32_t standardWorkers = 0; ///< Accelerated and of the shape's size.
        std::uint32_t smallestStandardMemory = ~std::uint32_t(0);
    };

    const SchedulerState &state;
    Capacity capacity;
    std::uint64_t seenServiceEpoch = ~std::uint64_t(0);
    std::uint64_t seenGuaranteeRevision = ~std::uint64_t(0);
};

} // namespace Hibiscus
