#pragma once

#include <Policy/FirstFitScheduler.h>

namespace Hibiscus {

/// Baseline: one queue in the order of arrival. Use it to compare against, and where a test needs a
/// scheduler that is easy to foresee.
class FifoScheduler : public FirstFitScheduler
{
protected:
    std::uint32_t laneOf(const QueuedJob &) const override { return 0; }
    double rank(std::uint32_t) const override { return 0; }
};

} // namespace Hibiscus
