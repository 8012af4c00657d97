#pragma once

#include <Tasks/StartPlanner.h>

#include <map>
#include <span>
#include <string_view>

namespace Hibiscus::Tasks {

/// Decides how well a worker's speed suits a request. Work whose objective may be missed on a slow
/// worker goes where that is least likely. Work that has time goes to slow workers, so that the
/// others stay free, and shows how fast unknown ones are.
class SpeedPlacement
{
public:
    /// Takes the services whose workers are known to differ from the views.
    explicit SpeedPlacement(std::span<const WorkerView> workers);

    bool differs(std::string_view service) const { return this->slowest.contains(service); }
    /// Whether the worker is known to be so slow that it is not kept for urgent work.
    static bool isSlow(const WorkerView &worker);
    /// Whether the request ends by its objective on each worker of its service.
    bool hasTime(const StartRequest &request, UnixMs now) const;
    /// Probability that a run of the request on the worker misses the request's objective, or if
    /// that is missed already, ends too late to be of use.
    static double lateRisk(const StartRequest &request, const WorkerView &worker, UnixMs now);
    /// Cost of the worker for one task of the request; zero if the service's workers do not differ.
    /// `explores` tells whether the worker may be tried out if its speed is unknown.
    double cost(const StartRequest &request, const WorkerView &worker, bool explores,
                UnixMs now) const;

private:
    double costForWorkWithTime(const WorkerView &worker, bool explores) const;

    /// Slowness that a tenth of the known workers exceeds, by service.
    std::map<std::string_view, double> slowest;
};

} // namespace Hibiscus::Tasks
