#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <string>

namespace Hibiscus::Tasks {

/// Settings of one instance and its site, read at start.
struct SiteSettings
{
    std::string instance;
    std::string dataCenter;
    std::string callersAddress; ///< IP:port that serves callers.
    std::string readinessAddress; ///< IP:port that answers the platform's readiness checks.
    std::string ip;
    std::string storeAddress; ///< IP:port of the platform's store.
    std::string placementAddress; ///< IP:port of the placement service; empty: no such service.
    double cores = 0.25; ///< Cores of this machine that the process may use.
    double linkMbps = 1000.0;
    std::int64_t memoryMiB = 120; ///< The process is ended above it.
    std::int64_t maxDescriptors = 3075; ///< That the process may have open.
    Duration minStoreLease = seconds(1); ///< Shortest lease that the store grants.
    Duration maxWorkerLease = seconds(6); ///< Longest lease that a worker grants to its tasks.
    Duration maxStopTime = milliseconds(900); ///< Longest time that a worker takes to stop a task.
    /// Work after which a task that saves checkpoints makes the next one.
    Duration checkpointInterval = seconds(2);
    Duration stopGracePeriod = seconds(6); ///< Between the termination signal and the kill.
    Duration maxRevocationDelay = seconds(5); ///< Until a revoked API key must be rejected.
    /// Until nothing starts in an evacuated data centre any more; zero: none is ever evacuated.
    Duration evacuationBound{};
    Duration statusRetention = seconds(120); ///< How long an ended job's state stays readable.
    /// Ratio of a task's run time outside the rack of its data to its run time inside.
    double remoteDataFactor = 3.0;

    bool operator==(const SiteSettings &) const = default;
};

} // namespace Hibiscus::Tasks
