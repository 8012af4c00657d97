#include "TraceMetrics.h"

#include <Policy/CellScheduler.h>
#include <Policy/FairShareScheduler.h>
#include <Policy/FifoScheduler.h>
#include <Policy/PriorityScheduler.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace Hibiscus {

namespace {

using Filter = TraceMetrics::Filter;

// Bounds on the scheduler's results.
constexpr double minFinishedRatio = 0.95;
constexpr double maxFloodSlowdown = 1.25;
constexpr double maxUrgentWaitSeconds = 0.25; ///< 99th percentile.
constexpr double maxCallerSlowdownRatio = 1.1;
constexpr double maxRatioToFifo = 0.7;
constexpr double leaseTermSeconds = 10;

constexpr std::uint64_t reclaimSeeds = 20;
constexpr KeptShares defaultKeptShares{0.08, 0.34, 0.45};
constexpr std::array allClasses{UrgencyClass::Urgent, UrgencyClass::Standard,
                                UrgencyClass::Background};

constexpr const char *productionName = "cell";

/// Number of bounds missed in this run. With --check it determines the exit status.
unsigned missedBounds = 0;
/// False for the baseline schedulers, which need not meet the bounds.
bool countsMissedBounds = true;

const char *recordBound(bool isMet)
{
    missedBounds += isMet || !countsMissedBounds ? 0 : 1;
    return isMet ? "met" : "NOT MET";
}

template <class Kind>
Strategy strategy(const char *name)
{
    return {name, [] { return std::make_unique<Kind>(); }};
}

/// The production scheduler first, then the baselines with FIFO first.
std::vector<Strategy> strategies()
{
    return {
        {productionName, [] { return std::make_unique<CellScheduler>(CellScheduler::Settings{}); }},
        strategy<FifoScheduler>("fifo"),
        strategy<PriorityScheduler>("priority"),
        strategy<FairShareScheduler>("fair-share")};
}

void printCompletion(const std::string &row, const TraceMetrics &metrics, const Filter &filter)
{
    const std::size_t submitted = metrics.submitted(filter);
    std::printf("  %-24s p50 %9.3f  p95 %9.3f  p99 %9.3f s   finished %zu, refused %zu of %zu\n",
                row.c_str(), metrics.completion(filter, 0.5), metrics.completion(filter, 0.95),
                metrics.completion(filter, 0.99), metrics.finished(filter), metrics.refused(filter),
                submitted);
}

/// Prints the ratio of the median slowdowns of small and large callers.
void printCallers(const char *what, double small, double large)
{
    const double ratio = small / large;
    std::printf("  small against large callers, %s: %.3f (%.2f / %.2f), bound %.1f: %s\n", what,
                ratio, small, large, maxCallerSlowdownRatio,
                recordBound(ratio <= maxCallerSlowdownRatio));
}

void printUrgentWait(const char *whose, const TraceMetrics &metrics, const Filter &filter)
{
    const double wait = metrics.wait(filter, 0.99);
    std::printf("    urgent p99 queueing, %s: %.3f s, bound %.2f: %s\n", whose, wait,
                maxUrgentWaitSeconds, recordBound(wait < maxUrgentWaitSeconds));
}

void printBaseLoad(const Workload &workload, const TraceMetrics &metrics)
{
    for (const UrgencyClass urgency : allClasses) {
        printCompletion(toString(urgency), metrics, {.urgency = urgency});
        const auto customers = static_cast<std::uint16_t>(workload.customerShares.size());
        for (std::uint16_t customer = 0; customer < customers; ++customer)
            printCompletion(std::string(toString(urgency)) + " customer "
                                + std::to_string(customer),
                            metrics, {.urgency = urgency, .customer = customer});
    }
    printUrgentWait("all customers", metrics, {.urgency = UrgencyClass::Urgent});
    std::printf("  gang p95 wait %.1f s; unusable share of free accelerators %.3f, largest free "
                "cell %.2f (time averages); %u preemptions\n",
                metrics.wait({.isGang = true}, 0.95), metrics.fragmentation.unusableShare,
                metrics.fragmentation.largestFreeCell, metrics.preemptions);
    for (const UrgencyClass urgency : allClasses)
        printCallers(toString(urgency),
                     metrics.medianSlowdown({.urgency = urgency, .isLargeCaller = false}),
                     metrics.medianSlowdown({.urgency = urgency, .isLargeCaller = true}));
}

void printFloodEffect(const char *row, const TraceMetrics &baseLoad, const TraceMetrics &flooded,
                      const Filter &filter, bool isBound)
{
    const double kept = double(flooded.finished(filter)) / double(baseLoad.finished(filter));
    const double slowdown = flooded.completion(filter, 0.99) / baseLoad.completion(filter, 0.99);
    const bool isMet = kept >= minFinishedRatio && slowdown <= maxFloodSlowdown;
    std::printf("    %-34s finished x %.3f, p99 x %.3f%s%s\n", row, kept, slowdown,
                isBound ? ": " : "", isBound ? recordBound(isMet) : " (no bound)");
}

void printFlood(const Strategy &strategy, const Workload &workload, const KeptShares &kept,
                const TraceMetrics &baseLoad, UrgencyClass flood)
{
    const TraceMetrics flooded(strategy, workload, kept, flood);
    std::printf("  flood of %s (bounds: finished x %.2f, p99 x %.2f):\n", toString(flood),
                minFinishedRatio, maxFloodSlowdown);
    for (const UrgencyClass urgency : allClasses) {
        if (urgency != flood)
            printFloodEffect(toString(urgency), baseLoad, flooded, {.urgency = urgency}, true);
    }
    const auto floodCustomer = static_cast<std::uint16_t>(workload.customerShares.size() - 1);
    printFloodEffect("the flooded class, other customers", baseLoad, flooded,
                     {.urgency = flood, .notCustomer = floodCustomer}, false);
    printUrgentWait("all customers", flooded, {.urgency = UrgencyClass::Urgent});
    printUrgentWait("all but the flooding one", flooded,
                    {.urgency = UrgencyClass::Urgent, .notCustomer = floodCustomer});
    printCallers(
        "base load of the flooding customer",
        flooded.medianSlowdown({.urgency = flood, .customer = floodCustomer}),
        flooded.medianSlowdown({.urgency = flood, .customer = floodCustomer, .isFlood = true}));
}

void printComparison(const char *what, double own, std::span<const double> baselines)
{
    const double best = *std::min_element(baselines.begin(), baselines.end());
    // A FIFO value of zero cannot be improved, so the second bound does not apply to such a trace.
    const char *better = baselines[0] > 0 ? recordBound(own <= maxRatioToFifo * baselines[0])
                                          : "not applicable, fifo is zero";
    std::printf("  %s: %.3f; best baseline %.3f, no worse: %s; fifo %.3f, better by 30 %%: %s\n",
                what, own, best, recordBound(own <= best), baselines[0], better);
}

void runWorkload(const Workload &workload, const KeptShares &kept)
{
    std::vector<double> gangWaits;
    std::vector<double> unusableShares;
    for (const Strategy &strategy : strategies()) {
        std::printf("%s, %s\n", workload.name.c_str(), strategy.name.c_str());
        countsMissedBounds = strategy.name == productionName;
        const TraceMetrics baseLoad(strategy, workload, kept, std::nullopt);
        printBaseLoad(workload, baseLoad);
        gangWaits.push_back(baseLoad.wait({.isGang = true}, 0.95));
        unusableShares.push_back(baseLoad.fragmentation.unusableShare);
        for (const UrgencyClass flood : allClasses)
            printFlood(strategy, workload, kept, baseLoad, flood);
        std::fflush(stdout);
    }
    countsMissedBounds = true;
    std::printf("%s, cell against the baselines\n", workload.name.c_str());
    printComparison("gang p95 wait, s", gangWaits[0], std::span(gangWaits).subspan(1));
    printComparison("unusable share", unusableShares[0], std::span(unusableShares).subspan(1));
}

void runReclaim()
{
    std::printf("time to reclaim 48 of 50 workers, the longest of %d cases\n", int(reclaimSeeds));
    for (const Strategy &strategy : strategies()) {
        countsMissedBounds = strategy.name == productionName;
        double longest = 0;
        for (std::uint64_t seed = 1; seed <= reclaimSeeds; ++seed)
            longest = std::max(longest, timeToReclaim(strategy, seed));
        std::printf("  %-12s %8.3f s, bound %.0f: %s\n", strategy.name.c_str(), longest,
                    leaseTermSeconds, recordBound(longest <= leaseTermSeconds));
    }
}

} // namespace

} // namespace Hibiscus

/// Usage: `TraceBenchmark [URGENT STANDARD BACKGROUND]` with the kept share of all slots of each
/// class, or `TraceBenchmark --check`.
int main(int count, char **arguments)
{
    const bool checks = count == 2 && std::string_view(arguments[1]) == "--check";
    Hibiscus::KeptShares kept = Hibiscus::defaultKeptShares;
    if (count == 1 + int(kept.size()))
        std::transform(arguments + 1, arguments + count, kept.begin(),
                       [](const char *text) { return std::strtod(text, nullptr); });
    std::printf("kept shares: urgent %.2f, standard %.2f, background %.2f\n", kept[0], kept[1],
                kept[2]);
    Hibiscus::runWorkload(Hibiscus::htnsWorkload(), kept);
    Hibiscus::runWorkload(Hibiscus::cerclinfoWorkload(), kept);
    Hibiscus::runReclaim();
    std::printf("bounds not met: %u\n", Hibiscus::missedBounds);
    return checks && Hibiscus::missedBounds > 0 ? 1 : 0;
}
