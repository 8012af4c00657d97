#include "EventSimulation.h"

#include <random>

namespace Hibiscus {

namespace {

std::set<std::uint32_t> racksOf(const SchedulerDriver &driver, JobId job)
{
    std::set<std::uint32_t> racks;
    for (const Placement &part : driver.running.at(job.value).placements)
        racks.insert(driver.descriptions[part.worker.value].rack);
    return racks;
}

} // namespace

TEST(Gang, startsUnderEndlessSmallJobsWhichKeepTheRestOfTheFleet)
{
    SchedulerDriver driver;
    driver.addWorkers(12);
    driver.setCustomers({{}, {}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    EventSimulation run(driver);
    std::mt19937_64 random(11);
    const TimePoint begin = driver.now;
    // 96 slots. Small jobs of 60 s on average arrive 1.2 times as fast as the fleet can run them.
    for (int index = 0; index < 7000; ++index) {
        QueuedJob spec = driver.job(0, static_cast<std::uint16_t>(1 + random() % 2));
        spec.urgency = UrgencyClass::Background;
        const Duration runTime = seconds(30 + random() % 60);
        // Declared run times are wrong by up to a factor of four in both directions.
        spec.declaredRunTime = runTime * (1 + random() % 16) / 4;
        run.add(begin + milliseconds(780 * index), spec, runTime);
    }
    std::vector<JobId> gangs;
    for (int index = 0; index < 4; ++index) {
        QueuedJob gang = driver.job(1, 48);
        gang.urgency = UrgencyClass::Background;
        gang.adjacency = index % 2 == 0 ? Adjacency::Any : Adjacency::Rack;
        gangs.push_back(gang.job);
        run.add(begin + seconds(600 + 900 * index), gang, seconds(120));
    }
    run.runUntil(begin + seconds(5400));
    for (const JobId gang : gangs) {
        const auto &outcome = run.outcomes[gang.value];
        ASSERT_TRUE(outcome.started.has_value()) << "gang " << gang.value;
        // Allows for the longest small job that runs when the gang arrives, and for some backfilled
        // jobs.
        EXPECT_LE(*outcome.started - outcome.submitted, seconds(3 * 90));
    }
    double busy = 0;
    for (const auto &[job, outcome] : run.outcomes) {
        if (outcome.finished && outcome.spec.customer.value == 0)
            busy += std::chrono::duration<double>(*outcome.finished - *outcome.started).count()
                * outcome.spec.accelerators;
    }
    EXPECT_GE(busy / (96 * 5400), 0.8) << "small jobs use the slots that no gang waits for";
}

TEST(Gang, twoCustomersWithGangsLargerThanHalfTheFleetBothFinish)
{
    SchedulerDriver driver;
    driver.addWorkers(6);
    driver.setCustomers({{}, {}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    EventSimulation run(driver);
    std::vector<JobId> jobs;
    for (std::uint16_t customer = 0; customer < 2; ++customer) {
        for (int index = 0; index < 10; ++index) {
            const QueuedJob gang = driver.job(customer, 40);
            jobs.push_back(gang.job);
            run.add(driver.now, gang, seconds(60));
        }
    }
    run.runUntil(driver.now + seconds(60 * 20 + 10));
    for (const JobId job : jobs)
        EXPECT_TRUE(run.outcomes[job.value].finished.has_value());
}

TEST(Gang, isPlacedAccordingToItsAdjacency)
{
    SchedulerDriver driver;
    driver.addWorkers(12, 8, 8, 3);
    driver.setCustomers({{}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    // One worker in each of the first three racks is busy, so only neighbouring racks together have
    // four idle workers.
    for (int rack = 0; rack < 3; ++rack) {
        const QueuedJob spec = driver.job(0, 8);
        const Placement part{{static_cast<std::uint32_t>(rack * 3 + 1)}, 0xff};
        EXPECT_TRUE(driver.scheduler.adopt(spec, {&part, 1}, driver.now));
    }
    QueuedJob inRack = driver.job(0, 24);
    inRack.adjacency = Adjacency::Rack;
    QueuedJob neighbors = driver.job(0, 32);
    neighbors.adjacency = Adjacency::NeighboringRacks;
    QueuedJob impossible = driver.job(0, 32);
    impossible.adjacency = Adjacency::Rack;
    EXPECT_TRUE(driver.submit(inRack).isAccepted());
    driver.decide();
    EXPECT_EQ(racksOf(driver, inRack.job), std::set<std::uint32_t>{3});
    EXPECT_TRUE(driver.submit(neighbors).isAccepted());
    driver.decide();
    const auto racks = racksOf(driver, neighbors.job);
    EXPECT_EQ(*racks.rbegin() - *racks.begin() + 1, racks.size());
    EXPECT_EQ(driver.submit(impossible).refusal, RefusalReason::NeverFits);
}

TEST(Gang, reclaimsItsWholeGuaranteedRackFromBorrowers)
{
    SchedulerDriver driver;
    driver.addWorkers(6, 8, 8, 3);
    driver.setCustomers({{.guarantee = {0, 0, 0, 0, 1}}, {}});
    driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false, driver.now);
    EventSimulation run(driver);
    for (int index = 0; index < 60; ++index)
        run.add(driver.now, driver.job(1, 1), seconds(100000));
    QueuedJob gang = driver.job(0, 24);
    gang.adjacency = Adjacency::Rack;
    gang.urgency = UrgencyClass::Background;
    run.add(driver.now + seconds(10), gang, seconds(60));
    run.runUntil(driver.now + seconds(20));
    EXPECT_EQ(racksOf(driver, gang.job).size(), 1U);
    EXPECT_EQ(driver.running.size(), 25U) << "the borrowers on the other rack keep running";
}

} // namespace Hibiscus
