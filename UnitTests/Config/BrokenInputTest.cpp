#include <Config/ConfigurationJson.h>
#include <Config/InstanceSettings.h>
#include <Config/RequestJson.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Hibiscus {
namespace {

using nlohmann::json;

const char *const validSettings = R"({
    "instance": "athens-1", "dataCenter": "athens", "region": "attica",
    "callers": {"host": "127.0.0.1", "port": 8080, "threads": 8, "largestBodyBytes": 65536},
    "urgentCallers": {"host": "127.0.0.1", "port": 8081},
    "operators": {"host": "::1", "port": 8082}, "health": {"host": "127.0.0.1", "port": 8083},
    "tls": {"certificateFile": "c.pem", "keyFile": "k.pem"},
    "peers": {"host": "127.0.0.1", "port": 8084, "clusterKeyFile": "cluster.key"},
    "store": {"host": "127.0.0.1", "port": 2379, "timeoutMs": 500},
    "liveList": {"host": "127.0.0.1", "port": 2380, "intervalMs": 250},
    "operatorKeys": [], "drainMs": 10000,
    "log": {"file": "-", "layout": "json", "level": "debug"},
    "limits": {"waitingCallers": 9, "retryShare": 0.2},
    "ledger": {"shards": 4, "commitSpacingMs": 5},
    "leases": {"ownerMs": 3000, "taskMs": 9000, "renewMs": 1000}})";

const char *const validRequest = R"({"requestId": "park-7:2", "kind": "recalculation",
    "urgency": "urgent", "idempotent": false, "accelerators": 8, "adjacency": "rack",
    "memoryMiB": 512, "declaredRunTimeMs": 1500, "deadlineMs": 4000, "payload": "x",
    "wait": true})";

const char *const validChange = R"({"changeId": "c-1", "basedOn": 4, "putCustomer": {
    "name": "parks", "guarantees": {"athens": {"worker": 2}}, "share": 2.5, "waitingCallers": 8,
    "keys": [{"name": "lab", "role": "caller", "salt": "00112233445566778899", "hash":
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}]}})";

enum class Input { Settings, Request, Change };

/// A JSON patch that makes a valid document invalid, and the place of the expected finding.
struct BrokenCase
{
    const char *name;
    Input input;
    const char *patch;
    const char *place;
};

Findings findingsOf(Input input, const std::string &text)
{
    switch (input) {
    case Input::Settings: {
        const auto parsed = parseInstanceSettings(text);
        return parsed ? Findings() : parsed.error();
    }
    case Input::Request: {
        const auto parsed = parseSubmitBody(text);
        return parsed ? Findings() : parsed.error();
    }
    case Input::Change: {
        const auto parsed = parseConfigChange(text, "operator");
        return parsed ? Findings() : parsed.error();
    }
    }
    return {};
}

const char *validText(Input input)
{
    constexpr std::array texts{&validSettings, &validRequest, &validChange};
    return *texts[static_cast<std::size_t>(input)];
}

std::vector<std::string> placesOf(const Findings &findings)
{
    std::vector<std::string> places;
    for (const Finding &finding : findings.all())
        places.push_back(finding.location);
    return places;
}

const BrokenCase brokenCases[] = {
    {"SettingsUnknownKey", Input::Settings, R"([{"op":"add","path":"/zone","value":1}])", "/zone"},
    {"SettingsUnknownInnerKey", Input::Settings, R"([{"op":"add","path":"/log/colour","value":1}])",
     "/log/colour"},
    {"SettingsKeyToEscape", Input::Settings, R"([{"op":"add","path":"/a~1b~0c","value":1}])",
     "/a~1b~0c"},
    {"SettingsWithoutInstance", Input::Settings, R"([{"op":"remove","path":"/instance"}])",
     "/instance"},
    {"SettingsWithoutStoreHost", Input::Settings, R"([{"op":"remove","path":"/store/host"}])",
     "/store/host"},
    {"SettingsHostName", Input::Settings,
     R"([{"op":"replace","path":"/callers/host","value":"localhost"}])", "/callers/host"},
    {"SettingsHostWithPort", Input::Settings,
     R"([{"op":"replace","path":"/store/host","value":"127.0.0.1:80"}])", "/store/host"},
    {"SettingsPortTooLarge", Input::Settings,
     R"([{"op":"replace","path":"/peers/port","value":65536}])", "/peers/port"},
    {"SettingsPortNegative", Input::Settings,
     R"([{"op":"replace","path":"/health/port","value":-1}])", "/health/port"},
    {"SettingsPortAsText", Input::Settings,
     R"([{"op":"replace","path":"/health/port","value":"80"}])", "/health/port"},
    {"SettingsPortTwice", Input::Settings,
     R"([{"op":"replace","path":"/urgentCallers/port","value":8080}])", "/urgentCallers/port"},
    {"SettingsNoThreads", Input::Settings,
     R"([{"op":"replace","path":"/callers/threads","value":0}])", "/callers/threads"},
    {"SettingsFractionOfAThread", Input::Settings,
     R"([{"op":"replace","path":"/callers/threads","value":1.5}])", "/callers/threads"},
    {"SettingsLevel", Input::Settings, R"([{"op":"replace","path":"/log/level","value":"loud"}])",
     "/log/level"},
    {"SettingsRetryShare", Input::Settings,
     R"([{"op":"replace","path":"/limits/retryShare","value":1.01}])", "/limits/retryShare"},
    {"SettingsLeaseShorterThanRenewals", Input::Settings,
     R"([{"op":"replace","path":"/leases/renewMs","value":2000}])", "/leases/renewMs"},
    {"SettingsOperatorKeyOfACaller", Input::Settings,
     R"([{"op":"add","path":"/operatorKeys/0","value":{"name":"a","role":"caller","salt":
     "00112233445566778899","hash":
     "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}}])",
     "/operatorKeys/0/role"},
    {"SettingsOperatorKeyNotHex", Input::Settings,
     R"([{"op":"add","path":"/operatorKeys/0","value":{"name":"a","role":"operator","salt":
     "00112233445566778899","hash":
     "zz112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}}])",
     "/operatorKeys/0/hash"},
    {"SettingsName", Input::Settings,
     R"([{"op":"replace","path":"/dataCenter","value":"athens/2"}])", "/dataCenter"},
    {"SettingsTlsWithoutKey", Input::Settings, R"([{"op":"remove","path":"/tls/keyFile"}])",
     "/tls/keyFile"},
    {"RequestUnknownKey", Input::Request, R"([{"op":"add","path":"/customer","value":"x"}])",
     "/customer"},
    {"RequestWithoutId", Input::Request, R"([{"op":"remove","path":"/requestId"}])", "/requestId"},
    {"RequestEmptyId", Input::Request, R"([{"op":"replace","path":"/requestId","value":""}])",
     "/requestId"},
    {"RequestIdWithSlash", Input::Request,
     R"([{"op":"replace","path":"/requestId","value":"a/b"}])", "/requestId"},
    {"RequestUrgency", Input::Request, R"([{"op":"replace","path":"/urgency","value":"now"}])",
     "/urgency"},
    {"RequestIdempotentAsText", Input::Request,
     R"([{"op":"replace","path":"/idempotent","value":"no"}])", "/idempotent"},
    {"RequestGangTooLarge", Input::Request,
     R"([{"op":"replace","path":"/accelerators","value":1025}])", "/accelerators"},
    {"RequestGangHuge", Input::Request,
     R"([{"op":"replace","path":"/accelerators","value":18446744073709551615}])", "/accelerators"},
    {"RequestAdjacencyOfNothing", Input::Request,
     R"([{"op":"replace","path":"/accelerators","value":0}])", "/adjacency"},
    {"RequestRunTimeZero", Input::Request,
     R"([{"op":"replace","path":"/declaredRunTimeMs","value":0}])", "/declaredRunTimeMs"},
    {"RequestDeadlineNull", Input::Request,
     R"([{"op":"replace","path":"/deadlineMs","value":null}])", "/deadlineMs"},
    {"RequestPayloadAsObject", Input::Request, R"([{"op":"replace","path":"/payload","value":{}}])",
     "/payload"},
    {"ChangeUnknownKey", Input::Change, R"([{"op":"add","path":"/author","value":"me"}])",
     "/author"},
    {"ChangeWithoutId", Input::Change, R"([{"op":"remove","path":"/changeId"}])", "/changeId"},
    {"ChangeOfNothing", Input::Change, R"([{"op":"remove","path":"/putCustomer"}])", ""},
    {"ChangeOfTwoThings", Input::Change, R"([{"op":"add","path":"/switchPreset","value":"peak"}])",
     ""},
    {"ChangeBasedOnText", Input::Change, R"([{"op":"replace","path":"/basedOn","value":"4"}])",
     "/basedOn"},
    {"ChangeShareNegative", Input::Change,
     R"([{"op":"replace","path":"/putCustomer/share","value":-1}])", "/putCustomer/share"},
    {"ChangeUnknownLevel", Input::Change,
     R"([{"op":"add","path":"/putCustomer/guarantees/athens/room","value":1}])",
     "/putCustomer/guarantees/athens/room"},
    {"ChangeNegativeCells", Input::Change,
     R"([{"op":"replace","path":"/putCustomer/guarantees/athens/worker","value":-2}])",
     "/putCustomer/guarantees/athens/worker"},
    {"ChangeDataCenterName", Input::Change,
     R"([{"op":"add","path":"/putCustomer/guarantees/a b","value":{}}])",
     "/putCustomer/guarantees/a b"},
    {"ChangeKeyRole", Input::Change,
     R"([{"op":"replace","path":"/putCustomer/keys/0/role","value":"root"}])",
     "/putCustomer/keys/0/role"},
    {"ChangeKeyWithoutHash", Input::Change,
     R"([{"op":"remove","path":"/putCustomer/keys/0/hash"}])", "/putCustomer/keys/0/hash"},
    {"ChangeKeySecret", Input::Change,
     R"([{"op":"add","path":"/putCustomer/keys/0/secret","value":"s"}])",
     "/putCustomer/keys/0/secret"},
    {"ChangePresetClass", Input::Change,
     R"([{"op":"remove","path":"/putCustomer"},{"op":"add","path":"/putPreset","value":
     {"name":"peak","classes":{"vip":{}}}}])",
     "/putPreset/classes/vip"},
    {"ChangePresetShare", Input::Change,
     R"([{"op":"remove","path":"/putCustomer"},{"op":"add","path":"/putPreset","value":
     {"name":"peak","classes":{"urgent":{"keptShare":1.5}}}}])",
     "/putPreset/classes/urgent/keptShare"},
    {"ChangePresetAgeing", Input::Change,
     R"([{"op":"remove","path":"/putCustomer"},{"op":"add","path":"/putPreset","value":
     {"name":"peak","classes":{"urgent":{"ageingMs":0}}}}])",
     "/putPreset/classes/urgent/ageingMs"},
    {"ChangeClosedDataCenter", Input::Change,
     R"([{"op":"remove","path":"/putCustomer"},{"op":"add","path":"/putPreset","value":
     {"name":"peak","closedDataCenters":["athens",""]}}])",
     "/putPreset/closedDataCenters/1"},
};

class BrokenInput : public testing::TestWithParam<BrokenCase>
{};

TEST_P(BrokenInput, GivesOneFindingWithItsExactPlace)
{
    const BrokenCase &broken = GetParam();
    const json valid = json::parse(validText(broken.input));
    const std::string text = valid.patch(json::parse(broken.patch)).dump();
    EXPECT_EQ(placesOf(findingsOf(broken.input, text)), std::vector<std::string>{broken.place})
        << findingsOf(broken.input, text).toString();
}

INSTANTIATE_TEST_SUITE_P(All, BrokenInput, testing::ValuesIn(brokenCases),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(ValidInput, HasNoFindings)
{
    for (const Input input : {Input::Settings, Input::Request, Input::Change})
        EXPECT_EQ(findingsOf(input, validText(input)).toString(), "");
}

TEST(BrokenText, GivesAFindingAtTheRoot)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string twice
        = R"({"requestId":"a","kind":"k","idempotent":true,"idempotent":false})";
    const std::string large
        = R"({"requestId":"a","kind":"k","payload":")" + std::string(maxRequestBytes, 'x') + "\"}";
    for (const std::string &text :
         {std::string(), std::string("{"), std::string("{} {}"), std::string("[]"),
          std::string("{\"a\":\"\xff\"}"), deep, twice, large}) {
        for (const Input input : {Input::Settings, Input::Request, Input::Change})
            EXPECT_EQ(placesOf(findingsOf(input, text)).front(), "") << text.substr(0, 40);
    }
}

TEST(BrokenInput, AllFindingsAreReportedTogether)
{
    json settings = json::parse(validSettings);
    settings["callers"]["host"] = "example.org";
    settings["store"]["host"] = "store";
    settings["leases"]["renewMs"] = 2000;
    const std::vector<std::string> ofValues{"/callers/host", "/store/host", "/leases/renewMs"};
    EXPECT_EQ(placesOf(findingsOf(Input::Settings, settings.dump())), ofValues);

    json request{{"requestId", 7}, {"urgency", "now"}, {"size", 1}};
    std::vector<std::string> places = placesOf(findingsOf(Input::Request, request.dump()));
    std::sort(places.begin(), places.end());
    EXPECT_EQ(places, (std::vector<std::string>{"/kind", "/requestId", "/size", "/urgency"}));
}

TEST(Payload, MayHaveTheMaximumSizeButNoMore)
{
    json request = json::parse(validRequest);
    request["payload"] = std::string(maxPayloadBytes, '\n');
    EXPECT_EQ(findingsOf(Input::Request, request.dump()).toString(), "");
    request["payload"] = std::string(maxPayloadBytes + 1, 'x');
    EXPECT_EQ(placesOf(findingsOf(Input::Request, request.dump())).front(), "/payload");
}

} // namespace
} // namespace Hibiscus
