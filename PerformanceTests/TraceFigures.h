#pragma once

#include "FakeFleet.h"

#include <functional>
#include <memory>

namespace Hibiscus {

/// A scheduler to be measured, by name; `make` gives a fresh one.
struct Strategy
{
    std::string name;
    std::function<std::unique_ptr<Scheduler>()> make;
};

/// The share of all slots that each class keeps.
using KeptShares = std::array<double, urgencyClassCount>;

/// The figures of one trace played against one fresh scheduler. Work of the flood itself is left
/// out but where it is named. Accepted work that didn't end counts as if it had ended, or
/// started, when the run was over; refused work is unfinished.
class TraceFigures
{
public:
    TraceFigures(const Strategy &strategy, const Workload &workload, const KeptShares &kept,
                 std::optional<UrgencyClass> flood);

    struct Filter
    {
        std::optional<UrgencyClass> urgency{};
        std::optional<std::uint16_t> customer{};
        std::optional<std::uint16_t> notCustomer{};
        std::optional<bool> isLargeCaller{};
        bool isFlood = false;
        bool isGang = false; ///< Only gangs, that is, more than one accelerator.
    };

    std::size_t submitted(const Filter &filter) const;
    std::size_t finished(const Filter &filter) const;
    std::size_t refused(const Filter &filter) const;
    /// Seconds from submission to end.
    double completion(const Filter &filter, double quantile) const;
    /// Seconds from submission to the first start.
    double wait(const Filter &filter, double quantile) const;
    /// Median of completion over true run time.
    double medianSlowdown(const Filter &filter) const;

    FragmentationFigures fragmentation;
    std::uint32_t preemptions = 0;

private:
    enum class Measure : std::uint8_t { Completion, Wait, Slowdown };

    static bool matches(const Arrival &arrival, const Filter &filter);
    std::size_t count(const Filter &filter,
                      const std::function<bool(const Outcome &)> &counts) const;
    double value(std::size_t job, Measure measure) const;
    double quantileOf(const Filter &filter, Measure measure, double quantile) const;

    std::vector<Arrival> arrivals;
    std::vector<Outcome> outcomes;
};

/// Seconds until every job of guaranteed customers has started that all ask at once for their whole
/// guarantees while another customer has borrowed the fleet; every third borrower doesn't answer.
/// If one never starts it is the length of the run.
double timeToReclaim(const Strategy &strategy, std::uint64_t seed);

} // namespace Hibiscus
