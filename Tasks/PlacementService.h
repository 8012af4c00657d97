#pragma once

#include <Tasks/TaskJob.h>

#include <functional>
#include <string>
#include <vector>

namespace Hibiscus::Tasks {

/// A worker that may run a step, and what its starts there have to show.
struct PlacementPermit
{
    std::string worker;
    std::string permit;
};

enum class PlacementOutcome : std::uint8_t {
    Answered,
    Busy, ///< Too many questions wait there; nothing was decided.
    Failed, ///< No answer, or one that can't be read.
};

struct PlacementAnswer
{
    PlacementOutcome outcome = PlacementOutcome::Failed;
    std::vector<PlacementPermit> permits; ///< Of the workers asked about; the others may not.
};

using PlacementHandler = std::function<void(const PlacementAnswer &, TimePoint now)>;

/// Tells which workers may run a step. Answers one question of a machine at a time.
class PlacementService
{
public:
    virtual ~PlacementService() = default;

    /// At most 100 workers.
    virtual void requestPermits(const StepRef &step, const std::vector<std::string> &workers,
                                Duration timeout, PlacementHandler handler)
        = 0;
};

} // namespace Hibiscus::Tasks
