#include "SchedulerDriver.h"

namespace Hibiscus {

namespace {

/// Ten workers with one slot each; worker 0 fails every job while `isBad` is set.
class FaultyFleet
{
public:
    FaultyFleet()
    {
        this->driver.addWorkers(10, 1, 1);
        this->driver.setCustomers({{}});
        this->driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false,
                                         this->driver.now);
    }

    /// Runs one job on each worker that takes one; returns the number of jobs on worker 0.
    std::uint32_t round()
    {
        for (int index = 0; index < 10; ++index)
            this->driver.submit(this->driver.job(0, 1));
        this->driver.decide();
        this->driver.now += seconds(1);
        std::uint32_t onFirst = 0;
        const auto running = this->driver.running;
        for (const auto &[job, state] : running) {
            const WorkerId worker = state.placements.front().worker;
            onFirst += worker.value == 0;
            const bool fails = worker.value == 0 && this->isFaulty;
            this->driver.end({job}, fails ? EndKind::WorkerFault : EndKind::Finished, fails,
                             worker);
        }
        return onFirst;
    }

    SchedulerDriver driver;
    bool isFaulty = true;
};

} // namespace

TEST(WorkerHealth, ejectsProbesAndReadmitsAWorkerThatFailsEverything)
{
    FaultyFleet fleet;
    std::uint32_t failures = 0;
    for (int round = 0; round < 30; ++round)
        failures += fleet.round();
    // Three faults eject the worker; backoffs of 10 and 20 s allow two probes in 30 s.
    EXPECT_GE(failures, 4U) << "the ejected worker is probed";
    EXPECT_LE(failures, 5U);
    EXPECT_EQ(fleet.driver.scheduler.gauges().ejectedWorkers, 1U);
    fleet.isFaulty = false;
    std::uint32_t successes = 0;
    for (int round = 0; round < 60; ++round)
        successes += fleet.round();
    EXPECT_GT(successes, 10U) << "the worker is back in full service";
    EXPECT_EQ(fleet.driver.scheduler.gauges().ejectedWorkers, 0U);
}

TEST(WorkerHealth, ejectsAtMostTheConfiguredShareOfTheFleet)
{
    SchedulerDriver driver;
    driver.addWorkers(10, 1, 1);
    driver.setCustomers({{}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    for (int round = 0; round < 50; ++round) {
        for (int index = 0; index < 10; ++index)
            driver.submit(driver.job(0, 1));
        driver.decide();
        EXPECT_GE(driver.running.size(), 8U);
        const auto running = driver.running;
        for (const auto &[job, state] : running)
            driver.end({job}, EndKind::WorkerFault, false, state.placements.front().worker);
        EXPECT_LE(driver.scheduler.gauges().ejectedWorkers, 2U);
    }
    EXPECT_EQ(driver.scheduler.gauges().ejectedWorkers, 2U);
}

TEST(WorkerHealth, aDrainingWorkerGetsNoNewWorkAndKeepsItsRunningJobs)
{
    SchedulerDriver driver;
    driver.addWorkers(2, 1, 1);
    driver.setCustomers({{.guarantee = {2, 0, 0, 0, 0}}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    driver.submit(driver.job(0, 1));
    driver.submit(driver.job(0, 1));
    driver.decide();
    ASSERT_EQ(driver.running.size(), 2U);
    driver.scheduler.workerLeaving({0}, driver.now);
    EXPECT_EQ(driver.scheduler.shortfalls().size(), 1U) << "the missing capacity is reported";
    driver.decide();
    EXPECT_EQ(driver.running.size(), 2U);
    const auto running = driver.running;
    for (const auto &[job, state] : running)
        driver.end({job});
    for (int index = 0; index < 4; ++index)
        driver.submit(driver.job(0, 1));
    driver.decide();
    ASSERT_EQ(driver.running.size(), 1U);
    EXPECT_EQ(driver.running.begin()->second.placements.front().worker.value, 1U);
}

} // namespace Hibiscus
