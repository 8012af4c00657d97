#include <Config/Authenticator.h>
#include <Config/ConfigState.h>
#include <Config/ConfigurationJson.h>
#include <Config/ConfigurationRules.h>
#include <Config/RequestJson.h>

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace Hibiscus {
namespace {

constexpr int dataCenters = 14;
constexpr int keysPerCustomer = 4;
constexpr int presets = 12;

Customer customer(int index)
{
    Customer made;
    made.name = "team-" + std::to_string(index);
    for (int i = 0; i < dataCenters; ++i)
        made.guarantees["data-center-" + std::to_string(i)] = {0, 0, 0, 1, 0};
    for (int i = 0; i < keysPerCustomer; ++i)
        made.keys.push_back({made.name + "-key-" + std::to_string(i), Role::Caller,
                             std::string(32, 'a'), std::string(64, 'b')});
    return made;
}

ConfigSnapshot snapshot(int customers)
{
    ConfigSnapshot made;
    for (int i = 0; i < customers; ++i)
        made.configuration.customers["team-" + std::to_string(i)] = customer(i);
    for (int i = 0; i < presets; ++i) {
        const std::string name = "preset-" + std::to_string(i);
        made.configuration.presets[name].name = name;
    }
    made.configuration.revision = ConfigState::maxRecentChanges;
    for (std::size_t i = 1; i <= ConfigState::maxRecentChanges; ++i)
        made.recentChanges.push_back({"8b2f61f0-0000-0000-0000-" + std::to_string(i), i});
    return made;
}

std::vector<DataCenterCells> fleet()
{
    std::vector<DataCenterCells> made;
    made.reserve(dataCenters);
    for (int i = 0; i < dataCenters; ++i)
        made.push_back({"data-center-" + std::to_string(i), {9712, 4856, 2428, 1214, 202}, {}});
    return made;
}

ConfigChange change(int index)
{
    return {"8b2f61f0-0000-0000-0000-000000000000", "operator", {}, PutCustomer{customer(index)}};
}

/// One record of the log, as every instance applies it.
void applyRecord(benchmark::State &state)
{
    const std::string first = toJson(snapshot(static_cast<int>(state.range(0))));
    const std::uint64_t revision = ConfigState::maxRecentChanges + 1;
    const std::string text = toJson(ChangeRecord{revision, change(1)});
    for (auto _ : state) {
        state.PauseTiming();
        ConfigState config;
        config.adopt(first);
        state.ResumeTiming();
        benchmark::DoNotOptimize(config.apply(text));
    }
    state.counters["recordBytes"] = static_cast<double>(text.size());
}
BENCHMARK(applyRecord)->Arg(4)->Arg(400)->Iterations(20);

/// One operator's change, as the instance it reached checks it.
void checkChange(benchmark::State &state)
{
    const Configuration now = snapshot(static_cast<int>(state.range(0))).configuration;
    const std::vector<DataCenterCells> cells = fleet();
    const ConfigChange one = change(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(applyChange(now, one, cells));
}
BENCHMARK(checkChange)->Arg(4)->Arg(100)->Arg(400);

void writeSnapshot(benchmark::State &state)
{
    const ConfigSnapshot whole = snapshot(static_cast<int>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(toJson(whole));
    state.counters["snapshotBytes"] = static_cast<double>(toJson(whole).size());
}
BENCHMARK(writeSnapshot)->Arg(4)->Arg(100)->Arg(400);

void readSnapshot(benchmark::State &state)
{
    const std::string text = toJson(snapshot(static_cast<int>(state.range(0))));
    for (auto _ : state)
        benchmark::DoNotOptimize(parseConfigSnapshot(text));
}
BENCHMARK(readSnapshot)->Arg(4)->Arg(100)->Arg(400);

void readRequest(benchmark::State &state)
{
    SubmitBody body;
    body.spec.requestId = "park-7";
    body.spec.kind = "recalculation";
    body.spec.payload = std::string(static_cast<std::size_t>(state.range(0)), 'x');
    const std::string text = toJson(body);
    for (auto _ : state)
        benchmark::DoNotOptimize(parseSubmitBody(text));
}
BENCHMARK(readRequest)->Arg(100)->Arg(65536);

/// A key that was used before, and one that costs the derivation.
void authenticate(benchmark::State &state)
{
    Authenticator authenticator;
    Configuration configuration;
    const std::string salt(32, 'a');
    configuration.customers["a"].keys
        = {Authenticator::deriveKey("lab", Role::Caller, "secret", salt)};
    authenticator.setKeys(configuration, {});
    int number = 0;
    for (auto _ : state) {
        const std::string wrong = "lab." + std::to_string(number++);
        const std::string key = state.range(0) == 0 ? "lab.secret" : wrong;
        benchmark::DoNotOptimize(authenticator.authenticate(key));
    }
}
BENCHMARK(authenticate)->Arg(0)->Arg(1);

} // namespace
} // namespace Hibiscus

BENCHMARK_MAIN();
