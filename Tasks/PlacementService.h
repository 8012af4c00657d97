#pragma once

#include <Tasks/TaskJob.h>

#include <functional>
#include <string>
#include <vector>

namespace Hibiscus::Tasks {

/// A worker that may run a step, and the permit that starts of the step's tasks have to present.
struct PlacementPermit
{
    std::string worker;
    std::string permit;
};

enum class PlacementOutcome : std::uint8_t {
    Answered,
    Busy, ///< The service has too many pending requests; nothing was decided.
    Failed, ///< No answer, or a malformed one.
};

struct PlacementAnswer
{
    PlacementOutcome outcome = PlacementOutcome::Failed;
    /// Permits for those of the requested workers that may run the step; the others may not run it.
    std::vector<PlacementPermit> permits;
};

using PlacementHandler = std::function<void(const PlacementAnswer &, TimePoint now)>;

/// Decides which workers may run a step. The service handles one request of a machine at a time.
class PlacementService
{
public:
    virtual ~PlacementService() = default;

    /// Requests permits for the step on at most 100 workers.
    virtual void requestPermits(const StepRef &step, const std::vector<std::string> &workers,
                                Duration timeout, PlacementHandler handler)
        = 0;
};

} // namespace Hibiscus::Tasks
