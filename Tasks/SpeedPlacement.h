#pragma once

#include <Tasks/StartPlanner.h>

#include <map>
#include <span>
#include <string_view>

namespace Hibiscus::Tasks {

/// Decides how well a worker's speed suits a request. Work whose objective is met only on workers
/// that are fast enough goes to such workers, and to unknown ones before slow ones. Work that has
/// time goes to slow workers, so that the others stay free, and shows how fast unknown ones are.
class SpeedPlacement
{
public:
    /// Reads which services have workers of known, different speeds.
    explicit SpeedPlacement(std::span<const WorkerView> workers);

    bool differs(std::string_view service) const { return this->services.contains(service); }
    /// Whether the worker is known to be too slow to be kept for work with a tight objective.
    bool isSlow(const WorkerView &worker) const;
    /// Cost of the worker for one task of the request; zero if the service's workers do not differ.
    /// `explores` tells whether unknown workers may be tried out.
    double cost(const StartRequest &request, const WorkerView &worker, bool explores,
                UnixMs now) const;

private:
    double slownessAllowed(const StartRequest &request, UnixMs now) const;

    std::map<std::string_view, double> services; ///< Slowness of the slow workers, by service.
};

} // namespace Hibiscus::Tasks
