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

} // namespace
} // namespace Hibiscus
