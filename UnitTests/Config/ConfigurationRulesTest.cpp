#include <Config/ConfigurationJson.h>
#include <Config/ConfigurationRules.h>
#include <Config/ConfigurationSize.h>

#include <gtest/gtest.h>
#include <limits>

namespace Hibiscus {
namespace {

using Operation = decltype(ConfigChange::operation);

Customer customer(const std::string &name, const std::map<std::string, CellCounts> &guarantees)
{
    Customer made;
    made.name = name;
    made.guarantees = guarantees;
    return made;
}

/// Athens has 50 workers of 8 slots: 8 racks of 6 workers and 2 further workers. Piraeus has one
/// worker.
std::vector<DataCenterCells> fleet()
{
    return {{"athens", {400, 200, 100, 50, 8}, {0, 2, 2, 2, 6}},
            {"piraeus", {8, 4, 2, 1, 0}, {0, 2, 2, 2, 0}}};
}

Configuration before()
{
    Configuration configuration;
    configuration.revision = 7;
    configuration.customers["parks"] = customer("parks", {{"athens", {0, 0, 0, 1, 4}}});
    configuration.customers["parks"].keys.push_back(
        {"lab", Role::Caller, "0011", std::string(64, 'a')});
    Preset preset;
    preset.name = "ordinary";
    configuration.presets["ordinary"] = preset;
    configuration.presetInForce = "ordinary";
    return configuration;
}

Preset preset(double urgentKept, double urgentLargest, double backgroundKept)
{
    Preset made;
    made.name = "peak";
    made.classes[0].keptShare = urgentKept;
    made.classes[0].largestShare = urgentLargest;
    made.classes[2].keptShare = backgroundKept;
    return made;
}

Customer withShare(double share)
{
    Customer made = customer("schools", {});
    made.share = share;
    return made;
}

Customer withKeys(const std::vector<ApiKey> &keys)
{
    Customer made = customer("schools", {});
    made.keys = keys;
    return made;
}

struct RuleCase
{
    const char *name;
    Operation operation;
    const char *findings; ///< Expected findings; empty if the change is accepted.
};

const std::string hash(64, 'b');

const RuleCase ruleCases[] = {
    {"FitsExactly", PutCustomer{customer("schools", {{"athens", {0, 0, 0, 1, 4}}})}, ""},
    {"OneWorkerTooMany", PutCustomer{customer("schools", {{"athens", {0, 0, 0, 2, 4}}})},
     "/putCustomer/guarantees/athens: guarantees of parks, schools in athens need 3 worker cells, "
     "and only 2 are left beside the larger ones\n"},
    {"OneRackTooMany", PutCustomer{customer("schools", {{"athens", {0, 0, 0, 0, 5}}})},
     "/putCustomer/guarantees/athens: guarantees of parks, schools in athens need 9 rack cells, "
     "and only 8 are left beside the larger ones\n"
     "/putCustomer/guarantees/athens: guarantees of parks, schools in athens need 1 worker cells, "
     "and only 0 are left beside the larger ones\n"},
    {"SmallCellsSplitWorkers", PutCustomer{customer("schools", {{"piraeus", {2, 1, 1, 0, 0}}})},
     ""},
    {"SmallCellsTooMany", PutCustomer{customer("schools", {{"piraeus", {3, 1, 1, 0, 0}}})},
     "/putCustomer/guarantees/piraeus: guarantees of schools in piraeus need 3 slot cells, and "
     "only 2 are left beside the larger ones\n"},
    {"UnknownDataCenters",
     PutCustomer{customer("schools", {{"delphi", {1}}, {"a/b", {1}}, {"sparta", {}}})},
     "/putCustomer/guarantees/a~1b: customer schools: no worker of data centre a/b is known\n"
     "/putCustomer/guarantees/delphi: customer schools: no worker of data centre delphi is "
     "known\n"},
    {"LoweredWhileTheFleetIsTooSmall",
     PutCustomer{customer("parks", {{"athens", {0, 0, 0, 1, 3}}})}, ""},
    {"ShareZero", PutCustomer{withShare(0.0)},
     "/putCustomer/share: must be above 0 and at most 1000000\n"},
    {"ShareNotANumber", PutCustomer{withShare(std::numeric_limits<double>::quiet_NaN())},
     "/putCustomer/share: must be above 0 and at most 1000000\n"},
    {"KeyOfAnother", PutCustomer{withKeys({{"lab", Role::Caller, "00", hash}})},
     "/putCustomer/keys/0/name: is a key of customer parks\n"},
    {"KeyTwice",
     PutCustomer{withKeys({{"a", Role::Caller, "00", hash}, {"a", Role::Caller, "00", hash}})},
     "/putCustomer/keys/1/name: is used twice\n"},
    {"KeyHash", PutCustomer{withKeys({{"a", Role::Caller, "00", "abcd"}})},
     "/putCustomer/keys/0/hash: must be 64 hexadecimal digits\n"},
    {"KeptSharesTogether", PutPreset{preset(0.6, 1.0, 0.41)},
     "/putPreset/classes: kept shares are more than 1 together\n"},
    {"KeptSharesOfOne", PutPreset{preset(0.7, 1.0, 0.3)}, ""},
    {"LargestBelowKept", PutPreset{preset(0.5, 0.4, 0.0)},
     "/putPreset/classes/urgent/largestShare: is less than keptShare\n"},
    {"RemoveInForce", RemovePreset{"ordinary"},
     "/removePreset: the preset is in force; switch to another first\n"},
    {"RemoveUnknownPreset", RemovePreset{"x"}, "/removePreset: there is no preset x\n"},
    {"RemoveUnknownCustomer", RemoveCustomer{"x"}, "/removeCustomer: there is no customer x\n"},
    {"SwitchToUnknown", SwitchPreset{"x"}, "/switchPreset: there is no preset x\n"},
};

class ConfigurationRules : public testing::TestWithParam<RuleCase>
{};

TEST_P(ConfigurationRules, AcceptAValidChangeOrReportAllFindingsWithTheirPlaces)
{
    const ConfigChange change{"c", "operator", {}, GetParam().operation};
    const auto after = applyChange(before(), change, fleet());
    EXPECT_EQ(after ? "" : after.error().toString(), GetParam().findings);
    if (after) {
        Configuration made = before();
        applyAcceptedChange(change, made);
        EXPECT_EQ(*after, made);
        EXPECT_EQ(after->revision, 8U);
        EXPECT_NE(toJson(*after), toJson(before()));
    }
}

INSTANTIATE_TEST_SUITE_P(All, ConfigurationRules, testing::ValuesIn(ruleCases),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(ConfigurationRules, WithoutAKnownSplitTheAverageIsRoundedUp)
{
    const std::vector<DataCenterCells> known{{"athens", {0, 0, 0, 50, 8}, {}}};
    Configuration configuration;
    const ConfigChange change{
        "c", "operator", {}, PutCustomer{customer("a", {{"athens", {0, 0, 0, 2, 7}}})}};
    const auto after = applyChange(configuration, change, known);
    EXPECT_NE(after.error().toString().find("only 1 are left"), std::string::npos);
}

TEST(ConfigurationRules, TheSizeBoundIsNeverBelowTheSizeOfTheText)
{
    Configuration large;
    large.revision = 999'999'999'999;
    large.presetInForce = std::string(128, 'p');
    Customer big = customer(std::string(128, 'n'), {});
    big.share = 0.12345678901234567;
    big.waitingCallers = 100'000;
    for (int i = 0; i < 64; ++i)
        big.guarantees["d" + std::to_string(i)].fill(1'000'000);
    big.keys.assign(32, {std::string(128, 'k'), Role::Operator, std::string(128, 'a'), hash});
    Preset peak = preset(0.12345678901234567, 0.12345678901234567, 0.12345678901234567);
    for (ClassLimits &limits : peak.classes)
        limits = {1'000'000, 0.12345678901234567, 0.12345678901234567, milliseconds(31'536'000'000),
                  milliseconds(31'536'000'000)};
    peak.closedDataCenters.assign(64, std::string(128, 'x'));
    for (const Configuration &one : {Configuration(), before(), large}) {
        Configuration whole = one;
        EXPECT_GE(jsonSizeBound(whole), toJson(whole).size());
        whole.customers["n"] = big;
        EXPECT_GE(jsonSizeBound(whole), toJson(whole).size());
        whole.presets["p"] = peak;
        EXPECT_GE(jsonSizeBound(whole), toJson(whole).size());
        EXPECT_LE(jsonSizeBound(whole), 2 * toJson(whole).size());
    }
}

TEST(ConfigurationRules, AConfigurationAboveTheStoresLimitIsRefused)
{
    Configuration configuration = before();
    Preset large = preset(0, 1, 0);
    large.closedDataCenters.assign(64, std::string(128, 'x'));
    for (int i = 0; i < 85; ++i)
        configuration.presets["p" + std::to_string(i)] = large;
    const ConfigChange change{"c", "operator", {}, PutPreset{large}};
    EXPECT_TRUE(applyChange(configuration, change, fleet()));
    for (int i = 85; i < 95; ++i)
        configuration.presets["p" + std::to_string(i)] = large;
    EXPECT_FALSE(applyChange(configuration, change, fleet()));
}

} // namespace
} // namespace Hibiscus
