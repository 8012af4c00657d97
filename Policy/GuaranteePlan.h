#pragma once

#include <Policy/Scheduler.h>

#include <vector>

namespace Hibiscus {

/// Where a guaranteed job goes, and who has to leave first.
struct GuaranteePlan
{
    std::vector<Placement> placements;
    std::vector<std::uint32_t> borrowers; ///< Each once.

    void clear()
    {
        this->placements.clear();
        this->borrowers.clear();
    }
};

} // namespace Hibiscus
