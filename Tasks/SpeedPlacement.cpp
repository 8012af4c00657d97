#include <Tasks/SpeedPlacement.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <vector>

namespace Hibiscus::Tasks {

namespace {

/// One step of cost; above all costs of packing.
constexpr double costStep = 1e4;
/// Steps of cost between a risk of zero and one. Together they stay below the cost of remote data.
constexpr double riskSteps = 20.0;
/// Workers whose slowness differs by less than this factor are alike for work that has time.
constexpr double classWidth = 1.25;
/// Slowness from which a worker is not kept for urgent work.
constexpr double minSlow = 1.25;
/// Share of the time until the objective that a run may take. The rest is for its start, the report
/// of its end, and the next plan.
constexpr double plannedShare = 0.9;
/// Standard deviation of the logarithm of run times that remains if a worker's speed is known.
constexpr double runDeviation = 0.1;
/// Work has time if its risk on slow workers is at most this.
constexpr double maxRiskWithTime = 0.05;

/// Ratio of the longest run time that is in time to the expected one on a typical worker.
double slownessAllowed(const StartRequest &request, UnixMs now)
{
    const auto runTime = static_cast<double>(std::max<std::int64_t>(1, toMs(request.runTime)));
    const auto allowedUntil
        = [&](UnixMs end) { return plannedShare * static_cast<double>(end - now) / runTime; };
    const double allowed = allowedUntil(request.objectiveAt);
    return allowed >= plannedShare ? allowed : allowedUntil(request.usefulUntil);
}

/// Probability that a run time exceeds the allowed one, if its logarithm is normally distributed.
double riskAt(double slowness, double allowed, double deviation)
{
    if (allowed <= 0.0)
        return 1.0;
    const double excess = std::log(slowness / allowed);
    return 0.5 * std::erfc(-excess / (std::hypot(deviation, runDeviation) * std::numbers::sqrt2));
}

} // namespace

SpeedPlacement::SpeedPlacement(std::span<const WorkerView> workers)
{
    std::map<std::string_view, std::vector<double>> known;
    for (const WorkerView &worker : workers) {
        if (worker.speedKnown)
            known[worker.service].push_back(worker.slowness);
    }
    for (auto &[service, values] : known) {
        const auto tenth = values.begin() + static_cast<std::ptrdiff_t>(9 * values.size() / 10);
        std::nth_element(values.begin(), tenth, values.end());
        this->slowest[service] = *tenth;
    }
}

bool SpeedPlacement::isSlow(const WorkerView &worker)
{
    return worker.speedKnown && worker.slowness >= minSlow;
}

double SpeedPlacement::lateRisk(const StartRequest &request, const WorkerView &worker, UnixMs now)
{
    return riskAt(worker.slowness, slownessAllowed(request, now), worker.slownessDeviation);
}

bool SpeedPlacement::hasTime(const StartRequest &request, UnixMs now) const
{
    const auto slow = this->slowest.find(request.service);
    return slow == this->slowest.end()
        || riskAt(slow->second, slownessAllowed(request, now), 0.0) <= maxRiskWithTime;
}

/// The costs are whole steps, so that workers that suit a request alike are told apart by how well
/// the task packs.
double SpeedPlacement::cost(const StartRequest &request, const WorkerView &worker, bool explores,
                            UnixMs now) const
{
    if (request.step->perpetual || !this->differs(worker.service))
        return 0.0;
    if (this->hasTime(request, now))
        return this->costForWorkWithTime(worker, explores);
    return costStep * std::floor(riskSteps * lateRisk(request, worker, now));
}

double SpeedPlacement::costForWorkWithTime(const WorkerView &worker, bool explores) const
{
    if (explores && !worker.speedKnown)
        return 0.0;
    const double slow = this->slowest.find(worker.service)->second;
    const double faster = std::max(1.0, slow / worker.slowness);
    return costStep * (1.0 + std::floor(std::log(faster) / std::log(classWidth)));
}

} // namespace Hibiscus::Tasks
