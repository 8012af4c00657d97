#include <Tasks/SpeedPlacement.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus::Tasks {

namespace {

/// One step of cost; above all costs of packing, below that of remote data.
constexpr double costStep = 1e4;
/// Share of the time until the objective that a run is planned to take at most. The rest is for
/// the wait for its start, the report of its end and errors of the estimates.
constexpr double plannedShare = 0.8;
/// Workers whose slowness differs by less than this factor count as equally fast for work that has
/// time.
constexpr double classWidth = 1.25;
/// Slowness from which a worker is not kept for work with a tight objective.
constexpr double minSlow = 1.25;

} // namespace

SpeedPlacement::SpeedPlacement(std::span<const WorkerView> workers)
{
    for (const WorkerView &worker : workers) {
        if (!worker.speedKnown)
            continue;
        double &slowest = this->services[worker.service];
        slowest = std::max(slowest, worker.slowness);
    }
}

bool SpeedPlacement::isSlow(const WorkerView &worker) const
{
    return worker.speedKnown && worker.slowness >= minSlow;
}

/// Slowness with which the request ends by its objective, or, if that can't be met any more, while
/// it is of use.
double SpeedPlacement::slownessAllowed(const StartRequest &request, UnixMs now) const
{
    const auto runTime = static_cast<double>(std::max<std::int64_t>(1, toMs(request.runTime)));
    const auto allowedUntil
        = [&](UnixMs end) { return plannedShare * static_cast<double>(end - now) / runTime; };
    const double allowed = allowedUntil(request.objectiveAt);
    return allowed >= plannedShare ? allowed : allowedUntil(request.usefulUntil);
}

double SpeedPlacement::cost(const StartRequest &request, const WorkerView &worker, bool explores,
                            UnixMs now) const
{
    const auto service = this->services.find(worker.service);
    if (service == this->services.end() || request.step->perpetual)
        return 0.0;
    const double allowed = this->slownessAllowed(request, now);
    if (allowed < service->second) {
        if (!worker.speedKnown)
            return costStep;
        return worker.slowness <= allowed ? 0.0 : costStep * (1.0 + worker.slowness);
    }
    if (!worker.speedKnown && explores && worker.occupants.empty())
        return 0.0;
    const double ratio = std::max(1.0, service->second / worker.slowness);
    return costStep * (1.0 + std::floor(std::log(ratio) / std::log(classWidth)));
}

} // namespace Hibiscus::Tasks
