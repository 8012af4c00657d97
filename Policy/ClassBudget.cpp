#include <Policy/ClassBudget.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Hibiscus {

namespace {

std::size_t at(Pool pool)
{
    return static_cast<std::size_t>(pool);
}

std::size_t at(UrgencyClass urgency)
{
    return static_cast<std::size_t>(urgency);
}

} // namespace

void ClassBudget::setLimits(const std::array<ClassLimits, urgencyClassCount> &newLimits)
{
    this->limits = newLimits;
}

void ClassBudget::add(Pool pool, UrgencyClass urgency, std::uint32_t slots)
{
    this->used[at(pool)][at(urgency)] += slots;
}

void ClassBudget::remove(Pool pool, UrgencyClass urgency, std::uint32_t slots)
{
    assert(this->used[at(pool)][at(urgency)] >= slots);
    this->used[at(pool)][at(urgency)] -= slots;
}

void ClassBudget::setReserved(UrgencyClass urgency, std::uint32_t slots)
{
    this->reserved[at(urgency)] = slots;
}

double ClassBudget::slotLimit(const FleetTable &fleet, Pool pool, UrgencyClass urgency) const
{
    double keptByOthers = 0;
    for (std::size_t other = 0; other < urgencyClassCount; ++other) {
        if (other != at(urgency))
            keptByOthers += this->limits[other].keptShare;
    }
    const double share = std::min(this->limits[at(urgency)].largestShare, 1 - keptByOthers);
    return fleet.slots(pool) * std::max(share, 0.0);
}

bool ClassBudget::isWithinShare(const FleetTable &fleet, Pool pool, UrgencyClass urgency,
                                std::uint32_t slots) const
{
    return this->used[at(pool)][at(urgency)] + slots <= this->slotLimit(fleet, pool, urgency);
}

bool ClassBudget::allows(const FleetTable &fleet, Pool pool, UrgencyClass urgency,
                         std::uint32_t slots) const
{
    const double total = fleet.slots(pool);
    const auto &filled = this->used[at(pool)];
    const std::uint32_t kept = pool == Pool::Accelerated ? this->reserved[at(urgency)] : 0;
    if (filled[at(urgency)] + kept + slots > this->limits[at(urgency)].largestShare * total)
        return false;
    double keptByOthers = 0;
    for (std::size_t other = 0; other < urgencyClassCount; ++other) {
        const double kept = this->limits[other].keptShare * total - filled[other];
        if (other != at(urgency) && kept > 0)
            keptByOthers += std::floor(kept);
    }
    return slots + keptByOthers <= fleet.idleSlots(pool);
}

} // namespace Hibiscus
