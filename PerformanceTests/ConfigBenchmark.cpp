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
    Customer result;
    result.name = "team-" + std::to_string(index);
    for (int i = 0; i < dataCenters; ++i)
        result.guarantees["data-center-" + std::to_string(i)] = {0, 0, 0, 1, 0};
    for (int i = 0; i < keysPerCustomer; ++i)
        result.keys.push_back({result.name + "-key-" + std::to_string(i), Role::Caller,
                               std::string(32, 'a'), std::string(64, 'b')});
    return result;
}

ConfigSnapshot snapshot(int customers)
{
    ConfigSnapshot result;
    for (int i = 0; i < customers; ++i)
        result.configuration.customers["team-" + std::to_string(i)] = customer(i);
    for (int i = 0; i < presets; ++i) {
        const std::string name = "preset-" + std::to_string(i);
        result.configuration.presets[name].name = name;
    }
    result.configuration.revision = ConfigState::maxRecentChanges;
    for (std::size_t i = 1; i <= ConfigState::maxRecentChanges; ++i)
        result.recentChanges.push_back({"8b2f61f0-0000-0000-0000-" + std::to_string(i), i});
    return result;
}

std::vector<DataCenterCells> fleet()
{
    std::vector<DataCenterCells> result;
    result.reserve(dataCenters);
    for (int i = 0; i < dataCenters; ++i)
        result.push_back({"data-center-" + std::to_string(i), {9712, 4856, 2428, 1214, 202}, {}});
    return result;
}

ConfigChange change(int index)
{
    return {"8b2f61f0-0000-0000-0000-000000000000", "operator", {}, PutCustomer{customer(index)}};
}

/// Applies one record of the configuration log, as every instance does.
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

/// Checks one operator's change, as the instance that receives it does.
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

/// Authenticates a cached key (0) or an unknown key that requires the key derivation (1).
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
