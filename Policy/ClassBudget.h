#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/Scheduler.h>

#include <array>

namespace Hibiscus {

/// Counts the slots that each urgency class occupies, and limits jobs outside guarantees to the
/// preset's shares: no class exceeds its largest share, and each leaves the other classes' kept
/// shares idle. Guaranteed jobs are counted but never limited.
class ClassBudget
{
public:
    void setLimits(const std::array<ClassLimits, urgencyClassCount> &newLimits);

    void add(Pool pool, UrgencyClass urgency, std::uint32_t slots);
    void remove(Pool pool, UrgencyClass urgency, std::uint32_t slots);

    /// Sets the number of idle accelerated slots reserved for the class. Reserved slots count as
    /// used by the class.
    void setReserved(UrgencyClass urgency, std::uint32_t slots);

    /// True if a job outside guarantees may take `slots` more slots now.
    bool allows(const FleetTable &fleet, Pool pool, UrgencyClass urgency,
                std::uint32_t slots) const;
    /// Like `allows`, for reserved slots: checks only the shares, not the idle slots.
    bool isWithinShare(const FleetTable &fleet, Pool pool, UrgencyClass urgency,
                       std::uint32_t slots) const;
    /// The most slots that the class may occupy.
    double slotLimit(const FleetTable &fleet, Pool pool, UrgencyClass urgency) const;

private:
    std::array<ClassLimits, urgencyClassCount> limits;
    std::array<std::array<std::uint32_t, urgencyClassCount>, poolCount> used{};
    std::array<std::uint32_t, urgencyClassCount> reserved{};
};

} // namespace Hibiscus
