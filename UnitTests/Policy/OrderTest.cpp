#include "EventSimulation.h"

#include <random>

namespace Hibiscus {

namespace {

double slowdown(const EventSimulation::Outcome &outcome, Duration runTime)
{
    return std::chrono::duration<double>(*outcome.finished - outcome.submitted).count()
        / std::chrono::duration<double>(runTime).count();
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.at(values.size() / 2);
}

} // namespace

TEST(Order, smallCallersWaitNoLongerThanLargeOnes)
{
    SchedulerDriver driver;
    driver.addWorkers(4);
    driver.setCustomers({{}, {}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    EventSimulation run(driver);
    std::mt19937_64 random(3);
    const TimePoint begin = driver.now;
    // One caller submits 20 times as much work as each of four other callers of the same customer.
    for (int index = 0; index < 4000; ++index) {
        QueuedJob spec = driver.job(0, 1);
        const bool isLarge = index % 24 < 20;
        spec.caller = {isLarge ? 100U : 1U + index % 4};
        spec.declaredRunTime = seconds(10);
        run.add(begin + milliseconds(std::uint64_t(250) * index + random() % 250), spec,
                seconds(10));
    }
    run.runUntil(begin + seconds(5000));
    std::vector<double> small;
    std::vector<double> large;
    for (const auto &[job, outcome] : run.outcomes) {
        ASSERT_TRUE(outcome.finished.has_value());
        (outcome.spec.caller.value == 100 ? large : small)
            .push_back(slowdown(outcome, seconds(10)));
    }
    EXPECT_LE(median(small), 1.1 * median(large));
}

TEST(Order, customersShareUnguaranteedCapacityByWeight)
{
    SchedulerDriver driver;
    driver.addWorkers(2);
    driver.setCustomers({{.guarantee = {}, .share = 1.0}, {.guarantee = {}, .share = 3.0}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    EventSimulation run(driver);
    for (int index = 0; index < 2000; ++index)
        run.add(driver.now, driver.job(static_cast<std::uint16_t>(index % 2), 1), seconds(60));
    run.runUntil(driver.now + seconds(3000));
    const auto finishedOf = [&](std::uint16_t customer) {
        return double(run.finished([&](const EventSimulation::Outcome &outcome) {
            return outcome.spec.customer.value == customer;
        }));
    };
    EXPECT_NEAR(finishedOf(1) / finishedOf(0), 3.0, 0.15);
}

TEST(Order, aCallerWhoUnderstatesItsRunTimesGainsNothing)
{
    SchedulerDriver driver;
    driver.addWorkers(2);
    driver.setCustomers({{}, {}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    EventSimulation run(driver);
    for (int index = 0; index < 2000; ++index) {
        QueuedJob spec = driver.job(static_cast<std::uint16_t>(index % 2), 1);
        spec.declaredRunTime = index % 2 == 0 ? seconds(6) : seconds(60);
        // Each job has a different kind, so that no run time is learned.
        spec.kind = {static_cast<std::uint32_t>(index)};
        run.add(driver.now, spec, seconds(60));
    }
    run.runUntil(driver.now + seconds(6000));
    const auto finishedOf = [&](std::uint16_t customer) {
        return double(run.finished([&](const EventSimulation::Outcome &outcome) {
            return outcome.spec.customer.value == customer;
        }));
    };
    EXPECT_NEAR(finishedOf(0) / finishedOf(1), 1.0, 0.1);
}

TEST(Order, ageingStartsTheLeastUrgentJobWithinItsBound)
{
    SchedulerDriver driver;
    driver.addWorkers(1);
    driver.setCustomers({{}});
    Preset preset = SchedulerDriver::unlimitedPreset();
    preset.classes[2].ageing = seconds(300);
    driver.scheduler.setPreset(preset, false, driver.now);
    EventSimulation run(driver);
    const TimePoint begin = driver.now;
    // Standard work for twice the capacity of the fleet, without end.
    for (int index = 0; index < 3000; ++index)
        run.add(begin + seconds(index), driver.job(0, 1), seconds(16));
    QueuedJob background = driver.job(0, 1);
    background.urgency = UrgencyClass::Background;
    run.add(begin + seconds(60), background, seconds(16));
    run.runUntil(begin + seconds(3000));
    const auto &outcome = run.outcomes[background.job.value];
    ASSERT_TRUE(outcome.started.has_value());
    // Once the job has aged, one start in eight goes to aged jobs; eight slots with jobs of 16 s
    // free one slot every 2 s.
    EXPECT_LE(*outcome.started - outcome.submitted, seconds(300 + 8 * 2 + 2));
    EXPECT_GE(*outcome.started - outcome.submitted, seconds(300));
}

TEST(Order, earliestDeadlineGoesFirstInsideACaller)
{
    SchedulerDriver driver;
    driver.addWorkers(1, 1, 1);
    driver.setCustomers({{}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    EventSimulation run(driver);
    std::vector<JobId> jobs;
    for (int index = 0; index < 5; ++index) {
        QueuedJob spec = driver.job(0, 1);
        spec.declaredRunTime = seconds(10);
        spec.deadline = driver.now + seconds(1000 - 100 * index);
        jobs.push_back(spec.job);
        run.add(driver.now, spec, seconds(10));
    }
    run.runUntil(driver.now + seconds(100));
    for (std::size_t index = 1; index < jobs.size(); ++index)
        EXPECT_LT(*run.outcomes[jobs[index].value].started,
                  *run.outcomes[jobs[index - 1].value].started);
}

TEST(Order, observedRunTimesCorrectDeclaredOnes)
{
    SchedulerDriver driver;
    driver.addWorkers(1);
    driver.setCustomers({{}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    QueuedJob tight = driver.job(0, 1);
    tight.declaredRunTime = seconds(10);
    tight.deadline = driver.now + seconds(50);
    EXPECT_TRUE(driver.submit(tight).isAccepted());
    EXPECT_TRUE(driver.scheduler.cancel(tight.job, driver.now));
    driver.waiting.clear();
    for (int index = 0; index < 8; ++index) {
        QueuedJob spec = driver.job(0, 1);
        spec.declaredRunTime = seconds(10);
        driver.submit(spec);
        driver.decide();
        driver.now += seconds(100);
        driver.end(spec.job);
    }
    tight.job = {++driver.lastJob};
    tight.deadline = driver.now + seconds(50);
    EXPECT_EQ(driver.submit(tight).refusal, RefusalReason::DeadlineUnreachable);
}

TEST(Order, jobsWithInfeasibleDeadlinesExpireUnstarted)
{
    SchedulerDriver driver;
    driver.addWorkers(1, 1, 1);
    driver.setCustomers({{}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    driver.submit(driver.job(0, 1));
    driver.decide();
    QueuedJob tight = driver.job(0, 1);
    tight.declaredRunTime = seconds(20);
    tight.deadline = driver.now + seconds(100);
    EXPECT_TRUE(driver.submit(tight).isAccepted());
    driver.runUntil(driver.now + seconds(89));
    EXPECT_TRUE(driver.waiting.contains(tight.job.value));
    driver.runUntil(driver.now + seconds(2));
    EXPECT_EQ(driver.history.back().kind, DecisionKind::Expire);
    EXPECT_EQ(driver.history.back().reason, RefusalReason::DeadlineUnreachable);
}

TEST(Order, jobsThatNeverFitAreRefusedAndExpireAfterFleetChanges)
{
    SchedulerDriver driver;
    driver.addWorkers(4);
    driver.setCustomers({{}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    QueuedJob gang = driver.job(0, 33);
    EXPECT_EQ(driver.submit(gang).refusal, RefusalReason::NeverFits);
    QueuedJob wide = driver.job(0, 9);
    wide.adjacency = Adjacency::Worker;
    EXPECT_EQ(driver.submit(wide).refusal, RefusalReason::NeverFits);
    QueuedJob largeMemory = driver.job(0, 1);
    largeMemory.memoryMiB = 8001;
    EXPECT_EQ(driver.submit(largeMemory).refusal, RefusalReason::NeverFits);
    driver.submit(driver.job(0, 1));
    driver.decide();
    QueuedJob whole = driver.job(0, 32);
    EXPECT_TRUE(driver.submit(whole).isAccepted());
    driver.decide();
    driver.scheduler.workerDown({3}, driver.now);
    driver.runUntil(driver.now + seconds(59));
    EXPECT_TRUE(driver.waiting.contains(whole.job.value)) << "the worker may come back";
    driver.runUntil(driver.now + seconds(2));
    EXPECT_EQ(driver.history.back().kind, DecisionKind::Expire);
    EXPECT_EQ(driver.history.back().reason, RefusalReason::NeverFits);
}

TEST(Order, massCancellationKeepsTheOrderOfTheOtherJobs)
{
    SchedulerDriver driver;
    driver.addWorkers(1, 1, 1);
    driver.setCustomers({{}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    driver.submit(driver.job(0, 1));
    driver.decide();
    std::vector<QueuedJob> jobs;
    for (int index = 0; index < 1000; ++index) {
        jobs.push_back(driver.job(0, 1));
        driver.submit(jobs.back());
    }
    for (int index = 0; index < 1000; ++index) {
        if (index % 100 == 50)
            continue;
        EXPECT_TRUE(driver.scheduler.cancel(jobs[index].job, driver.now));
        driver.waiting.erase(jobs[index].job.value);
    }
    EXPECT_FALSE(driver.scheduler.cancel(jobs[0].job, driver.now));
    for (int index = 50; index < 1000; index += 100) {
        driver.end({driver.running.begin()->first});
        driver.decide();
        EXPECT_TRUE(driver.running.contains(jobs[index].job.value));
    }
}

} // namespace Hibiscus
