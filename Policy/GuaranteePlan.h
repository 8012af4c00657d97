#pragma once

#include <Policy/Scheduler.h>

#include <vector>

namespace Hibiscus {

/// Placements of a guaranteed job, and the borrowers that must be preempted first.
struct GuaranteePlan
{
    std::vector<Placement> placements;
    std::vector<std::uint32_t> borrowers; ///< Job indexes without duplicates.

    void clear()
    {
        this->placements.clear();
        this->borrowers.clear();
    }
};

} // namespace Hibiscus
