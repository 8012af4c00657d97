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
    constexpr int ranksOfPriority[3][2] = {{1, 2}, {3, 4}, {5, 6}};
    const bool isExpired = now >= request.usefulUntil;
    // Work that is of no use any more must not delay other work under a guarantee. The bound within
    // which guaranteed work has to start also holds for tasks whose use ends sooner.
    constexpr Duration longestGuarantee = seconds(5);
    if (request.guaranteed && (!isExpired || now - request.readySince < toMs(longestGuarantee)))
        return 0;
    if (isExpired)
        return uselessRank;
    const int priority = std::clamp(request.priority, 0, 2);
    return ranksOfPriority[priority][isLate(request, now) ? 1 : 0];
}

StartPlan StartPlanner::plan(std::span<const StartRequest> requests,
                             std::span<const WorkerView> workers, UnixMs now) const
{
    return PlanPass(this->settings, requests, workers, now).run();
}

} // namespace Hibiscus::Tasks
