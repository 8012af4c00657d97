#include <Tasks/PlanPass.h>
#include <Tasks/StartPlanner.h>

#include <algorithm>

namespace Hibiscus::Tasks {

Resources WorkerView::capacity() const
{
    Resources all = this->free;
    for (const OccupantView &occupant : this->occupants)
        all += occupant.need;
    return all;
}

bool isLate(const StartRequest &request, UnixMs now)
{
    if (request.step->perpetual)
        return false;
    const UnixMs runTime = toMs(request.runTime);
    return now + runTime > request.objectiveAt;
}

int StartPlanner::rankOf(const StartRequest &request, UnixMs now)
{
    constexpr int expiredRank = 7;
    constexpr int ranksOfPriority[3][2] = {{1, 2}, {3, 4}, {5, 6}};
    if (request.guaranteed)
        return 0;
    if (now >= request.usefulUntil)
        return expiredRank;
    const int priority = std::clamp(request.priority, 0, 2);
    return ranksOfPriority[priority][isLate(request, now) ? 1 : 0];
}

StartPlan StartPlanner::plan(std::span<const StartRequest> requests,
                             std::span<const WorkerView> workers, UnixMs now) const
{
    return PlanPass(this->settings, requests, workers, now).run();
}

} // namespace Hibiscus::Tasks
