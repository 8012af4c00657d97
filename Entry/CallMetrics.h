#pragma once

#include <Core/Histogram.h>
#include <Core/Job.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Hibiscus {

/// Counts callers' requests for each customer and urgency class: how each ended, and how long it
/// took from its arrival to its final answer.
class CallMetrics
{
public:
    void recordEnd(const std::string &customer, UrgencyClass urgency, JobStatus status,
                   Duration elapsed);

    /// In the Prometheus text format.
    std::string toText() const;

private:
    struct Series
    {
        Histogram completion; ///< Of requests that ended as Done.
        std::array<std::uint64_t, jobStatusCount> endCounts{};
    };

    std::map<std::pair<std::string, UrgencyClass>, Series> series;
};

} // namespace Hibiscus
