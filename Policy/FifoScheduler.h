#pragma once

#include <Policy/FirstFitScheduler.h>

namespace Hibiscus {

/// Baseline scheduler: one queue in arrival order. Also used by tests that need predictable
/// decisions.
class FifoScheduler : public FirstFitScheduler
{
protected:
    std::uint32_t laneOf(const QueuedJob &) const override { return 0; }
    double rank(std::uint32_t) const override { return 0; }
};

} // namespace Hibiscus
