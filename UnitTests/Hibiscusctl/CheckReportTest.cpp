#include <Hibiscusctl/CheckReport.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

std::string configurationText(int version, const char *prefix)
{
    const nlohmann::json queue{
        {"name", "q"}, {"host", "a.example"}, {"prefix", prefix}, {"backend", "blend"}};
    const nlohmann::json customer{{"name", "parks"}, {"apiKeys", {"key-1"}}};
    return nlohmann::json{{"version", version},
                          {"routes", {queue}},
                          {"services", {{{"name", "blend"}}}},
                          {"tenants", {customer}}}
        .dump();
}

TEST(CheckReport, SoundConfigurationIsReportedWithItsDifferences)
{
    const CheckReport report
        = checkConfigurationText(configurationText(8, "/b/"), configurationText(7, "/a/"));
    EXPECT_TRUE(report.isSound()) << renderReport(report, false);
    EXPECT_EQ(report.differences.all().size(), 2U) << report.differences.toString();
}

TEST(CheckReport, TextThatCanNotBeDecodedIsAnError)
{
    const CheckReport report = checkConfigurationText("{\"version\": \"x\"}", "");
    EXPECT_FALSE(report.isSound());
    EXPECT_FALSE(report.errors.isEmpty());
}

TEST(CheckReport, VersionThatIsNotHigherIsAContradiction)
{
    const std::string text = configurationText(7, "/a/");
    EXPECT_FALSE(checkConfigurationText(text, text).isSound());
}

TEST(CheckReport, JsonNamesEachPart)
{
    const CheckReport report = checkConfigurationText(configurationText(7, "a/"), "");
    const nlohmann::json value = nlohmann::json::parse(renderReport(report, true));
    EXPECT_EQ(value.at("unreachable").size(), 1U);
    EXPECT_TRUE(value.at("errors").empty());
    EXPECT_TRUE(value.at("contradictions").empty());
    EXPECT_TRUE(value.at("differences").empty());
}

} // namespace

} // namespace Hibiscus
