#include <Tasks/PaceController.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

TEST(PaceController, OverloadReducesPaceToZeroWithinThreeSteps)
{
    const PaceController control({});
    std::int32_t pace = 100;
    int steps = 0;
    while (pace > 0) {
        pace = control.nextPercent(pace, 1.2);
        steps++;
    }
    EXPECT_LE(steps, 3);
}

TEST(PaceController, PaceIncreasesByTenPercentBelowIncreaseThreshold)
{
    const PaceController control({});
    EXPECT_EQ(control.nextPercent(0, 0.5), 10);
    EXPECT_EQ(control.nextPercent(95, 0.5), 100);
}

TEST(PaceController, PaceIsUnchangedBetweenThresholds)
{
    const PaceController control({});
    EXPECT_EQ(control.nextPercent(40, 0.8), 40);
}

TEST(PaceController, FullPaceOnWorkerWithoutServingTasks)
{
    const PaceController control({});
    EXPECT_EQ(control.nextPercent(0, 0.0), 100);
}

} // namespace

} // namespace Hibiscus::Tasks
