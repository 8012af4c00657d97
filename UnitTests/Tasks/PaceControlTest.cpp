#include <Tasks/PaceControl.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

TEST(PaceControl, BacksOffByMuchWhenResponseTimesComeNearTheirTarget)
{
    const PaceControl control({});
    std::int32_t pace = 100;
    int steps = 0;
    while (pace > 0) {
        pace = control.next(pace, 1.2);
        steps++;
    }
    EXPECT_LE(steps, 3);
}

TEST(PaceControl, FeelsItsWayBackByLittle)
{
    const PaceControl control({});
    EXPECT_EQ(control.next(0, 0.5), 10);
    EXPECT_EQ(control.next(95, 0.5), 100);
}

TEST(PaceControl, HoldsItsPaceInBetween)
{
    const PaceControl control({});
    EXPECT_EQ(control.next(40, 0.8), 40);
}

TEST(PaceControl, FullPaceWhereNothingServes)
{
    const PaceControl control({});
    EXPECT_EQ(control.next(0, 0.0), 100);
}

} // namespace

} // namespace Hibiscus::Tasks
