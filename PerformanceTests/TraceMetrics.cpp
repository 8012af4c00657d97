#include "TraceMetrics.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace {

constexpr std::uint64_t traceSeed = 20261204;
constexpr TimePoint traceEnd = traceBegin + traceSpan + seconds(600);
/// Guaranteed part of the fleet, divided by the customers' shares.
constexpr std::uint32_t guaranteedWorkers = 32;
constexpr std::size_t workerLevel = static_cast<std::size_t>(CellLevel::Worker);

constexpr std::uint32_t queuedPerCustomer = 2000;

constexpr std::uint32_t silentBorrowerInterval = 3; ///< Every third borrower is silent.
constexpr std::uint16_t reclaimingCustomers = 3;
constexpr std::uint32_t workersPerReclaimer = 16;
constexpr Duration borrowerRunTime = seconds(1000);
constexpr Duration maxReclaimBegin = seconds(100);

Preset presetOf(const KeptShares &kept)
{
    Preset preset{.name = "ordinary"};
    for (std::size_t index = 0; index < urgencyClassCount; ++index) {
        preset.classes[index].keptShare = kept[index];
        preset.classes[index].queuedPerCustomer = queuedPerCustomer;
    }
    return preset;
}

std::vector<Scheduler::CustomerEntitlement> entitlementsOf(const Workload &workload)
{
    std::vector<Scheduler::CustomerEntitlement> entitlements;
    for (const double part : workload.customerShares) {
        Scheduler::CustomerEntitlement entitlement{.share = part};
        entitlement.guarantee[workerLevel] = static_cast<std::uint32_t>(part * guaranteedWorkers);
        entitlements.push_back(entitlement);
    }
    return entitlements;
}

Arrival reclaimArrival(std::uint64_t job, std::uint16_t customer, TimePoint when)
{
    Arrival arrival{.when = when, .runTime = borrowerRunTime};
    arrival.spec.job = {job};
    arrival.spec.customer = {customer};
    arrival.spec.caller = {customer};
    arrival.spec.kind = {customer};
    arrival.spec.declaredRunTime = borrowerRunTime;
    return arrival;
}

std::vector<Arrival> reclaimTrace(TimePoint claim, pcg64 &random)
{
    std::vector<Arrival> arrivals;
    for (std::uint32_t used = 0; used < traceSlots;) {
        Arrival arrival = reclaimArrival(arrivals.size() + 1, 0, traceBegin);
        arrival.spec.urgency = UrgencyClass::Background;
        arrival.spec.accelerators
            = static_cast<std::uint16_t>(std::min(1U << random(4U), traceSlots - used));
        used += arrival.spec.accelerators;
        arrivals.push_back(arrival);
    }
    for (std::uint32_t index = 0; index < reclaimingCustomers * workersPerReclaimer; ++index) {
        const auto customer = static_cast<std::uint16_t>(1 + index % reclaimingCustomers);
        Arrival arrival = reclaimArrival(arrivals.size() + 1, customer, claim);
        arrival.spec.accelerators = slotsPerWorker;
        arrival.spec.adjacency = Adjacency::Worker;
        arrivals.push_back(arrival);
    }
    return arrivals;
}

} // namespace

TraceMetrics::TraceMetrics(const Strategy &strategy, const Workload &workload,
                           const KeptShares &kept, std::optional<UrgencyClass> flood)
    : arrivals(makeTrace(workload, flood, traceSeed))
{
    const auto scheduler = strategy.make();
    scheduler->setCustomers(entitlementsOf(workload), traceBegin);
    scheduler->setPreset(presetOf(kept), false, traceBegin);
    FakeFleet fleet(*scheduler, this->arrivals);
    fleet.addWorkers();
    fleet.runUntil(traceEnd);
    this->outcomes = fleet.results();
    this->fragmentation = fleet.fragmentation();
    this->preemptions = fleet.preemptions();
}

bool TraceMetrics::matches(const Arrival &arrival, const Filter &filter)
{
    const QueuedJob &spec = arrival.spec;
    return arrival.isFlood == filter.isFlood && (!filter.isGang || spec.accelerators > 1)
        && (!filter.urgency || spec.urgency == *filter.urgency)
        && (!filter.customer || spec.customer.value == *filter.customer)
        && (!filter.notCustomer || spec.customer.value != *filter.notCustomer)
        && (!filter.isLargeCaller || arrival.isLargeCaller == *filter.isLargeCaller);
}

std::size_t TraceMetrics::count(const Filter &filter,
                                const std::function<bool(const Outcome &)> &predicate) const
{
    std::size_t sum = 0;
    for (std::size_t job = 0; job < this->arrivals.size(); ++job)
        sum += matches(this->arrivals[job], filter) && predicate(this->outcomes[job]);
    return sum;
}

std::size_t TraceMetrics::submitted(const Filter &filter) const
{
    return this->count(filter, [](const Outcome &) { return true; });
}

std::size_t TraceMetrics::finished(const Filter &filter) const
{
    return this->count(filter, [](const Outcome &outcome) { return outcome.finished.has_value(); });
}

std::size_t TraceMetrics::refused(const Filter &filter) const
{
    return this->count(filter, [](const Outcome &outcome) {
        return !outcome.answer.isAccepted() || outcome.isExpired;
    });
}

double TraceMetrics::value(std::size_t job, Measure measure) const
{
    const Arrival &arrival = this->arrivals[job];
    const Outcome &outcome = this->outcomes[job];
    const auto &end = measure == Measure::Wait ? outcome.started : outcome.finished;
    const double elapsed = toSeconds(end.value_or(traceEnd) - arrival.when);
    return measure == Measure::Slowdown ? elapsed / toSeconds(arrival.runTime) : elapsed;
}

double TraceMetrics::quantileOf(const Filter &filter, Measure measure, double quantile) const
{
    std::vector<double> values;
    for (std::size_t job = 0; job < this->arrivals.size(); ++job) {
        if (matches(this->arrivals[job], filter) && this->outcomes[job].answer.isAccepted())
            values.push_back(this->value(job, measure));
    }
    if (values.empty())
        return std::nan("");
    const auto place
        = values.begin() + static_cast<std::ptrdiff_t>(quantile * double(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

double TraceMetrics::completion(const Filter &filter, double quantile) const
{
    return this->quantileOf(filter, Measure::Completion, quantile);
}

double TraceMetrics::wait(const Filter &filter, double quantile) const
{
    return this->quantileOf(filter, Measure::Wait, quantile);
}

double TraceMetrics::medianSlowdown(const Filter &filter) const
{
    return this->quantileOf(filter, Measure::Slowdown, 0.5);
}

double timeToReclaim(const Strategy &strategy, std::uint64_t seed)
{
    pcg64 random(seed);
    const TimePoint claim
        = traceBegin + seconds(1) + milliseconds(random(maxReclaimBegin / milliseconds(1)));
    const std::vector<Arrival> arrivals = reclaimTrace(claim, random);
    std::vector<Scheduler::CustomerEntitlement> entitlements(1 + reclaimingCustomers);
    for (std::uint16_t customer = 1; customer <= reclaimingCustomers; ++customer)
        entitlements[customer].guarantee[workerLevel] = workersPerReclaimer;
    const auto scheduler = strategy.make();
    scheduler->setCustomers(entitlements, traceBegin);
    scheduler->setPreset(Preset{.name = "ordinary"}, false, traceBegin);
    FakeFleet fleet(*scheduler, arrivals, silentBorrowerInterval);
    fleet.addWorkers();
    const TimePoint end = claim + borrowerRunTime * 2;
    fleet.runUntil(end);
    double longestWait = 0;
    for (std::size_t job = 0; job < arrivals.size(); ++job) {
        if (arrivals[job].spec.customer.value != 0)
            longestWait = std::max(longestWait,
                                   toSeconds(fleet.results()[job].started.value_or(end) - claim));
    }
    return longestWait;
}

} // namespace Hibiscus
