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

/// A failure costs the whole job once its attempts are used up, while a wait costs it some time.
bool RiskPlacement::waitsForSounderWorkers(const StartRequest &request, double gangRisk,
                                           Duration maxWait, UnixMs now) const
{
    if (!request.failedAt || !request.attemptsLeft || *request.attemptsLeft > 2)
        return false;
    const bool isLast = *request.attemptsLeft <= 1;
    const double bound
        = isLast ? this->settings.maxLastAttemptRisk : this->settings.maxNextToLastAttemptRisk;
    return gangRisk > bound && now - *request.failedAt < toMs(maxWait)
        && now + toMs(request.runTime) < request.usefulUntil;
}

bool RiskPlacement::isTooRisky(const StartRequest &request, const WorkerView &worker) const
{
    const bool isGang = request.step->gang && request.step->count > 1;
    return isGang && !request.step->perpetual && !request.guaranteed
        && worker.failureRisk > this->settings.maxGangRisk;
}

} // namespace Hibiscus::Tasks
