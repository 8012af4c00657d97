#include <Tasks/WaitForecast.h>

#include <gtest/gtest.h>
#include <set>
#include <string>

namespace Hibiscus::Tasks {

namespace {

Job jobOf(Duration estimate, double stretch, Duration target)
{
    Job job;
    job.stretch = stretch;
    job.targetLatency = target;
    Step step;
    step.estimate = estimate;
    job.steps.push_back(step);
    return job;
}

TEST(WaitForecast, BatchBacklogDoesNotDelayUrgentWork)
{
    ServiceLoad load;
    load.accelerators = 100;
    load.waiting = {50, 0, 100'000};
    const WaitForecast forecast(WaitForecast::Settings{});
    EXPECT_EQ(forecast.expectedWait(load, 0), Duration{});
    EXPECT_EQ(forecast.expectedWait(load, 2), seconds(1000));
}

TEST(WaitForecast, WorkWaitsBehindAllWorkOfSameOrMoreUrgentPriority)
{
    ServiceLoad load;
    load.accelerators = 10;
    load.waiting = {100, 100, 100};
    load.running = {0, 50, 50};
    const WaitForecast forecast(WaitForecast::Settings{});
    EXPECT_EQ(forecast.expectedWait(load, 1), seconds(25));
    EXPECT_EQ(forecast.expectedWait(load, 7), seconds(40));
}

TEST(WaitForecast, WaitIsZeroWithoutWorkersOrBelowReportedMinimum)
{
    ServiceLoad load;
    load.waiting = {100, 100, 100};
    const WaitForecast forecast(WaitForecast::Settings{});
    EXPECT_EQ(forecast.expectedWait(load, 2), Duration{});
    load.accelerators = 100;
    EXPECT_EQ(forecast.expectedWait(load, 2), Duration{});
}

TEST(Admission, JobThatWouldEndTooLateIsRefusedWithRetryAfter)
{
    // The objective is 7 s and the job is of no use after 21 s. With its critical path of 2 s it
    // can wait up to 19 s.
    const Job job = jobOf(seconds(2), 3.0, seconds(1));
    EXPECT_TRUE(decideAdmission(job, {seconds(19), {}}).admitted);
    const AdmissionDecision verdict = decideAdmission(job, {seconds(20), {}});
    EXPECT_FALSE(verdict.admitted);
    EXPECT_EQ(verdict.retryAfter, seconds(15));
    EXPECT_EQ(decideAdmission(job, {seconds(500), {}}).retryAfter, seconds(30));
}

// Load: a burst is refused as a whole, and its callers come back.
TEST(Admission, JobsThatAreRefusedTogetherReturnAtDifferentTimes)
{
    std::set<std::int64_t> seconds;
    for (int i = 0; i < 200; i++) {
        Job job = jobOf(Hibiscus::seconds(2), 3.0, Hibiscus::seconds(1));
        job.id = "5c0e7a21d94b" + std::to_string(1000 + i);
        const AdmissionDecision verdict = decideAdmission(job, {Hibiscus::seconds(25), {}});
        EXPECT_EQ(verdict.retryAfter, decideAdmission(job, {Hibiscus::seconds(25), {}}).retryAfter);
        EXPECT_GE(verdict.retryAfter, Hibiscus::seconds(20));
        EXPECT_LE(verdict.retryAfter, Hibiscus::seconds(25));
        seconds.insert(toMs(verdict.retryAfter) / 1000);
    }
    EXPECT_GE(seconds.size(), 5U);
}

TEST(Admission, LongJobsMayWaitLonger)
{
    EXPECT_TRUE(decideAdmission(jobOf(seconds(10), 3.0, seconds(1)), {seconds(60), {}}).admitted);
    EXPECT_FALSE(decideAdmission(jobOf(seconds(2), 1.5, seconds(0)), {seconds(60), {}}).admitted);
}

TEST(Admission, ScheduledAndPerpetualJobsAreAdmittedUnderOverload)
{
    Job scheduled = jobOf(seconds(2), 1.5, seconds(0));
    scheduled.repetition.count = 3;
    EXPECT_TRUE(decideAdmission(scheduled, {seconds(900), {}}).admitted);
    Job perpetual = jobOf(seconds(2), 1.5, seconds(0));
    perpetual.steps[0].perpetual = true;
    EXPECT_TRUE(decideAdmission(perpetual, {seconds(900), {}}).admitted);
}

TEST(Admission, TypicalCriticalPathOverridesAnEstimateThatIsTooLow)
{
    // By its own estimate the job can't wait longer than 4.6 s. The critical path of jobs in its
    // queue is 7 s, with which it can wait up to 59 s.
    const Job job = jobOf(milliseconds(200), 3.0, seconds(1));
    EXPECT_FALSE(decideAdmission(job, {seconds(9), {}}).admitted);
    EXPECT_TRUE(decideAdmission(job, {seconds(9), seconds(7)}).admitted);
    EXPECT_FALSE(decideAdmission(job, {seconds(90), seconds(7)}).admitted);
}

} // namespace

} // namespace Hibiscus::Tasks
