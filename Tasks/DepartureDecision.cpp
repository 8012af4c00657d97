#include <Tasks/DepartureDecision.h>
#include <Tasks/WorkerLink.h>

#include <algorithm>

namespace Hibiscus::Tasks {

/// A run that can't end in time is stopped while the stop still reaches the worker, so that its
/// task starts elsewhere at once. It is stopped earlier if it would waste more by working on than
/// it loses: workers may stay for longer than announced, so a run that has done much goes on.
bool DepartureDecision::stopsNow(const RunOutlook &run, Duration untilDeparture) const
{
    if (run.expectedLeft <= untilDeparture)
        return false;
    const bool isLastMoment = untilDeparture <= this->settings.maxStopTime + this->settings.margin;
    const bool wastesMore = !run.keepsWork && run.elapsed <= untilDeparture;
    return isLastMoment || wastesMore;
}

Duration expectedTimeLeft(Duration elapsed, Duration elapsedAtReading, int percent,
                          Duration estimate)
{
    if (percent > 0 && elapsedAtReading > Duration{}) {
        const Duration runTime = elapsedAtReading * completePercent / percent;
        return std::max(Duration{}, runTime - elapsed);
    }
    // A run that has outlasted its estimate is expected to go on for a part of its time so far.
    constexpr int shareOfElapsed = 4;
    return std::max(estimate - elapsed, elapsed / shareOfElapsed);
}

} // namespace Hibiscus::Tasks
