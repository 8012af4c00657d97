#include <Tasks/RackWait.h>

#include <algorithm>

namespace Hibiscus::Tasks {

/// A request waits for at most half of the run time that its tasks would lose elsewhere. Urgent
/// requests have to start within a bound. In a mostly idle service a request that does not start is
/// missed by its caller sooner than a rack of long tasks becomes free.
bool RackWait::isOver(const StartRequest &request, bool serviceMostlyIdle, UnixMs now) const
{
    const double lostMs
        = static_cast<double>(toMs(request.runTime)) * (this->settings.remoteDataFactor - 1);
    double maxWaitMs = lostMs / 2;
    const auto limitTo = [&maxWaitMs](Duration limit) {
        maxWaitMs = std::min(maxWaitMs, static_cast<double>(toMs(limit)));
    };
    if (request.priority <= this->settings.maxPreemptingPriority)
        limitTo(this->settings.maxUrgentRackWait);
    if (serviceMostlyIdle)
        limitTo(this->settings.maxIdleWait);
    return static_cast<double>(now - request.readySince) >= maxWaitMs;
}

} // namespace Hibiscus::Tasks
