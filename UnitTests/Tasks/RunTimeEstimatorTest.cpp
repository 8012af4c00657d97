#include <Tasks/RunTimeEstimator.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

TEST(RunTimeEstimator, EstimateIsUsedAloneUntilFiveRunsAreRecorded)
{
    RunTimeEstimator estimator;
    for (int i = 0; i < 4; i++)
        estimator.recordRun("photo", seconds(8));
    EXPECT_EQ(estimator.expectedRunTime("photo", seconds(2)), seconds(2));
    estimator.recordRun("photo", seconds(8));
    EXPECT_EQ(estimator.expectedRunTime("photo", seconds(2)), seconds(4));
    EXPECT_EQ(estimator.expectedRunTime("other", seconds(2)), seconds(2));
}

TEST(RunTimeEstimator, CriticalPathAddsUpExpectedRunTimes)
{
    RunTimeEstimator estimator;
    for (int i = 0; i < 100; i++)
        estimator.recordRun("photo", seconds(9));
    Job job;
    job.queue = "photo";
    Step first;
    first.estimate = seconds(1);
    Step second = first;
    second.after = {0};
    job.steps = {first, second};
    EXPECT_EQ(estimator.expectedCriticalPath(job), seconds(6));
}

} // namespace

} // namespace Hibiscus::Tasks
