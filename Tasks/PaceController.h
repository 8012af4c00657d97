#pragma once

#include <cstdint>

namespace Hibiscus::Tasks {

/// Chooses the pace of tasks that fill a worker beside tasks that serve users. Answers load that
/// shifts within seconds: backs off at once and by much when response times come near their
/// target, and feels its way back by little.
class PaceController
{
public:
    struct Settings
    {
        double backOffThreshold = 0.85; ///< Of the target.
        double increaseThreshold = 0.7; ///< Of the target.
        double backOffFactor = 0.3; ///< Of the pace.
        std::int32_t increasePercent = 10; ///< Percent.
        std::int32_t minPercent = 10; ///< Percent; what would go slower stands still.
    };

    explicit PaceController(const Settings &settings)
        : settings(settings)
    {}

    /// `load` is the worst tail of response times on the worker over its target; zero if nothing
    /// serves there. Returns percent of the full pace.
    std::int32_t nextPercent(std::int32_t percent, double load) const;

private:
    Settings settings;
};

} // namespace Hibiscus::Tasks
