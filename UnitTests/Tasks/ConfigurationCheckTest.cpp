#include <Tasks/ConfigurationCheck.h>

#include <algorithm>
#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

SystemConfiguration soundConfiguration()
{
    SystemConfiguration configuration;
    configuration.version = 7;
    configuration.services = {"blend"};
    configuration.queues.push_back(
        {.name = "checks", .host = "a.example", .prefix = "/checks/", .service = "blend"});
    configuration.queues.push_back(
        {.name = "all", .host = "a.example", .prefix = "/", .service = "blend"});
    configuration.customers.push_back({"parks", {"key-1", "key-2"}, 16});
    configuration.customers.push_back({"schools", {"key-3"}, 0});
    return configuration;
}

bool hasFindingAt(const Findings &findings, const std::string &location)
{
    return std::any_of(findings.all().begin(), findings.all().end(),
                       [&](const Finding &finding) { return finding.location == location; });
}

TEST(ConfigurationCheck, SoundConfigurationHasNoFindings)
{
    const ConfigurationFaults faults = checkConfiguration(soundConfiguration());
    EXPECT_TRUE(faults.isEmpty()) << faults.unreachable.toString()
                                  << faults.contradictions.toString();
}

TEST(ConfigurationCheck, QueueWithTheHostAndPrefixOfAnotherIsNeverReached)
{
    SystemConfiguration configuration = soundConfiguration();
    configuration.queues.push_back(
        {.name = "late", .host = "A.example:80", .prefix = "/checks/", .service = "blend"});
    const Findings found = checkConfiguration(configuration).unreachable;
    ASSERT_EQ(found.all().size(), 1U) << found.toString();
    EXPECT_EQ(found.all().front().location, "queue \"late\"");
}

TEST(ConfigurationCheck, QueueWithoutAPathOrAServiceIsNeverUsed)
{
    SystemConfiguration configuration = soundConfiguration();
    configuration.queues[0].prefix = "checks/";
    configuration.queues[1].service = "other";
    const Findings found = checkConfiguration(configuration).unreachable;
    EXPECT_TRUE(hasFindingAt(found, "queue \"checks\"")) << found.toString();
    EXPECT_TRUE(hasFindingAt(found, "queue \"all\"")) << found.toString();
}

TEST(ConfigurationCheck, CustomerWhoseKeysBelongToAnotherHasNoAccess)
{
    SystemConfiguration configuration = soundConfiguration();
    configuration.customers[1].keys = {"key-2"};
    const Findings found = checkConfiguration(configuration).unreachable;
    EXPECT_EQ(found.all().size(), 2U) << found.toString();
    EXPECT_TRUE(hasFindingAt(found, "customer \"schools\""));
    EXPECT_EQ(found.toString().find("key-2"), std::string::npos);
}

TEST(ConfigurationCheck, LimitsThatContradictEachOtherAreFound)
{
    SystemConfiguration configuration = soundConfiguration();
    configuration.queues[0].stretch = 0.5;
    configuration.queues[1].permits = {milliseconds(200), milliseconds(5), milliseconds(200)};
    configuration.limits.bodyBytes = 0;
    const Findings found = checkConfiguration(configuration).contradictions;
    EXPECT_EQ(found.all().size(), 3U) << found.toString();
    EXPECT_TRUE(hasFindingAt(found, "queue \"checks\""));
    EXPECT_TRUE(hasFindingAt(found, "queue \"all\""));
    EXPECT_TRUE(hasFindingAt(found, "limits"));
}

TEST(ConfigurationCheck, DifferencesNameEachChangeAndNoKey)
{
    const SystemConfiguration inForce = soundConfiguration();
    SystemConfiguration proposed = inForce;
    proposed.version = 9;
    proposed.queues[0].timeout = seconds(2);
    proposed.queues.pop_back();
    proposed.customers[0].keys = {"key-2", "key-9"};
    proposed.limits.bodyBytes = 1024;
    const Findings found = compareConfigurations(inForce, proposed);
    EXPECT_EQ(found.all().size(), 6U) << found.toString();
    EXPECT_TRUE(hasFindingAt(found, "queue \"all\""));
    EXPECT_TRUE(hasFindingAt(found, "limits"));
    EXPECT_EQ(found.toString().find("key-"), std::string::npos);
    EXPECT_TRUE(compareConfigurations(inForce, inForce).isEmpty());
}

} // namespace

} // namespace Hibiscus::Tasks
