#include "SchedulerDriver.h"

namespace Hibiscus {

namespace {

Scheduler::CustomerEntitlement entitlement(CellCounts guarantee, double share = 1.0)
{
    return {.guarantee = guarantee, .share = share};
}

constexpr CellCounts nothing{};

} // namespace

TEST(CellScheduler, placesSmallJobsInFragmentedCellsAndKeepsLargeCellsWhole)
{
    SchedulerDriver driver;
    driver.addWorkers(6);
    driver.setCustomers({entitlement(nothing)});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    for (int index = 0; index < 8; ++index)
        EXPECT_TRUE(driver.submit(driver.job(0, 1)).isAccepted());
    driver.decide();
    EXPECT_EQ(driver.running.size(), 8U);
    EXPECT_EQ(driver.used.size(), 1U) << "eight single slots fill one worker";
    EXPECT_TRUE(driver.submit(driver.job(0, 40)).isAccepted());
    driver.decide();
    EXPECT_EQ(driver.usedSlots(), 48U);
}

TEST(CellScheduler, reclaimsALentGuaranteeWithinOneLeaseTerm)
{
    SchedulerDriver driver;
    driver.addWorkers(6);
    driver.setCustomers({entitlement({0, 0, 0, 6, 0}), entitlement(nothing)});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    QueuedJob background = driver.job(1, 48);
    background.urgency = UrgencyClass::Background;
    driver.submit(background);
    driver.decide();
    ASSERT_EQ(driver.running.size(), 1U);
    const QueuedJob owner = driver.job(0, 16);
    driver.submit(owner);
    const TimePoint asked = driver.now;
    driver.decide();
    driver.runUntil(asked + CellScheduler::Settings{}.reclaim.stopDelay);
    ASSERT_EQ(driver.history.back().kind, DecisionKind::Stop);
    driver.end(background.job, EndKind::Preempted, true);
    driver.decide();
    EXPECT_TRUE(driver.running.contains(owner.job.value));
}

TEST(CellScheduler, preemptsLessUrgentGuaranteedWorkOfTheSameCustomer)
{
    SchedulerDriver driver;
    driver.addWorkers(2);
    driver.setCustomers({entitlement({0, 0, 0, 1, 0}), entitlement(nothing)});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    QueuedJob planning = driver.job(0, 8);
    planning.urgency = UrgencyClass::Background;
    driver.submit(planning);
    driver.submit(driver.job(1, 8));
    driver.decide();
    ASSERT_EQ(driver.running.size(), 2U);
    QueuedJob urgent = driver.job(0, 1);
    urgent.urgency = UrgencyClass::Urgent;
    driver.submit(urgent);
    const auto events = driver.decide();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().kind, DecisionKind::Throttle);
    EXPECT_EQ(events.front().job, planning.job);
    driver.now += seconds(1);
    driver.end(planning.job, EndKind::Preempted, true);
    driver.decide();
    EXPECT_TRUE(driver.running.contains(urgent.job.value));
}

TEST(CellScheduler, freesALargeCellByChargingItsSmallJobToASmallerCell)
{
    SchedulerDriver driver;
    driver.addWorkers(3);
    driver.setCustomers({entitlement({1, 0, 0, 1, 0}), entitlement({0, 0, 0, 1, 0})});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    const QueuedJob first = driver.job(0, 1);
    const QueuedJob second = driver.job(0, 1);
    driver.submit(first);
    driver.submit(second);
    driver.submit(driver.job(1, 8));
    driver.decide();
    ASSERT_EQ(driver.running.size(), 3U);
    // The second job is charged to the worker cell; the end of the first job frees the slot cell.
    driver.end(first.job);
    const QueuedJob large = driver.job(0, 8);
    driver.submit(large);
    driver.decide();
    ASSERT_TRUE(driver.running.contains(large.job.value));
    const SchedulerState &state = driver.scheduler.currentState();
    EXPECT_TRUE(state.jobs.row(*state.jobs.find(large.job)).isGuaranteed);
    EXPECT_TRUE(state.jobs.row(*state.jobs.find(second.job)).isGuaranteed);
}

} // namespace Hibiscus
