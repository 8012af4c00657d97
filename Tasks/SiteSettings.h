#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <string>

namespace Hibiscus::Tasks {

/// What an instance learns at its start about itself and its site.
struct SiteSettings
{
    std::string instance;
    std::string dataCenter;
    std::string callersAddress; ///< IP:port where callers are served.
    std::string readinessAddress; ///< IP:port where the platform asks for readiness.
    std::string ip;
    std::string storeAddress; ///< IP:port.
    std::string placementAddress; ///< IP:port of the placement service; empty: there is none.
    double cores = 0.25; ///< That this machine gives to the process.
    double linkMbps = 1000.0;
    Duration minStoreLease = seconds(1); ///< That the store grants.
    Duration maxWorkerLease = seconds(6); ///< Longest lease that a worker grants to what runs.
    Duration stopGracePeriod = seconds(6); ///< Between the signal to stop and the kill.
    Duration maxRevocationDelay = seconds(5); ///< A revoked key must not be served after this.
    Duration statusRetention = seconds(120); ///< A job's state stays readable after its end.
    double remoteDataFactor = 3.0; ///< Run time off the data's rack, against on it.

    bool operator==(const SiteSettings &) const = default;
};

} // namespace Hibiscus::Tasks
