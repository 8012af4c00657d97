#include "Trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Hibiscus {

namespace {

constexpr double maxDeclarationFactor = 4; ///< Factor in both directions.
constexpr std::uint32_t callersPerCustomer = 8;
constexpr double largeCallerShare = 0.8; ///< Share of its customer's submissions.
constexpr std::uint32_t memoryPerJobMiB = 500;
constexpr std::uint32_t floodFactor = 10;
constexpr Duration floodRunTime = seconds(120);
constexpr Duration floodBegin = seconds(600);
// The whole flood arrives while its first job runs, so ten times the fleet's slots are requested at
// once.
constexpr Duration floodSpan = floodRunTime;

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

class TraceMaker
{
public:
    TraceMaker(const Workload &workload, std::uint64_t seed)
        : workload(workload)
        , random(seed)
    {}

    void addKind(std::uint32_t index)
    {
        const WorkKind &kind = this->workload.kinds[index];
        std::exponential_distribution<double> gap(kind.perSecond);
        const double end = toSeconds(traceSpan);
        for (double at = gap(this->random); at < end; at += gap(this->random))
            this->arrivals.push_back(this->arrival(index, fromSeconds(at)));
    }

    void addFlood(UrgencyClass urgency)
    {
        constexpr std::uint32_t count = traceSlots * floodFactor;
        const auto customer = static_cast<std::uint16_t>(this->workload.customerShares.size() - 1);
        for (std::uint32_t index = 0; index < count; ++index) {
            Arrival arrival;
            arrival.when = traceBegin + floodBegin + floodSpan * index / count;
            arrival.isFlood = true;
            arrival.spec.urgency = urgency;
            arrival.spec.customer = {customer};
            // The flood has its own caller and its own kind of work.
            arrival.spec.caller = {(customer + 1U) * callersPerCustomer};
            arrival.spec.kind = {this->kindId(customer, this->workload.kinds.size())};
            arrival.spec.accelerators = 1;
            this->declare(arrival, floodRunTime);
            this->arrivals.push_back(arrival);
        }
    }

    std::vector<Arrival> finish()
    {
        std::stable_sort(
            this->arrivals.begin(), this->arrivals.end(),
            [](const Arrival &left, const Arrival &right) { return left.when < right.when; });
        std::uint64_t job = 0;
        for (Arrival &arrival : this->arrivals)
            arrival.spec.job = {++job};
        return std::move(this->arrivals);
    }

private:
    Arrival arrival(std::uint32_t index, Duration at)
    {
        const WorkKind &kind = this->workload.kinds[index];
        const auto &parts = this->workload.customerShares;
        std::discrete_distribution<std::uint16_t> customer(parts.begin(), parts.end());
        std::uniform_real_distribution<double> runTime(toSeconds(kind.shortest),
                                                       toSeconds(kind.longest));
        Arrival arrival;
        arrival.when = traceBegin + at;
        arrival.spec.urgency = kind.urgency;
        arrival.spec.customer = {customer(this->random)};
        arrival.spec.kind = {this->kindId(arrival.spec.customer.value, index)};
        arrival.spec.accelerators = kind.sizes[this->random(kind.sizes.size())];
        arrival.isLargeCaller = std::bernoulli_distribution(largeCallerShare)(this->random);
        const std::uint32_t caller
            = arrival.isLargeCaller ? 0 : 1 + this->random(callersPerCustomer - 1);
        arrival.spec.caller = {arrival.spec.customer.value * callersPerCustomer + caller};
        this->declare(arrival, fromSeconds(runTime(this->random)));
        return arrival;
    }

    std::uint32_t kindId(std::uint16_t customer, std::size_t kind) const
    {
        return static_cast<std::uint32_t>(customer * (this->workload.kinds.size() + 1) + kind);
    }

    void declare(Arrival &arrival, Duration runTime)
    {
        std::uniform_real_distribution<double> exponent(-1, 1);
        arrival.runTime = runTime;
        arrival.spec.memoryMiB = memoryPerJobMiB;
        arrival.spec.declaredRunTime = fromSeconds(
            toSeconds(runTime) * std::pow(maxDeclarationFactor, exponent(this->random)));
        const bool fitsWorker = arrival.spec.accelerators <= slotsPerWorker;
        arrival.spec.adjacency = fitsWorker ? Adjacency::Worker : Adjacency::Any;
    }

    const Workload &workload;
    pcg64 random;
    std::vector<Arrival> arrivals;
};

} // namespace

Workload htnsWorkload()
{
    return {"HTNS",
            {0.25, 0.25, 0.25, 0.25},
            {{"recalculation", UrgencyClass::Urgent, 40, milliseconds(100), milliseconds(500), {1}},
             {"soil sample", UrgencyClass::Standard, 2, seconds(30), seconds(90), {1}},
             {"nightly planning",
              UrgencyClass::Background,
              0.045,
              seconds(150),
              seconds(450),
              {4, 8, 16, 32}}}};
}

Workload cerclinfoWorkload()
{
    return {
        "Cerclinfo",
        {0.5, 0.35, 0.1, 0.05},
        {{"caption", UrgencyClass::Urgent, 30, milliseconds(200), milliseconds(600), {1}},
         {"notice", UrgencyClass::Standard, 2, seconds(10), seconds(50), {1}},
         {"minutes", UrgencyClass::Standard, 0.8, seconds(60), seconds(120), {1}},
         {"photo page", UrgencyClass::Background, 0.5, seconds(60), seconds(180), {1, 2}},
         {"bulletin", UrgencyClass::Background, 0.035, seconds(150), seconds(450), {4, 8, 16}}}};
}

std::vector<Arrival> makeTrace(const Workload &workload, std::optional<UrgencyClass> flood,
                               std::uint64_t seed)
{
    TraceMaker maker(workload, seed);
    for (std::uint32_t kind = 0; kind < workload.kinds.size(); ++kind)
        maker.addKind(kind);
    if (flood)
        maker.addFlood(*flood);
    return maker.finish();
}

} // namespace Hibiscus
