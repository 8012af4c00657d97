#pragma once

#include <Core/Time.h>

namespace Hibiscus::Tasks {

/// Decides which runs end early on a worker that has announced to leave. What runs there when it
/// leaves ends without a report, so that its task counts as running until the lease is over.
class DepartureDecision
{
public:
    struct Settings
    {
        Duration maxStopTime = milliseconds(900); ///< Longest time from a stop order to its end.
        /// Added to that for the ways of the order and of the report of its end.
        Duration margin = milliseconds(500);
    };

    /// A run, or all of its gang, whose members end together.
    struct RunOutlook
    {
        Duration elapsed{}; ///< Since its start.
        Duration expectedLeft{}; ///< Until it ends by itself.
        /// A stop loses no work: it leaves a checkpoint, or the task accumulates no work.
        bool keepsWork = false;
    };

    explicit DepartureDecision(const Settings &settings)
        : settings(settings)
    {}

    /// Whether to stop the run now. `untilDeparture` is the least time that is left, and negative
    /// once the worker may be gone at any moment.
    bool stopsNow(const RunOutlook &run, Duration untilDeparture) const;

private:
    Settings settings;
};

/// Expected time until a run ends, from its share of work done `percent` (0: unknown) at
/// `elapsedAtReading` after its start, or else from the estimate of its run time.
Duration expectedTimeLeft(Duration elapsed, Duration elapsedAtReading, int percent,
                          Duration estimate);

} // namespace Hibiscus::Tasks
