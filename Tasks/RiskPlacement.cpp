#include <Tasks/RiskPlacement.h>

#include <algorithm>

namespace Hibiscus::Tasks {

double RiskPlacement::lossOf(const StartRequest &request) const
{
    const Step &step = *request.step;
    // A perpetual task accumulates no work that a failure could lose.
    if (step.perpetual)
        return 0.0;
    const Duration exposed = step.checkpoints
        ? std::min(request.runTime, this->settings.checkpointInterval)
        : request.runTime;
    const double members = step.gang ? step.count : 1;
    // A failure at a random time loses half of what the longest one does.
    return 0.5 * toSeconds(exposed) * members * coreEquivalents(step.need);
}

double RiskPlacement::expectedLoss(const StartRequest &request, const WorkerView &worker) const
{
    return worker.failureRisk == 0.0 ? 0.0 : worker.failureRisk * this->lossOf(request);
}

bool RiskPlacement::isTooRisky(const StartRequest &request, const WorkerView &worker) const
{
    const bool isGang = request.step->gang && request.step->count > 1;
    return isGang && !request.step->perpetual && !request.guaranteed
        && worker.failureRisk > this->settings.maxGangRisk;
}

} // namespace Hibiscus::Tasks
