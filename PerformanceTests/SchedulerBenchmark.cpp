#include <Policy/CellScheduler.h>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <memory>
#include <random>

namespace Hibiscus {

namespace {

constexpr std::uint32_t maxWorkers = 17000;
/// Workers with 8 accelerators each, 24,000 in total.
constexpr std::uint32_t maxAcceleratedWorkers = 3000;
constexpr std::uint16_t acceleratedSlots = 8;
constexpr std::uint16_t cpuOnlySlots = 16;
constexpr std::uint32_t workersPerRack = 6;
constexpr std::uint32_t runningTasks = 200000;
constexpr std::uint16_t maxCustomers = 400;

using Clock = std::chrono::steady_clock;

/// A scheduler for a fleet of the given size, filled with running jobs.
class Bench
{
public:
    Bench(std::uint32_t workers, std::uint16_t customers)
        : customers(customers)
        , scheduler(std::make_unique<CellScheduler>(CellScheduler::Settings{}))
    {
        this->accelerated
            = std::max<std::uint32_t>(workers * maxAcceleratedWorkers / maxWorkers, 8);
        this->workers = workers;
        Preset preset{.name = "ordinary"};
        for (ClassLimits &limits : preset.classes)
            limits.queuedPerCustomer = 1000000;
        this->scheduler->setPreset(preset, false, this->now);
        this->setCustomers();
        for (std::uint32_t worker = 0; worker < workers; ++worker)
            this->scheduler->workerUp({worker}, this->descriptionOf(worker), this->now);
    }

    WorkerDescription descriptionOf(std::uint32_t worker) const
    {
        const bool isAccelerated = worker < this->accelerated;
        WorkerDescription description;
        description.rack = worker / workersPerRack;
        description.slots = isAccelerated ? acceleratedSlots : cpuOnlySlots;
        description.accelerators = isAccelerated ? acceleratedSlots : std::uint16_t(0);
        description.memoryMiB = 60 * 1024;
        return description;
    }

    void setCustomers(bool hasGuarantees = true)
    {
        // Half of the accelerated workers are guaranteed, distributed over the customers.
        std::vector<Scheduler::CustomerEntitlement> entitlements(this->customers);
        const std::uint32_t guaranteed = hasGuarantees ? this->accelerated / 2 : 0;
        for (std::uint32_t cell = 0; cell < guaranteed; ++cell)
            ++entitlements[cell % this->customers]
                  .guarantee[static_cast<std::size_t>(CellLevel::Worker)];
        this->scheduler->setCustomers(entitlements, this->now);
    }

    QueuedJob job(std::uint16_t accelerators, UrgencyClass urgency)
    {
        QueuedJob spec;
        spec.job = {++this->lastJob};
        spec.customer = {static_cast<std::uint16_t>(this->random() % this->customers)};
        spec.caller = {static_cast<std::uint32_t>(std::uint64_t(spec.customer.value) * 8
                                                  + this->random() % 8)};
        spec.kind = {static_cast<std::uint32_t>(this->random() % 4)};
        spec.accelerators = accelerators;
        spec.urgency = urgency;
        spec.declaredRunTime = seconds(600 + this->random() % 3600);
        return spec;
    }

    /// Starts small jobs until the given share of all accelerators is in use.
    void fill(double share)
    {
        const auto wanted
            = static_cast<std::uint32_t>(share * this->accelerated * acceleratedSlots);
        constexpr std::array<std::uint16_t, 4> sizes{1, 2, 4, 8};
        for (std::uint32_t used = 0; used < wanted;) {
            const std::uint16_t size = sizes[this->random() % sizes.size()];
            this->submit(this->job(size, UrgencyClass::Background));
            used += size;
        }
        this->decide();
    }

    void submit(const QueuedJob &spec)
    {
        if (!this->scheduler->submit(spec, this->now).isAccepted())
            std::abort();
    }

    void decide()
    {
        this->decisions.clear();
        this->scheduler->decide(this->now, this->decisions);
        for (const Decision &decision : this->decisions) {
            if (decision.kind != DecisionKind::Start)
                continue;
            this->running.push_back(decision.job);
            this->scheduler->jobStarted(decision.job, this->now);
        }
        this->now += milliseconds(10);
    }

    JobId takeRunning()
    {
        std::swap(this->running[this->random() % this->running.size()], this->running.back());
        const JobId job = this->running.back();
        this->running.pop_back();
        return job;
    }

    std::uint16_t customers;
    std::uint32_t workers = 0;
    std::uint32_t accelerated = 0;
    std::unique_ptr<CellScheduler> scheduler;
    TimePoint now{seconds(100000)};
    std::mt19937_64 random{1};
    std::vector<Decision> decisions;
    std::vector<JobId> running;
    std::uint64_t lastJob = 0;
};

/// Durations of single decisions. The benchmark library reports only the mean, but the bounds apply
/// to the median.
class Samples
{
public:
    template <class Work>
    void time(benchmark::State &state, Work work)
    {
        const auto begin = Clock::now();
        work();
        const double elapsed = std::chrono::duration<double>(Clock::now() - begin).count();
        state.SetIterationTime(elapsed);
        this->values.push_back(elapsed);
    }

    void report(benchmark::State &state)
    {
        std::sort(this->values.begin(), this->values.end());
        constexpr double microseconds = 1e6;
        state.counters["p50_us"] = this->values[this->values.size() / 2] * microseconds;
        state.counters["p99_us"] = this->values[this->values.size() * 99 / 100] * microseconds;
    }

private:
    std::vector<double> values;
};

void urgentDecision(benchmark::State &state, std::uint32_t workers, std::uint32_t queued,
                    std::uint16_t customers)
{
    Bench bench(workers, customers);
    bench.fill(0.9);
    for (std::uint32_t index = 0; index < queued; ++index)
        bench.submit(bench.job(8, UrgencyClass::Background));
    bench.decide();
    Samples samples;
    for (auto _ : state) {
        const QueuedJob spec = bench.job(1, UrgencyClass::Urgent);
        samples.time(state, [&] {
            bench.submit(spec);
            bench.decide();
        });
        bench.scheduler->jobEnded(bench.takeRunning(), EndKind::Finished, std::nullopt, false,
                                  bench.now);
        bench.decide();
    }
    samples.report(state);
}

void urgentByWorkers(benchmark::State &state)
{
    urgentDecision(state, static_cast<std::uint32_t>(state.range(0)), 1000, 40);
}

void urgentByQueue(benchmark::State &state)
{
    urgentDecision(state, 1000, static_cast<std::uint32_t>(state.range(0)), 40);
}

void urgentByCustomers(benchmark::State &state)
{
    urgentDecision(state, 1000, 1000, static_cast<std::uint16_t>(state.range(0)));
}

void urgentAtFleetSize(benchmark::State &state)
{
    urgentDecision(state, maxWorkers, runningTasks, maxCustomers);
}

/// Measures the decision after a job ends on a full fleet and the next job takes its slots.
void refill(benchmark::State &state, std::uint32_t workers, std::uint32_t queued,
            std::uint16_t customers)
{
    Bench bench(workers, customers);
    bench.fill(1.0);
    for (std::uint32_t index = 0; index < queued; ++index)
        bench.submit(bench.job(index % 2 == 0 ? 1 : 2, UrgencyClass::Standard));
    bench.decide();
    Samples samples;
    for (auto _ : state) {
        const JobId job = bench.takeRunning();
        bench.submit(bench.job(1, UrgencyClass::Standard));
        samples.time(state, [&] {
            bench.scheduler->jobEnded(job, EndKind::Finished, std::nullopt, false, bench.now);
            bench.decide();
        });
    }
    samples.report(state);
}

void refillByWorkers(benchmark::State &state)
{
    refill(state, static_cast<std::uint32_t>(state.range(0)), 1000, 40);
}

void refillByQueue(benchmark::State &state)
{
    refill(state, 1000, static_cast<std::uint32_t>(state.range(0)), 40);
}

void refillByCustomers(benchmark::State &state)
{
    refill(state, 1000, 10000, static_cast<std::uint16_t>(state.range(0)));
}

void refillAtFleetSize(benchmark::State &state)
{
    refill(state, maxWorkers, runningTasks, maxCustomers);
}

/// Measures the decision for a gang of 1024 accelerators while 160 accelerated workers are idle.
void gang(benchmark::State &state, std::uint32_t workers)
{
    Bench bench(workers, 40);
    const double idle = std::min(0.5, 160.0 / bench.accelerated);
    bench.fill(1.0 - idle);
    const auto size = static_cast<std::uint16_t>(
        std::min<std::uint32_t>(1024, bench.accelerated * acceleratedSlots / 4));
    Samples samples;
    for (auto _ : state) {
        const QueuedJob spec = bench.job(size, UrgencyClass::Standard);
        const std::size_t before = bench.running.size();
        samples.time(state, [&] {
            bench.submit(spec);
            bench.decide();
        });
        if (bench.running.size() == before) {
            bench.scheduler->cancel(spec.job, bench.now);
            continue;
        }
        bench.running.pop_back();
        bench.scheduler->jobEnded(spec.job, EndKind::Finished, std::nullopt, false, bench.now);
        bench.decide();
    }
    samples.report(state);
}

void gangByWorkers(benchmark::State &state)
{
    gang(state, static_cast<std::uint32_t>(state.range(0)));
}

/// Measures the decision when a customer asks for a guaranteed worker that borrowers occupy.
void reclaimByWorkers(benchmark::State &state)
{
    Bench bench(static_cast<std::uint32_t>(state.range(0)), 4);
    bench.setCustomers(false);
    bench.fill(1.0);
    bench.setCustomers();
    bench.decide();
    Samples samples;
    for (auto _ : state) {
        const QueuedJob spec = bench.job(8, UrgencyClass::Urgent);
        const std::size_t before = bench.scheduler->currentState().reclaimer.requestCount();
        samples.time(state, [&] {
            bench.submit(spec);
            bench.decide();
        });
        if (bench.scheduler->currentState().reclaimer.requestCount() == before)
            state.SkipWithError("no borrower was preempted");
    }
    samples.report(state);
}

void cancelWave(benchmark::State &state)
{
    const auto count = static_cast<std::uint32_t>(state.range(0));
    double elapsed = 0;
    for (auto _ : state) {
        Bench bench(50, 40);
        std::vector<JobId> jobs;
        for (std::uint32_t index = 0; index < count; ++index) {
            const QueuedJob spec = bench.job(1, UrgencyClass::Standard);
            bench.submit(spec);
            jobs.push_back(spec.job);
        }
        const auto begin = Clock::now();
        for (const JobId job : jobs)
            bench.scheduler->cancel(job, bench.now);
        const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
        state.SetIterationTime(seconds);
        elapsed += seconds;
    }
    constexpr double microseconds = 1e6;
    state.counters["per_job_us"] = elapsed * microseconds / double(count * state.iterations());
}

/// Measures the adoption of all running tasks, as a new owner does it.
void adoptByTasks(benchmark::State &state)
{
    const auto count = static_cast<std::uint32_t>(state.range(0));
    const std::uint32_t workers = std::max<std::uint32_t>(
        static_cast<std::uint32_t>(std::uint64_t(maxWorkers) * count / runningTasks), 60);
    double bytesPerWorker = 0;
    double bytesPerTask = 0;
    for (auto _ : state) {
        const std::size_t bytesBefore = mallinfo2().uordblks;
        const auto begin = Clock::now();
        Bench bench(workers, maxCustomers);
        const std::size_t bytesWithWorkers = mallinfo2().uordblks;
        std::uint32_t adopted = 0;
        for (std::uint32_t worker = 0; worker < workers; ++worker) {
            const std::uint16_t slots = bench.descriptionOf(worker).slots;
            const bool isAccelerated = bench.descriptionOf(worker).accelerators != 0;
            for (unsigned slot = 0; slot < slots && adopted < count; ++slot) {
                const QueuedJob spec = bench.job(isAccelerated ? 1 : 0, UrgencyClass::Standard);
                const Placement part{{worker}, SlotMask(1) << slot};
                adopted += bench.scheduler->adopt(spec, {&part, 1}, bench.now);
            }
        }
        bench.decide();
        state.SetIterationTime(std::chrono::duration<double>(Clock::now() - begin).count());
        const std::size_t bytesAfter = mallinfo2().uordblks;
        bytesPerWorker = double(bytesWithWorkers - bytesBefore) / workers;
        bytesPerTask = double(bytesAfter - bytesWithWorkers) / adopted;
        state.counters["tasks"] = adopted;
    }
    state.counters["bytes_per_worker"] = bytesPerWorker;
    state.counters["bytes_per_task"] = bytesPerTask;
}

constexpr int decisionCount = 2000;

BENCHMARK(urgentByWorkers)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Arg(17000)
    ->UseManualTime()
    ->Iterations(decisionCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(urgentByQueue)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(200000)
    ->UseManualTime()
    ->Iterations(decisionCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(urgentByCustomers)
    ->Arg(4)
    ->Arg(40)
    ->Arg(400)
    ->UseManualTime()
    ->Iterations(decisionCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(urgentAtFleetSize)
    ->UseManualTime()
    ->Iterations(decisionCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(refillByWorkers)
    ->Arg(50)
    ->Arg(500)
    ->Arg(5000)
    ->Arg(17000)
    ->UseManualTime()
    ->Iterations(decisionCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(refillByQueue)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(200000)
    ->UseManualTime()
    ->Iterations(decisionCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(refillByCustomers)
    ->Arg(4)
    ->Arg(40)
    ->Arg(400)
    ->UseManualTime()
    ->Iterations(decisionCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(refillAtFleetSize)
    ->UseManualTime()
    ->Iterations(decisionCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(gangByWorkers)
    ->Arg(500)
    ->Arg(5000)
    ->Arg(17000)
    ->UseManualTime()
    ->Iterations(200)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(reclaimByWorkers)
    ->Arg(500)
    ->Arg(5000)
    ->Arg(17000)
    ->UseManualTime()
    ->Iterations(20)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(cancelWave)
    ->Arg(100)
    ->Arg(10000)
    ->Arg(200000)
    ->UseManualTime()
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(adoptByTasks)
    ->Arg(2000)
    ->Arg(20000)
    ->Arg(200000)
    ->UseManualTime()
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace Hibiscus

BENCHMARK_MAIN();
