#include "SchedulerDriver.h"

namespace Hibiscus {

namespace {

Scheduler::CustomerShape shape(CellCounts guarantee, double share = 1.0)
{
    return {.guarantee = guarantee, .share = share};
}

constexpr CellCounts nothing{};

} // namespace

TEST(CellScheduler, startsSmallJobsInBrokenCellsAndKeepsLargeOnesWhole)
{
    SchedulerDriver driver;
    driver.addWorkers(6);
    driver.setCustomers({shape(nothing)});
    driver.scheduler.setPreset(SchedulerDriver::openPreset(), false, driver.now);
    for (int index = 0; index < 8; ++index)
        EXPECT_TRUE(driver.submit(driver.job(0, 1)).accepted());
    driver.decide();
    EXPECT_EQ(driver.running.size(), 8U);
    EXPECT_EQ(driver.used.size(), 1U) << "eight single slots fill one worker";
    EXPECT_TRUE(driver.submit(driver.job(0, 40)).accepted());
    driver.decide();
    EXPECT_EQ(driver.usedSlots(), 48U);
}

TEST(CellScheduler, reclaimsALentGuaranteeWithinOneLeaseTerm)
{
    SchedulerDriver driver;
    driver.addWorkers(6);
    driver.setCustomers({shape({0, 0, 0, 6, 0}), shape(nothing)});
    driver.scheduler.setPreset(SchedulerDriver::openPreset(), false, driver.now);
    QueuedJob background = driver.job(1, 48);
    background.urgency = UrgencyClass::Background;
    driver.submit(background);
    driver.decide();
    ASSERT_EQ(driver.running.size(), 1U);
    const QueuedJob owner = driver.job(0, 16);
    driver.submit(owner);
    const TimePoint asked = driver.now;
    driver.decide();
    driver.runUntil(asked + CellScheduler::Settings{}.reclaim.stopAfter);
    ASSERT_EQ(driver.history.back().kind, DecisionKind::Stop);
    driver.end(background.job, EndKind::Preempted, true);
    driver.decide();
    EXPECT_TRUE(driver.running.contains(owner.job.value));
}

} // namespace Hibiscus
