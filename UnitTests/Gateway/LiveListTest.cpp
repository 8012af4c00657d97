#include <Core/JsonText.h>
#include <Gateway/LiveList.h>

#include <algorithm>
#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

std::vector<std::string> placesOf(const Findings &findings)
{
    std::vector<std::string> places;
    for (const Finding &finding : findings.all())
        places.push_back(finding.location);
    std::sort(places.begin(), places.end());
    return places;
}

TEST(LiveList, RoundTripsThroughJson)
{
    LiveList list;
    list.instances.push_back({"entry-1", "athens", "127.0.0.1", 7001, true});
    list.workers.push_back({"worker-1", "athens", 3, 4, 4, 60'000, 50, "127.0.0.2", 7002, true});
    list.workers.push_back({"worker-2", "piraeus", 9, 32, 0, 0, 60, "127.0.0.3", 65535, false});
    const tl::expected<LiveList, Findings> read = parseLiveList(toJson(list));
    ASSERT_TRUE(read);
    EXPECT_EQ(*read, list);
    EXPECT_EQ(parseLiveList("{}"), LiveList{});
}

TEST(LiveList, AllFindingsAreReportedTogetherWithTheirPlaces)
{
    const auto read = parseLiveList(R"({
        "instances": [{"name": 5, "dataCenter": "athens", "host": "127.0.0.1", "port": 70000}],
        "workers": [
            {"name": "w", "dataCenter": "athens", "host": "127.0.0.1", "port": 1, "slots": 33},
            7,
            {"name": "w", "dataCenter": "athens", "port": -1, "accelerators": 3, "leaving": "no"}
        ]})");
    ASSERT_FALSE(read);
    EXPECT_EQ(placesOf(read.error()),
              (std::vector<std::string>{"/instances/0/name", "/instances/0/port",
                                        "/workers/0/accelerators", "/workers/0/slots", "/workers/1",
                                        "/workers/2/accelerators", "/workers/2/host",
                                        "/workers/2/leaving", "/workers/2/port"}));
}

TEST(LiveList, MalformedTextGivesOneFinding)
{
    for (const char *const text : {"", "{", "[]", "5", R"({"workers": {}})", "\xFF"}) {
        const auto read = parseLiveList(text);
        ASSERT_FALSE(read) << text;
        EXPECT_EQ(read.error().all().size(), 1U) << text;
    }
}

constexpr const char *goodInstance
    = R"({"name": "entry", "dataCenter": "athens", "host": "127.0.0.1", "port": 7001})";

std::string workerWith(const std::string &fields)
{
    return R"({"name": "odd", "dataCenter": "athens", "host": "127.0.0.1", )" + fields + "}";
}

/// A list with one odd entry between two that can be used.
std::string workersAround(const std::string &odd)
{
    const auto good = [](const std::string &name) {
        return R"({"name": ")" + name
            + R"(", "dataCenter": "athens", "host": "127.0.0.2", "port": 7002})";
    };
    return R"({"instances": [)" + std::string(goodInstance) + R"(], "workers": [)" + good("first")
        + "," + odd + "," + good("last") + "]}";
}

void expectOnlyOddWorkerLeftOut(const std::string &odd, const std::string &place)
{
    const std::string shown = odd.substr(0, 120);
    const auto read = parseLiveList(workersAround(odd));
    ASSERT_TRUE(read) << shown << ": " << read.error().toString();
    EXPECT_EQ(read->instances.size(), 1U) << shown;
    ASSERT_EQ(read->workers.size(), 2U) << shown;
    EXPECT_EQ(read->workers[0].name, "first") << shown;
    EXPECT_EQ(read->workers[1].name, "last") << shown;
    EXPECT_EQ(placesOf(read->leftOut), std::vector<std::string>{place}) << shown;
}

TEST(LiveList, EntryThatIsNoObjectIsLeftOutAndTheOthersHold)
{
    for (const char *const odd : {"7", "null", "true", "\"worker\"", "[]", "1.5", "-1"})
        expectOnlyOddWorkerLeftOut(odd, "/workers/1");
}

TEST(LiveList, EntryWithTooManyLevelsIsLeftOutAndTheOthersHold)
{
    constexpr std::size_t levels = 100'000;
    const std::string arrays = std::string(levels, '[') + std::string(levels, ']');
    std::string objects;
    for (std::size_t i = 0; i < levels; ++i)
        objects += R"({"a":)";
    objects += "1" + std::string(levels, '}');
    for (const std::string &nested : {arrays, objects}) {
        expectOnlyOddWorkerLeftOut(nested, "/workers/1");
        expectOnlyOddWorkerLeftOut(workerWith(R"("port": )" + nested), "/workers/1");
        expectOnlyOddWorkerLeftOut(workerWith(R"("port": 1, "unread": )" + nested), "/workers/1");
    }
}

TEST(LiveList, EntryWithAnUnreadFieldOfFewLevelsIsUsed)
{
    const std::string nested
        = std::string(maxJsonLevels - 1, '[') + std::string(maxJsonLevels - 1, ']');
    const auto read = parseLiveList(workersAround(workerWith(R"("port": 1, "unread": )" + nested)));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->workers.size(), 3U);
    EXPECT_TRUE(read->leftOut.isEmpty());
}

TEST(LiveList, EntryWithAPortOutOfRangeIsLeftOutAndTheOthersHold)
{
    for (const char *const port : {"0", "65536", "-1", "99999999999", "-0", "1.5", "1e300",
                                   "18446744073709551616", "\"80\"", "null"})
        expectOnlyOddWorkerLeftOut(workerWith(std::string(R"("port": )") + port),
                                   "/workers/1/port");
}

TEST(LiveList, EntryWithANumberOutOfRangeIsLeftOutAndTheOthersHold)
{
    for (const char *const field : {"rack", "slots", "memoryMiB", "connections"}) {
        for (const char *const number :
             {"-1", "18446744073709551616", "-9223372036854775809", "1e300", "4294967296"})
            expectOnlyOddWorkerLeftOut(
                workerWith(std::string(R"("port": 1, ")") + field + "\": " + number),
                std::string("/workers/1/") + field);
    }
}

TEST(LiveList, EntryWithAFieldMissingOrOfAnotherTypeIsLeftOutAndTheOthersHold)
{
    expectOnlyOddWorkerLeftOut(workerWith(R"("rack": 1)"), "/workers/1/port");
    expectOnlyOddWorkerLeftOut(R"({"dataCenter": "a", "host": "127.0.0.1", "port": 1})",
                               "/workers/1/name");
    expectOnlyOddWorkerLeftOut(R"({"name": "odd", "dataCenter": "a", "port": 1})",
                               "/workers/1/host");
    expectOnlyOddWorkerLeftOut(R"({"name": "odd", "dataCenter": {}, "host": "h", "port": 1})",
                               "/workers/1/dataCenter");
    expectOnlyOddWorkerLeftOut(workerWith(R"("port": 1, "leaving": "no")"), "/workers/1/leaving");
    expectOnlyOddWorkerLeftOut(workerWith(R"("port": 1, "slots": 33, "accelerators": 33)"),
                               "/workers/1/slots");
}

TEST(LiveList, EntryThatIsNotValidJsonIsLeftOutAndTheOthersHold)
{
    for (const std::string &odd :
         {workerWith(R"("port": 1e400)"), workerWith(R"("port": 1, "rack": -1e400)"),
          workerWith("\"port\": 1, \"unread\": \"\xFF ]}, \\\" [{\""), std::string("1e400"),
          workerWith(R"("port": )")})
        expectOnlyOddWorkerLeftOut(odd, "/workers/1");
}

TEST(LiveList, TextWithAnOddEntryThatIsNoListIsRefused)
{
    const std::string whole = workersAround(workerWith(R"("port": 1e400)"));
    for (std::size_t length = 0; length < whole.size(); ++length)
        EXPECT_FALSE(parseLiveList(whole.substr(0, length))) << length;
    for (const char *const text : {R"({"workers": {"a": 1e400}})", R"({"workers": [1e400,]})",
                                   R"({"workers": 1e400})", "[[1e400]]"})
        EXPECT_FALSE(parseLiveList(text)) << text;
}

TEST(LiveList, EntriesOfWhichNoneCanBeUsedAreNoEmptyList)
{
    const auto read = parseLiveList(R"({"workers": [7]})");
    ASSERT_FALSE(read);
    EXPECT_EQ(placesOf(read.error()), std::vector<std::string>{"/workers/0"});
    EXPECT_EQ(parseLiveList(R"({"workers": []})"), LiveList{});
}

TEST(LiveList, OddInstanceIsLeftOutAndTheOthersHold)
{
    for (const char *const port : {"0", "65536", "-1", "99999999999"}) {
        const auto read
            = parseLiveList(R"({"instances": [)" + workerWith(R"("port": )" + std::string(port))
                            + "," + goodInstance + "]}");
        ASSERT_TRUE(read) << port;
        ASSERT_EQ(read->instances.size(), 1U) << port;
        EXPECT_EQ(read->instances[0].name, "entry");
        EXPECT_EQ(placesOf(read->leftOut), std::vector<std::string>{"/instances/0/port"}) << port;
    }
}

} // namespace
} // namespace Hibiscus
