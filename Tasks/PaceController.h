#pragma once

#include <cstdint>

namespace Hibiscus::Tasks {

/// Sets the pace of best-effort tasks that share a worker with tasks that serve users. The load
/// may change within seconds, so the pace decreases multiplicatively as soon as response times
/// come near their target and increases additively when they are well below the target (AIMD).
class PaceController
{
public:
    struct Settings
    {
        double backOffThreshold = 0.85; ///< The pace is reduced from this load on.
        double increaseThreshold = 0.7; ///< The pace is increased below this load.
        double backOffFactor = 0.3; ///< The pace is multiplied by this factor when it is reduced.
        std::int32_t increasePercent = 10; ///< Percentage points added when the pace is increased.
        std::int32_t minPercent = 10; ///< A pace below this percentage becomes zero.
    };

    explicit PaceController(const Settings &settings)
        : settings(settings)
    {}

    /// Returns the next pace in percent of the full pace. `load` is the highest ratio of a tail
    /// response time to its target among the worker's tasks that serve users; zero if there are
    /// none.
    std::int32_t nextPercent(std::int32_t percent, double load) const;

private:
    Settings settings;
};

} // namespace Hibiscus::Tasks
