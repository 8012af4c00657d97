#pragma once

#include <Tasks/StartPlanner.h>

namespace Hibiscus::Tasks {

/// Decides how long a request waits for room in the rack that suits it best: the rack of its data,
/// or one rack for a whole gang. Tasks that run elsewhere take longer, but a rack may stay full for
/// long while other racks have room.
class RackWait
{
public:
    explicit RackWait(const StartPlanner::Settings &settings)
        : settings(settings)
    {}

    /// Whether the request waits no longer. `serviceMostlyIdle`: less than half of the accelerators
    /// of the request's service are in use.
    bool isOver(const StartRequest &request, bool serviceMostlyIdle, UnixMs now) const;

private:
    const StartPlanner::Settings &settings;
};

} // namespace Hibiscus::Tasks
