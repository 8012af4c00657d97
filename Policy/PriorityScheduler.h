#pragma once

#include <Policy/FirstFitScheduler.h>

namespace Hibiscus {

/// Baseline scheduler: strict priority of urgency classes, with arrival order inside a class.
class PriorityScheduler : public FirstFitScheduler
{
protected:
    std::uint32_t laneOf(const QueuedJob &job) const override
    {
        return static_cast<std::uint32_t>(job.urgency);
    }
    double rank(std::uint32_t lane) const override { return lane; }
};

} // namespace Hibiscus
