#include <Tasks/DepartureDecision.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

using RunOutlook = DepartureDecision::RunOutlook;

const DepartureDecision decision{DepartureDecision::Settings{}};

TEST(DepartureDecisionTest, RunThatEndsInTimeGoesOn)
{
    EXPECT_FALSE(decision.stopsNow({seconds(6), milliseconds(800), false}, seconds(1)));
    EXPECT_FALSE(decision.stopsNow({seconds(6), milliseconds(800), true}, seconds(1)));
}

TEST(DepartureDecisionTest, DoomedRunStopsWhileTheStopStillReachesItsWorker)
{
    EXPECT_FALSE(decision.stopsNow({seconds(6), seconds(4), false}, seconds(2)));
    EXPECT_TRUE(decision.stopsNow({seconds(6), seconds(4), false}, milliseconds(1300)));
    EXPECT_TRUE(decision.stopsNow({seconds(6), seconds(4), false}, milliseconds(-500)));
}

TEST(DepartureDecisionTest, YoungDoomedRunStopsAtOnce)
{
    EXPECT_TRUE(decision.stopsNow({seconds(1), seconds(7), false}, seconds(2)));
}

TEST(DepartureDecisionTest, RunThatKeepsItsWorkWorksOnUntilTheLastMoment)
{
    EXPECT_FALSE(decision.stopsNow({seconds(1), seconds(7), true}, seconds(2)));
    EXPECT_TRUE(decision.stopsNow({seconds(1), seconds(7), true}, milliseconds(1300)));
}

TEST(DepartureDecisionTest, TimeLeftFollowsFromTheShareOfWorkDone)
{
    EXPECT_EQ(expectedTimeLeft(seconds(5), seconds(4), 50, seconds(60)), seconds(3));
    EXPECT_EQ(expectedTimeLeft(seconds(9), seconds(4), 50, seconds(60)), Duration{});
    EXPECT_EQ(expectedTimeLeft(seconds(5), Duration{}, 0, seconds(7)), seconds(2));
    EXPECT_EQ(expectedTimeLeft(seconds(8), Duration{}, 0, seconds(7)), seconds(2));
}

} // namespace

} // namespace Hibiscus::Tasks
