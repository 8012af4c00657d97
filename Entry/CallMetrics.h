#pragma once

#include <Core/Histogram.h>
#include <Core/Job.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Hibiscus {

/// Counts callers' requests by customer, urgency class and final status, and records the time from
/// a request's arrival to its final answer.
class CallMetrics
{
public:
    void recordEnd(const std::string &customer, UrgencyClass urgency, JobStatus status,
                   Duration elapsed);

    /// Renders all series in the Prometheus text format.
    std::string toText() const;

private:
    struct Series
    {
        Histogram completion; ///< Completion times of requests that ended as Done.
        std::array<std::uint64_t, jobStatusCount> endCounts{};
    };

    std::map<std::pair<std::string, UrgencyClass>, Series> series;
};

} // namespace Hibiscus
