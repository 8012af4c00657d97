#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/Scheduler.h>

#include <array>

namespace Hibiscus {

/// Counts the slots that each urgency class fills, and holds jobs beyond guarantees to the preset's
/// shares: none grows past its largest share, and each leaves idle what the others keep. Guaranteed
/// work is counted, but never held back.
class ClassBudget
{
public:
    void setLimits(const std::array<ClassLimits, urgencyClassCount> &newLimits);

    void add(Pool pool, UrgencyClass urgency, std::uint32_t slots);
    void remove(Pool pool, UrgencyClass urgency, std::uint32_t slots);

    /// Idle accelerated slots that reservations of the class keep; they count as filled by it.
    void setReserved(UrgencyClass urgency, std::uint32_t slots);

    /// True if a job beyond guarantees may take that many slots more now.
    bool allows(const FleetTable &fleet, Pool pool, UrgencyClass urgency,
                std::uint32_t slots) const;
    /// The same for reserved slots: only shares count.
    bool isWithinShare(const FleetTable &fleet, Pool pool, UrgencyClass urgency,
                       std::uint32_t slots) const;
    /// The slots that the class may fill at most.
    double slotLimit(const FleetTable &fleet, Pool pool, UrgencyClass urgency) const;

private:
    std::array<ClassLimits, urgencyClassCount> limits;
    std::array<std::array<std::uint32_t, urgencyClassCount>, poolCount> used{};
    std::array<std::uint32_t, urgencyClassCount> reserved{};
};

} // namespace Hibiscus
