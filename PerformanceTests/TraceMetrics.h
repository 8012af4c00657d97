#pragma once

#include "FakeFleet.h"

#include <functional>
#include <memory>

namespace Hibiscus {

/// A named scheduler to be measured; `make` creates a new one.
struct Strategy
{
    std::string name;
    std::function<std::unique_ptr<Scheduler>()> make;
};

/// The kept share of all slots by urgency class.
using KeptShares = std::array<double, urgencyClassCount>;

/// Metrics of one trace run against a new scheduler. Jobs of the flood are excluded unless the
/// filter selects them. Accepted jobs that did not end or start count as if they had at the end of
/// the run; refused jobs count as unfinished.
class TraceMetrics
{
public:
    TraceMetrics(const Strategy &strategy, const Workload &workload, const KeptShares &kept,
                 std::optional<UrgencyClass> flood);

    struct Filter
    {
        std::optional<UrgencyClass> urgency{};
        std::optional<std::uint16_t> customer{};
        std::optional<std::uint16_t> notCustomer{};
        std::optional<bool> isLargeCaller{};
        bool isFlood = false;
        bool isGang = false; ///< Only gangs, that is, jobs with more than one accelerator.
    };

    std::size_t submitted(const Filter &filter) const;
    std::size_t finished(const Filter &filter) const;
    std::size_t refused(const Filter &filter) const;
    /// Quantile of the seconds from submission to the end.
    double completion(const Filter &filter, double quantile) const;
    /// Quantile of the seconds from submission to the first start.
    double wait(const Filter &filter, double quantile) const;
    /// Median ratio of completion time to true run time.
    double medianSlowdown(const Filter &filter) const;

    FragmentationMetrics fragmentation;
    std::uint32_t preemptions = 0;

private:
    enum class Measure : std::uint8_t { Completion, Wait, Slowdown };

    static bool matches(const Arrival &arrival, const Filter &filter);
    std::size_t count(const Filter &filter,
                      const std::function<bool(const Outcome &)> &predicate) const;
    double value(std::size_t job, Measure measure) const;
    double quantileOf(const Filter &filter, Measure measure, double quantile) const;

    std::vector<Arrival> arrivals;
    std::vector<Outcome> outcomes;
};

/// Time to reclaim in seconds: one customer has borrowed the fleet, then the other customers ask
/// for their whole guarantees at once. Returns when the last of their jobs starts, or the length of
/// the run if one never starts. Every third borrower does not answer.
double timeToReclaim(const Strategy &strategy, std::uint64_t seed);

} // namespace Hibiscus
