#include <Hibiscusctl/Explain.h>

#include <gtest/gtest.h>
#include <sstream>

namespace Hibiscus {

namespace {

constexpr const char *entryLog
    = R"({"time":1000,"instance":"entry-1","kind":"request","event":"job submitted","request":"ab","outcome":"accepted"}
{"time":1001,"instance":"entry-1","kind":"request","event":"job submitted","request":"cd","outcome":"accepted"}
no log line { at all
{"time":"soon","event":"x"}
)";
constexpr const char *leaderLog
    = R"(  0.5 entry-2 {"time":900,"instance":"entry-2","kind":"leadership","event":"elected","token":7}
  0.6 entry-2 {"time":1004,"instance":"entry-2","kind":"task","event":"run assigned","request":"ab","worker":"i-1","waitedMs":4}
  0.7 entry-2 {"time":1500,"instance":"entry-2","kind":"leadership","event":"deposed","reason":"the lease could not be renewed in time"}
  0.8 entry-2 {"time":2250,"instance":"entry-2","kind":"request","event":"job over","request":"ab","state":3}
)";

std::vector<LogLine> timelineOf(const std::string &request)
{
    RequestTimeline timeline(request);
    std::istringstream leader(leaderLog);
    std::istringstream entry(entryLog);
    timeline.read(leader);
    timeline.read(entry);
    return timeline.lines();
}

TEST(Explain, LineThatNamesSeveralRequestsBelongsToEachOfThem)
{
    std::istringstream log(
        R"({"time":2000,"instance":"entry-2","kind":"record","event":"records stored","requests":["ab","cd"],"revision":41})");
    RequestTimeline timeline("cd");
    timeline.read(log);
    ASSERT_EQ(timeline.lines().size(), 1U);
    EXPECT_EQ(timeline.lines()[0].event, "records stored");
    EXPECT_EQ(timeline.lines()[0].details, "revision=41");
}

TEST(Explain, LinesOfSeveralInstancesAreOrderedByTime)
{
    const std::vector<LogLine> lines = timelineOf("ab");
    ASSERT_EQ(lines.size(), 4U);
    EXPECT_EQ(lines[0].event, "job submitted");
    EXPECT_EQ(lines[1].details, "worker=i-1 waitedMs=4");
    EXPECT_EQ(lines[2].event, "deposed");
    EXPECT_TRUE(lines[3].isFinalOutcome);
}

TEST(Explain, LineWithTheFinalOutcomeIsMarked)
{
    const std::string text = renderTimeline(timelineOf("ab"));
    EXPECT_NE(text.find("=>     +1.250 s  entry-2  job over  state=3\n"), std::string::npos)
        << text;
}

TEST(Explain, UnknownRequestHasNoLines)
{
    EXPECT_TRUE(timelineOf("ef").empty());
    EXPECT_EQ(renderTimeline({}), "");
}

} // namespace

} // namespace Hibiscus
