#include "EventSimulation.h"
#include "GuaranteeChecker.h"

namespace Hibiscus {

namespace {

Preset lendingPreset(bool isLending)
{
    Preset preset = SchedulerDriver::unlimitedPreset();
    preset.lending = isLending;
    return preset;
}

/// Half of the fleet is guaranteed to customer 0, which is idle; customer 1 asks for the whole
/// fleet.
class HalfGuaranteed
{
public:
    explicit HalfGuaranteed(bool isLending)
    {
        this->driver.addWorkers(6, 8, 8, 3);
        this->driver.setCustomers({{.guarantee = {0, 0, 0, 0, 1}}, {}});
        this->driver.scheduler.setPreset(lendingPreset(isLending), false, this->driver.now);
    }

    void addBorrowers(bool isPreemptible)
    {
        for (int index = 0; index < 60; ++index) {
            QueuedJob spec = this->driver.job(1, 1);
            spec.isPreemptible = isPreemptible;
            this->run.add(this->driver.now, spec, seconds(100000));
        }
        this->run.runUntil(this->driver.now + seconds(1));
    }

    SchedulerDriver driver;
    EventSimulation run{this->driver};
};

} // namespace

TEST(Lending, usesIdleGuaranteesAndEndsWhenThePresetEndsIt)
{
    HalfGuaranteed half(true);
    half.addBorrowers(true);
    EXPECT_EQ(half.driver.usedSlots(), 48U);
    half.driver.scheduler.setPreset(lendingPreset(false), false, half.driver.now);
    half.run.runUntil(half.driver.now + seconds(10));
    EXPECT_EQ(half.driver.usedSlots(), 24U);
    EXPECT_TRUE(isAllZero(half.driver.scheduler.currentState().bindings.idleDeficit()));
}

TEST(Lending, doesNotHappenWhenThePresetDisablesIt)
{
    HalfGuaranteed half(false);
    half.addBorrowers(true);
    EXPECT_EQ(half.driver.usedSlots(), 24U);
    EXPECT_TRUE(isAllZero(half.driver.scheduler.currentState().bindings.idleDeficit()));
}

TEST(Lending, isNotUsedByNonPreemptibleJobs)
{
    HalfGuaranteed half(true);
    half.addBorrowers(false);
    EXPECT_EQ(half.driver.usedSlots(), 24U);
    QueuedJob gang = half.driver.job(0, 24);
    gang.adjacency = Adjacency::Rack;
    half.driver.submit(gang);
    half.driver.decide();
    EXPECT_TRUE(half.driver.running.contains(gang.job.value))
        << "starts immediately without preemption";
}

TEST(Lending, startsNothingWhileTheDataCenterIsClosed)
{
    HalfGuaranteed half(true);
    half.driver.scheduler.setPreset(lendingPreset(true), true, half.driver.now);
    EXPECT_EQ(half.driver.submit(half.driver.job(0, 1)).refusal, RefusalReason::NotServing);
    QueuedJob promised = half.driver.job(0, 1);
    promised.wasAdmitted = true;
    EXPECT_TRUE(half.driver.submit(promised).isAccepted());
    half.driver.decide();
    EXPECT_TRUE(half.driver.running.empty());
    half.driver.scheduler.setPreset(lendingPreset(true), false, half.driver.now);
    half.driver.decide();
    EXPECT_TRUE(half.driver.running.contains(promised.job.value));
}

TEST(Adoption, chargesAllRunningJobsAsBefore)
{
    SchedulerDriver driver;
    driver.addWorkers(6, 8, 8, 3);
    const std::vector<Scheduler::CustomerEntitlement> entitlements{{.guarantee = {1, 1, 1, 1, 1}},
                                                                   {}};
    driver.setCustomers(entitlements);
    driver.scheduler.setPreset(lendingPreset(true), false, driver.now);
    for (const std::uint16_t size : {24, 8, 4, 2, 1})
        driver.submit(driver.job(0, size));
    for (int index = 0; index < 9; ++index)
        driver.submit(driver.job(1, 1));
    driver.decide();
    ASSERT_EQ(driver.usedSlots(), 48U);

    CellScheduler successor{CellScheduler::Settings{}};
    successor.setCustomers(entitlements, driver.now);
    successor.setPreset(lendingPreset(true), false, driver.now);
    for (std::uint32_t worker = 0; worker < 6; ++worker)
        successor.workerUp({worker}, driver.descriptions[worker], driver.now);
    // Adopts the jobs in reverse order, which differs from the order in which they started.
    for (auto running = driver.running.rbegin(); running != driver.running.rend(); ++running) {
        const SchedulerDriver::Running &job = running->second;
        EXPECT_TRUE(successor.adopt(job.spec, job.placements, driver.now));
        EXPECT_TRUE(successor.adopt(job.spec, job.placements, driver.now))
            << "adoption is idempotent";
    }
    EXPECT_EQ(successor.gauges().lentSlots, driver.scheduler.gauges().lentSlots);
    EXPECT_EQ(successor.gauges().freeSlots, 0U);
    QueuedJob other = driver.job(1, 1);
    const Placement taken{{0}, 1};
    EXPECT_FALSE(successor.adopt(other, {&taken, 1}, driver.now));
}

} // namespace Hibiscus
