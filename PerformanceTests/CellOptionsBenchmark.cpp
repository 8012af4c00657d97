// Compares ways to keep a guarantee of whole workers available beside a customer that fills its own
// guarantee with small jobs: counting slots with first fit, counting with best fit, a fixed
// partition, and bound cells. Prints for each how often the unused guarantee was available
// immediately, and the utilisation of the fleet.

#include <Policy/CellScheduler.h>

#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace Hibiscus {

namespace {

constexpr std::uint32_t workerCount = 50;
constexpr std::uint16_t slotsPerWorker = 8;
constexpr std::uint32_t guaranteedWorkers = 10; ///< Guaranteed to the idle customer.
constexpr std::uint32_t quota = (workerCount - guaranteedWorkers) * slotsPerWorker;
constexpr std::uint32_t jobCount = 8000;
constexpr std::uint32_t seedCount = 5;
/// Waiting jobs examined by the counting options; the jobs at the head of the queue are of one
/// kind.
constexpr std::size_t maxExaminedJobs = 32;
/// Offered load in slots: exceeds the quota, so that some jobs always depend on lending.
constexpr double offeredSlots = 420;

struct Arrival
{
    double when = 0;
    std::uint16_t slots = 1;
    double runTime = 0;
};

std::vector<Arrival> makeArrivals(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    constexpr std::array<std::uint16_t, 4> sizes{1, 1, 2, 4};
    constexpr double meanSlots = 2;
    constexpr double meanRunTime = 330;
    std::exponential_distribution<double> gap(offeredSlots / (meanSlots * meanRunTime));
    std::uniform_real_distribution<double> runTime(60, 600);
    std::vector<Arrival> arrivals;
    double now = 0;
    for (std::uint32_t index = 0; index < jobCount; ++index) {
        now += gap(random);
        arrivals.push_back({now, sizes[random() % sizes.size()], runTime(random)});
    }
    return arrivals;
}

WorkerDescription descriptionOf(std::uint32_t worker)
{
    WorkerDescription description;
    description.rack = worker / 6;
    description.memoryMiB = 60 * 1024;
    return description;
}

/// Results of one option.
struct Result
{
    std::uint64_t samples = 0;
    /// Samples in which the guaranteed workers were available immediately.
    std::uint64_t available = 0;
    double usedSlots = 0; ///< Sum over all samples.

    void add(const Result &other)
    {
        this->samples += other.samples;
        this->available += other.available;
        this->usedSlots += other.usedSlots;
    }
};

/// One way to keep the guarantee.
class Option
{
public:
    virtual ~Option() = default;
    virtual void arrive(std::uint32_t job, const Arrival &arrival, TimePoint now) = 0;
    virtual void end(std::uint32_t job, TimePoint now) = 0;
    /// Appends the jobs that start now.
    virtual void start(TimePoint now, std::vector<std::uint32_t> &started) = 0;
    virtual bool isGuaranteeAvailable() const = 0;
    virtual std::uint32_t usedSlots() const = 0;
};

/// Counts slots: jobs within the quota are guaranteed, jobs beyond it borrow idle slots.
class CountingOption : public Option
{
public:
    CountingOption(bool isBestFit, bool isLending)
        : isBestFit(isBestFit)
        , isLending(isLending)
        , occupied(workerCount, 0)
        , guaranteed(workerCount, 0)
    {}

    void arrive(std::uint32_t job, const Arrival &arrival, TimePoint) override
    {
        this->waiting.push_back({job, arrival.slots});
    }

    void end(std::uint32_t job, TimePoint) override
    {
        const Allocation allocation = this->running[job];
        this->occupied[allocation.worker] &= ~allocation.slots;
        this->guaranteed[allocation.worker] &= ~allocation.slots;
        this->guaranteedSlots -= allocation.isGuaranteed ? std::popcount(allocation.slots) : 0;
        this->running.erase(job);
    }

    void start(TimePoint, std::vector<std::uint32_t> &started) override
    {
        const std::size_t examinedCount = std::min(this->waiting.size(), maxExaminedJobs);
        std::size_t keptCount = 0;
        for (std::size_t index = 0; index < examinedCount; ++index) {
            const Waiting waiting = this->waiting[index];
            const bool isGuaranteed = this->guaranteedSlots + waiting.slots <= quota;
            const bool mayStart = isGuaranteed || this->isLending;
            if (mayStart && this->index(waiting, isGuaranteed))
                started.push_back(waiting.job);
            else
                this->waiting[keptCount++] = waiting;
        }
        const auto begin = this->waiting.begin();
        this->waiting.erase(begin + static_cast<std::ptrdiff_t>(keptCount),
                            begin + static_cast<std::ptrdiff_t>(examinedCount));
    }

    bool isGuaranteeAvailable() const override
    {
        std::uint32_t free = 0;
        for (const SlotMask slots : this->guaranteed)
            free += slots == 0;
        return free >= guaranteedWorkers;
    }

    std::uint32_t usedSlots() const override
    {
        std::uint32_t sum = 0;
        for (const SlotMask slots : this->occupied)
            sum += std::popcount(slots);
        return sum;
    }

protected:
    struct Waiting
    {
        std::uint32_t job = 0;
        std::uint16_t slots = 1;
    };

    struct Allocation
    {
        std::uint32_t worker = 0;
        SlotMask slots = 0;
        bool isGuaranteed = false;
    };

    virtual std::uint32_t workersFor(bool) const { return workerCount; }

    bool index(const Waiting &waiting, bool isGuaranteed)
    {
        std::uint32_t best = workerCount;
        for (std::uint32_t worker = 0; worker < this->workersFor(isGuaranteed); ++worker) {
            const SlotMask idle = lowSlots(slotsPerWorker) & ~this->occupied[worker];
            if (bestFit(idle, waiting.slots, slotsPerWorker) == 0)
                continue;
            const bool isBetter = best == workerCount
                || largestOrder(idle)
                    < largestOrder(lowSlots(slotsPerWorker) & ~this->occupied[best]);
            if (isBetter)
                best = worker;
            if (!this->isBestFit)
                break;
        }
        if (best == workerCount)
            return false;
        const SlotMask idle = lowSlots(slotsPerWorker) & ~this->occupied[best];
        const SlotMask slots = bestFit(idle, waiting.slots, slotsPerWorker);
        this->occupied[best] |= slots;
        this->guaranteed[best] |= isGuaranteed ? slots : 0;
        this->guaranteedSlots += isGuaranteed ? waiting.slots : 0;
        this->running[waiting.job] = {best, slots, isGuaranteed};
        return true;
    }

private:
    bool isBestFit;
    bool isLending;
    std::vector<SlotMask> occupied;
    std::vector<SlotMask> guaranteed;
    std::deque<Waiting> waiting;
    std::map<std::uint32_t, Allocation> running;
    std::uint32_t guaranteedSlots = 0;
};

/// Keeps the idle customer's workers in a separate partition.
class PartitionOption : public CountingOption
{
public:
    PartitionOption()
        : CountingOption(true, false)
    {}

protected:
    std::uint32_t workersFor(bool) const override { return workerCount - guaranteedWorkers; }
};

/// Uses the production scheduler.
class CellOption : public Option
{
public:
    CellOption()
        : scheduler(CellScheduler::Settings{})
    {
        const TimePoint begin{};
        for (std::uint32_t worker = 0; worker < workerCount; ++worker)
            this->scheduler.workerUp({worker}, descriptionOf(worker), begin);
        const std::array<Scheduler::CustomerEntitlement, 2> entitlements{
            Scheduler::CustomerEntitlement{{0, 0, 0, guaranteedWorkers, 0}},
            Scheduler::CustomerEntitlement{{0, 0, 0, workerCount - guaranteedWorkers, 0}}};
        this->scheduler.setCustomers(entitlements, begin);
        Preset preset{.name = "ordinary"};
        for (ClassLimits &limits : preset.classes)
            limits.queuedPerCustomer = jobCount;
        this->scheduler.setPreset(preset, false, begin);
    }

    void arrive(std::uint32_t job, const Arrival &arrival, TimePoint now) override
    {
        QueuedJob spec;
        spec.job = {job + 1U};
        spec.customer = {1};
        spec.accelerators = arrival.slots;
        spec.declaredRunTime = seconds(330);
        this->scheduler.submit(spec, now);
    }

    void end(std::uint32_t job, TimePoint now) override
    {
        this->scheduler.jobEnded({job + 1U}, EndKind::Finished, std::nullopt, false, now);
    }

    void start(TimePoint now, std::vector<std::uint32_t> &started) override
    {
        this->decisions.clear();
        this->scheduler.decide(now, this->decisions);
        for (const Decision &decision : this->decisions) {
            if (decision.kind == DecisionKind::Start)
                started.push_back(static_cast<std::uint32_t>(decision.job.value - 1));
        }
    }

    bool isGuaranteeAvailable() const override
    {
        return isAllZero(this->scheduler.currentState().bindings.deficit());
    }

    std::uint32_t usedSlots() const override
    {
        const FleetTable &fleet = this->scheduler.currentState().fleet;
        return workerCount * slotsPerWorker - fleet.idleSlots(Pool::Accelerated);
    }

private:
    CellScheduler scheduler;
    std::vector<Decision> decisions;
};

Result run(Option &option, const std::vector<Arrival> &arrivals)
{
    using End = std::pair<double, std::uint32_t>;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    Result result;
    std::size_t next = 0;
    std::vector<std::uint32_t> started;
    while (next < arrivals.size()) {
        const bool isArrival = ends.empty() || arrivals[next].when <= ends.top().first;
        const double seconds = isArrival ? arrivals[next].when : ends.top().first;
        const TimePoint now(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
        if (isArrival) {
            option.arrive(static_cast<std::uint32_t>(next), arrivals[next], now);
            ++next;
        } else {
            option.end(ends.top().second, now);
            ends.pop();
        }
        started.clear();
        option.start(now, started);
        for (const std::uint32_t job : started)
            ends.emplace(seconds + arrivals[job].runTime, job);
        // Excludes the warm-up during which the fleet fills up.
        if (next < jobCount / 10)
            continue;
        ++result.samples;
        result.available += option.isGuaranteeAvailable();
        result.usedSlots += option.usedSlots();
    }
    return result;
}

using MakeOption = std::function<std::unique_ptr<Option>()>;

void compare(const char *name, const MakeOption &make)
{
    Result total;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto option = make();
        total.add(run(*option, makeArrivals(seed)));
    }
    const double samples = double(total.samples);
    std::printf("%-24s guarantee available %6.2f %%   slots in use %6.2f %%\n", name,
                100 * double(total.available) / samples,
                100 * total.usedSlots / samples / (workerCount * slotsPerWorker));
}

} // namespace

} // namespace Hibiscus

int main()
{
    using namespace Hibiscus;
    compare("count, first fit", [] { return std::make_unique<CountingOption>(false, true); });
    compare("count, best fit", [] { return std::make_unique<CountingOption>(true, true); });
    compare("fixed partition", [] { return std::make_unique<PartitionOption>(); });
    compare("bound cells", [] { return std::make_unique<CellOption>(); });
    return 0;
}
