#include <Config/ConfigurationJson.h>
#include <Config/InstanceSettings.h>
#include <Config/RequestJson.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

Configuration fullConfiguration()
{
    Customer customer;
    customer.name = "parks";
    customer.guarantees["athens"] = {1, 2, 3, 4, 5};
    customer.guarantees["piraeus"] = {};
    customer.share = 0.1;
    customer.waitingCallers = 7;
    customer.keys.push_back({"lab", Role::Operator, std::string(20, 'a'), std::string(64, 'b')});
    Preset preset;
    preset.name = "peak";
    preset.lending = false;
    preset.classes[0] = {17, 0.3, 0.9, milliseconds(1234), std::chrono::hours(3)};
    preset.closedDataCenters = {"piraeus"};
    Configuration configuration;
    configuration.revision = 42;
    configuration.customers["parks"] = customer;
    configuration.presets["peak"] = preset;
    configuration.presetInForce = "peak";
    return configuration;
}

TEST(ConfigurationJson, RoundTripsThroughJson)
{
    const Configuration full = fullConfiguration();
    EXPECT_EQ(parseConfiguration(toJson(full)).value(), full);
    EXPECT_EQ(parseCustomer(toJson(full.customers.at("parks"))).value(),
              full.customers.at("parks"));
    EXPECT_EQ(parsePreset(toJson(full.presets.at("peak"))).value(), full.presets.at("peak"));
    ConfigSnapshot snapshot{full, {{"c-1", 41}, {"c-2", 42}}};
    const auto read = parseConfigSnapshot(toJson(snapshot)).value();
    EXPECT_EQ(read.configuration, full);
    EXPECT_EQ(read.recentChanges, snapshot.recentChanges);
}

TEST(ConfigurationJson, RoundTripsEachKindOfChange)
{
    const Configuration full = fullConfiguration();
    const std::vector<decltype(ConfigChange::operation)> operations{
        PutCustomer{full.customers.at("parks")}, RemoveCustomer{"parks"},
        PutPreset{full.presets.at("peak")}, RemovePreset{"peak"}, SwitchPreset{"peak"}};
    for (const auto &operation : operations) {
        const ConfigChange change{"c-1", "ops", 41, operation};
        const std::string text = toJson(change);
        const ConfigChange read = parseConfigChange(text, "ops").value();
        EXPECT_EQ(toJson(read), text);
        EXPECT_EQ(read.operation.index(), operation.index());
        EXPECT_EQ(read.basedOn, 41U);
        const ChangeRecord record = parseChangeRecord(toJson(ChangeRecord{42, read})).value();
        EXPECT_EQ(record.revision, 42U);
        EXPECT_EQ(record.change.author, "ops");
        EXPECT_EQ(toJson(record.change), text);
    }
}

TEST(RequestJson, RoundTripsThroughJson)
{
    SubmitBody body;
    body.spec.requestId = "park-7";
    body.spec.kind = "planning";
    body.spec.urgency = UrgencyClass::Background;
    body.spec.idempotent = false;
    body.spec.accelerators = 1024;
    body.spec.adjacency = Adjacency::NeighboringRacks;
    body.spec.memoryMiB = 4096;
    body.spec.declaredRunTime = std::chrono::hours(5);
    body.spec.deadline = std::chrono::hours(9);
    body.spec.payload = std::string("a\0\"\xc3\xa9", 5);
    body.wait = true;
    const SubmitBody read = parseSubmitBody(toJson(body)).value();
    EXPECT_EQ(read.spec, body.spec);
    EXPECT_TRUE(read.wait);

    const AnswerBody answer{"park-7", {JobStatus::NotRun, "", "the queue is full", seconds(3)}};
    EXPECT_EQ(parseAnswerBody(toJson(answer)).value(), answer);
    EXPECT_FALSE(parseAnswerBody(R"({"requestId":"a","status":"maybe"})"));
    AnswerBody bytes{"park-7", {JobStatus::Done, "\xff", "", {}}};
    EXPECT_EQ(parseAnswerBody(toJson(bytes)).value().answer.result, "\xef\xbf\xbd");
}

TEST(InstanceSettings, AbsentFieldsKeepTheirDefaults)
{
    const auto settings = parseInstanceSettings(R"({"instance": "a", "dataCenter": "athens",
        "callers": {"host": "127.0.0.1"}, "urgentCallers": {"host": "127.0.0.1"},
        "operators": {"host": "127.0.0.1"}, "health": {"host": "127.0.0.1"},
        "peers": {"host": "127.0.0.1", "clusterKeyFile": "key"},
        "store": {"host": "127.0.0.1", "port": 1},
        "liveList": {"host": "127.0.0.1", "port": 2}})");
    ASSERT_TRUE(settings) << settings.error().toString();
    EXPECT_EQ(settings->callers.threads, 32U);
    EXPECT_EQ(settings->drain, seconds(30));
    EXPECT_EQ(settings->log.file, "-");
    EXPECT_FALSE(settings->tls);
    EXPECT_EQ(settings->liveList.address.port, 2U);
}

} // namespace
} // namespace Hibiscus
