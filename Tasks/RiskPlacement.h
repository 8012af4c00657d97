#pragma once

#include <Tasks/StartPlanner.h>

namespace Hibiscus::Tasks {

/// Weighs the risk that a worker breaks a run against what the run's gang would lose with it. The
/// risk of a gang is that of any of its members, so that each worker counts with the work of the
/// whole gang.
class RiskPlacement
{
public:
    /// The settings must outlive the object.
    explicit RiskPlacement(const StartPlanner::Settings &settings)
        : settings(settings)
    {}

    /// Core-seconds that the request's step loses if a run of it breaks at a random time, with its
    /// whole gang.
    double lossOf(const StartRequest &request) const;
    /// Expected loss of a run on the worker, in core-seconds. Zero on a worker without risk.
    double expectedLoss(const StartRequest &request, const WorkerView &worker) const;
    /// Whether the worker gets no member of the request's gang. Single tasks go to any worker, and
    /// show whether it is sound again; what a customer's guarantee covers does not wait.
    bool isTooRisky(const StartRequest &request, const WorkerView &worker) const;
    /// Whether the gang, a run of which failed lately, waits for sounder workers than these before
    /// it risks its job. `maxWait` limits the wait from the failure on.
    bool waitsForSounderWorkers(const StartRequest &request, double gangRisk, Duration maxWait,
                                UnixMs now) const;

private:
    const StartPlanner::Settings &settings;
};

} // namespace Hibiscus::Tasks
