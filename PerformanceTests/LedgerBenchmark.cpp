// Prints the ledger's load on the store against the rate of durable jobs, and the cost of a
// recovery against the length of the log. The store is a fake with a fixed latency and time is
// simulated, so all results but the processor times are the same in every run.

#include <Ledger/FakeStore.h>
#include <Ledger/JobKeeper.h>
#include <Ledger/LedgerRecord.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace Hibiscus;

namespace {

constexpr Duration storeLatency = milliseconds(3);
constexpr Duration runTime = milliseconds(200);
constexpr std::size_t payloadBytes = 200;
constexpr const char *dataCenter = "north";

/// One keeper of all shards, with a dispatcher that starts every job it receives.
class Bench
{
public:
    explicit Bench(const JobKeeperSettings &settings)
        : settings(settings)
        , keeper(settings)
    {
        KeeperActions out;
        this->keeper.setDispatcher(dataCenter, "dispatcher", 1, this->now, out);
        this->performActions(out);
    }

    void acquireAllShards()
    {
        std::vector<std::uint32_t> shards;
        for (std::uint32_t shard = 0; shard < this->settings.shards; ++shard)
            shards.push_back(shard);
        KeeperActions out;
        this->keeper.setOwnedShards(shards, this->now, out);
        this->performActions(out);
    }

    bool ownsAllShards() const
    {
        for (std::uint32_t shard = 0; shard < this->settings.shards; ++shard) {
            if (!this->keeper.owns(shard))
                return false;
        }
        return true;
    }

    void submitAt(TimePoint at, std::uint64_t number)
    {
        this->at(at, [this, number] {
            SubmitJob message;
            message.spec = {.requestId = std::to_string(number),
                            .customer = "turf",
                            .caller = "desk",
                            .kind = "dose",
                            .idempotent = false,
                            .durable = true};
            message.spec.payload.assign(payloadBytes, 'x');
            this->submitted[jobKey("turf", message.spec.requestId)] = this->now;
            KeeperActions out;
            this->keeper.submit("entry", message, dataCenter, this->now, out);
            this->performActions(out);
        });
    }

    void runUntil(TimePoint end, const std::function<bool()> &stop = {})
    {
        while (!(stop && stop())) {
            const TimePoint wake = this->keeper.nextWakeup();
            const TimePoint next = this->events.empty() ? wake : this->events.top().at;
            const TimePoint earliest = std::min(next, std::max(wake, this->now));
            if (earliest > end)
                break;
            this->now = std::max(this->now, earliest);
            if (!this->events.empty() && this->events.top().at <= this->now) {
                const std::function<void()> action = this->events.top().action;
                this->events.pop();
                action();
            }
            this->tick();
        }
        if (!stop)
            this->now = end;
    }

    JobKeeperSettings settings;
    JobKeeper keeper;
    FakeStore *store = nullptr;
    TimePoint now{};
    std::vector<Duration> acceptedAfter;
    std::size_t ended = 0;
    std::size_t dispatched = 0;
    bool jobsFinish = true; ///< False if started jobs never end.

private:
    struct Scheduled
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Scheduled &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void at(TimePoint when, std::function<void()> action)
    {
        this->events.push({when, this->order++, std::move(action)});
    }

    void tick()
    {
        KeeperActions out;
        this->keeper.tick(this->now, out);
        this->performActions(out);
    }

    void performActions(KeeperActions &actions)
    {
        for (const StoreCall &call : actions.storeCalls)
            this->at(this->now + storeLatency, [this, call] { this->answer(call); });
        for (const PeerSend &send : actions.sends)
            this->deliver(send);
    }

    void answer(const StoreCall &call)
    {
        const std::optional<StoreReply> reply = this->store->call(call.request);
        KeeperActions out;
        this->keeper.storeReply(call.call, reply.value_or(StoreReply{}), this->now, out);
        this->performActions(out);
    }

    void deliver(const PeerSend &send)
    {
        if (const auto *submit = std::get_if<SubmitJob>(&send.message)) {
            ++this->dispatched;
            AssignJob assign{.key = jobKey("turf", submit->spec.requestId),
                             .attempt = submit->attempt,
                             .dispatcherIncarnation = 1,
                             .places = {{.worker = "w17", .incarnation = "1", .slots = 1}}};
            if (this->jobsFinish)
                this->at(this->now, [this, assign] { this->assign(assign); });
        } else if (const auto *reply = std::get_if<AssignReply>(&send.message)) {
            const std::string key = reply->key;
            this->at(this->now + runTime, [this, key] { this->finish(key); });
        } else if (const auto *update = std::get_if<JobUpdate>(&send.message)) {
            if (send.instance != "entry")
                return;
            if (update->answer.status == JobStatus::Accepted)
                this->acceptedAfter.push_back(this->now - this->submitted[update->key]);
            this->ended += isFinal(update->answer.status) ? 1 : 0;
        }
    }

    void assign(const AssignJob &message)
    {
        KeeperActions out;
        this->keeper.assign("dispatcher", message, this->now, out);
        this->performActions(out);
    }

    void finish(const std::string &key)
    {
        const JobUpdate update{.from = JobRole::Dispatcher,
                               .key = key,
                               .answer = {.status = JobStatus::Done, .result = "{\"done\":true}"}};
        KeeperActions out;
        this->keeper.update("dispatcher", update, this->now, out);
        this->performActions(out);
    }

    std::priority_queue<Scheduled> events;
    std::uint64_t order = 0;
    std::map<std::string, TimePoint> submitted;
};

JobKeeperSettings benchSettings(std::uint64_t incarnation)
{
    JobKeeperSettings settings;
    settings.instance = "entry-" + std::to_string(incarnation);
    settings.incarnation = incarnation;
    return settings;
}

double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

void measureRate(double jobsPerSecond, Duration span)
{
    FakeStore store;
    Bench bench(benchSettings(1));
    bench.store = &store;
    bench.acquireAllShards();
    bench.runUntil(bench.now + seconds(1));
    const std::uint64_t writesBefore = store.writes;
    const std::uint64_t readsBefore = store.reads;
    std::mt19937_64 random(1);
    const TimePoint start = bench.now;
    const double length = std::chrono::duration<double>(span).count();
    const auto jobs = static_cast<std::uint64_t>(jobsPerSecond * length);
    for (std::uint64_t i = 0; i < jobs; ++i) {
        const Duration after(random() % static_cast<std::uint64_t>(span.count()));
        bench.submitAt(start + after, i);
    }
    const auto startTime = std::chrono::steady_clock::now();
    bench.runUntil(start + span);
    const double processorTime
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count();
    const double writes = static_cast<double>(store.writes - writesBefore) / length;
    const double reads = static_cast<double>(store.reads - readsBefore) / length;
    const double bytes = static_cast<double>(store.bytesWritten) / length / 1024;
    std::sort(bench.acceptedAfter.begin(), bench.acceptedAfter.end());
    const std::size_t accepted = bench.acceptedAfter.size();
    const auto quantile = [&](double q) {
        if (accepted == 0)
            return 0.0;
        const auto index = static_cast<std::size_t>(q * static_cast<double>(accepted - 1));
        return toMilliseconds(bench.acceptedAfter[index]);
    };
    std::printf("%9.0f %9.1f %9.1f %10.1f %9zu %11.1f %11.1f %9.1f %8zu\n", jobsPerSecond, writes,
                reads, bytes, store.largestValue / 1024, quantile(0.5), quantile(0.99),
                processorTime / length * 100, bench.ended);
}

void measureRecovery(std::uint64_t jobs, std::uint32_t batchesPerSnapshot)
{
    FakeStore store;
    JobKeeperSettings settings = benchSettings(1);
    settings.batchesPerSnapshot = batchesPerSnapshot;
    Bench predecessor(settings);
    predecessor.store = &store;
    predecessor.jobsFinish = false;
    predecessor.acquireAllShards();
    for (std::uint64_t i = 0; i < jobs; ++i)
        predecessor.submitAt(predecessor.now + seconds(1) + milliseconds(2) * i, i);
    predecessor.runUntil(predecessor.now + seconds(5) + milliseconds(2) * jobs);
    const std::uint64_t readsBefore = store.reads;
    const std::uint64_t bytesBefore = store.bytesRead;
    const std::size_t keys = store.all().size();
    Bench successor(benchSettings(2));
    successor.store = &store;
    successor.jobsFinish = false;
    successor.now = predecessor.now;
    const TimePoint start = successor.now;
    const auto startTime = std::chrono::steady_clock::now();
    successor.acquireAllShards();
    successor.runUntil(start + seconds(60), [&] { return successor.ownsAllShards(); });
    const double processorTime
        = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startTime)
              .count();
    const Duration loaded = successor.now - start;
    successor.runUntil(start + seconds(120), [&] { return successor.dispatched >= jobs; });
    std::printf("%9lu %9zu %9lu %9.1f %11.1f %11.1f %13.1f\n", static_cast<unsigned long>(jobs),
                keys, static_cast<unsigned long>(store.reads - readsBefore),
                static_cast<double>(store.bytesRead - bytesBefore) / 1024, toMilliseconds(loaded),
                processorTime, toMilliseconds(successor.now - start));
}

/// Prints the record sizes and the size of one day's finished jobs, which decide between ways of
/// keeping them.
void printSizes()
{
    constexpr double jobsPerDay = 19000;
    constexpr double shards = 4;
    JobSpec spec{.requestId = "1000000", .customer = "turf", .caller = "desk", .kind = "dose"};
    spec.payload.assign(payloadBytes, 'x');
    const std::string key = jobKey(spec.customer, spec.requestId);
    const std::size_t claim
        = encodeRecord(ClaimRecord{.key = key, .dataCenter = dataCenter, .spec = spec}).size();
    const std::size_t assign
        = encodeRecord(AssignRecord{.key = key,
                                    .places = {{.worker = "w17", .incarnation = "1", .slots = 1}}})
              .size();
    const JobAnswer answer{.status = JobStatus::Done, .result = "{\"done\":true}"};
    const std::size_t finish
        = encodeRecord(FinishRecord{.key = key, .digest = specDigest(spec), .answer = answer})
              .size();
    const double day = jobsPerDay * static_cast<double>(finish) / shards / 1024;
    std::printf("\nBytes of a record: claim %zu, assign %zu, finish %zu\n", claim, assign, finish);
    std::printf("A day's 19,000 ends in each of 4 shards: %.0f KiB\n", day);
}

} // namespace

int main()
{
    std::printf("4 shards, store answers after 3 ms, payload 200 bytes, 3 records a job\n");
    std::printf("%9s %9s %9s %10s %9s %11s %11s %9s %8s\n", "jobs/s", "writes/s", "reads/s",
                "KiB/s", "max KiB", "accept p50", "accept p99", "core %", "ended");
    measureRate(0, seconds(60));
    for (const double rate : {10.0, 100.0, 1000.0, 5000.0})
        measureRate(rate, rate > 1000 ? seconds(20) : seconds(60));
    std::printf("\nRecovery of 4 shards by a new instance; times in ms\n");
    std::printf("%9s %9s %9s %9s %11s %11s %13s\n", "open jobs", "keys", "reads", "KiB", "loaded",
                "processor", "handed over");
    for (const std::uint64_t jobs : {0, 100, 1000, 5000, 20000})
        measureRecovery(jobs, 64);
    printSizes();
    return 0;
}
