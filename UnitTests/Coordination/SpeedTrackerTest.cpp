#include "Cluster.h"

#include <Coordination/SpeedTracker.h>
#include <Coordination/StoreKeys.h>

#include <array>
#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

constexpr std::size_t workerCount = 24;

/// A leader's tracker with a store and a table of workers. Of each three workers, one takes 0.6 and
/// one 2.6 of the typical run time.
class SpeedTrackerTest : public testing::Test
{
protected:
    SpeedTrackerTest()
    {
        for (std::size_t i = 0; i < workerCount; i++) {
            WorkerFleet::Worker &worker = this->workers["worker-" + std::to_string(i)];
            worker.entry.machine = "machine-" + std::to_string(i);
            worker.entry.service = "blend";
            worker.entry.labels = {"small", "rack-0"};
            worker.listed = true;
        }
    }

    /// Begins a term without waiting for the answer of the store.
    void begin()
    {
        this->store.put(StoreKeys::leader, "entry-0");
        this->published.begin(this->store.find(StoreKeys::leader)->revision);
        this->tracker.begin();
    }

    void beginAndRead()
    {
        this->begin();
        this->clock.run(seconds(1));
    }

    std::string addJob(const Tasks::Step &step)
    {
        Tasks::Job job;
        job.id = "job-" + std::to_string(this->jobs.all().size());
        job.steps.push_back(step);
        return this->jobs.add(job, std::nullopt).job.id;
    }

    /// Reports one ended run of the step on each worker.
    void reportRuns(Tasks::Step step = {})
    {
        step.count = workerCount;
        const std::string job = this->addJob(step);
        std::int32_t index = 0;
        for (const auto &[id, worker] : this->workers) {
            const auto runTime = std::chrono::duration_cast<Duration>(
                seconds(3) * this->slowness[static_cast<std::size_t>(index) % 3]);
            const Tasks::RunRef run{job, {0, 0, index}, 1};
            this->tracker.recordProgress(run, worker.entry, this->clock.now() - runTime,
                                         Tasks::completePercent, this->clock.now());
            index++;
        }
    }

    void reportRunsAndUpdate()
    {
        this->reportRuns();
        this->tracker.update(this->clock.now());
    }

    /// Learns the speeds and waits until the next write of them is due.
    void learn()
    {
        for (int i = 0; i < 3; i++) {
            this->reportRunsAndUpdate();
            this->clock.run(this->settings.writeInterval);
        }
    }

    std::size_t knownWorkers() const
    {
        const auto &spreads = this->tracker.workerSpeeds().spreads();
        const auto spread = spreads.find("blend");
        return spread == spreads.end() ? 0 : spread->second.known;
    }

    std::array<double, 3> slowness = {0.6, 1.0, 2.6}; ///< By the worker's place in the table.
    SimClock clock;
    FakeStore store{clock};
    FakeStore::View view{store, "entry-0", std::make_shared<const bool>(true)};
    RecordingEventLogger logger;
    TrackedJobTable jobs;
    SpeedTracker::WorkerTable workers;
    PublishedKeys published{view, seconds(1), [](const std::string &, TimePoint) {}};
    SpeedTracker::Settings settings;
    SpeedTracker tracker{view, published, logger, jobs, workers, settings};
};

TEST_F(SpeedTrackerTest, NextTermBeginsWithTheStoredSpeeds)
{
    this->beginAndRead();
    this->learn();
    ASSERT_EQ(this->knownWorkers(), workerCount);
    this->begin();
    EXPECT_EQ(this->knownWorkers(), 0U);
    this->clock.run(seconds(1));
    EXPECT_EQ(this->knownWorkers(), workerCount);
}

TEST_F(SpeedTrackerTest, SpeedsThatArriveAfterTheTermAreIgnored)
{
    this->beginAndRead();
    this->learn();
    this->begin();
    this->tracker.stop();
    this->clock.run(seconds(1));
    EXPECT_EQ(this->knownWorkers(), 0U);
}

TEST_F(SpeedTrackerTest, UnreadableStoredSpeedsAreReportedAndReplaced)
{
    this->store.put(StoreKeys::speeds, "?");
    this->beginAndRead();
    EXPECT_EQ(this->logger.count("speeds of workers can't be read"), 1U);
    this->learn();
    Tasks::WorkerSpeeds stored({});
    EXPECT_TRUE(stored.restore(this->store.find(StoreKeys::speeds)->value));
}

TEST_F(SpeedTrackerTest, ChangeOfTheSpreadIsReportedOnce)
{
    this->beginAndRead();
    this->learn();
    EXPECT_EQ(this->logger.count("workers differ in speed"), 1U);
    EXPECT_EQ(this->logger.count("workers are about equally fast"), 0U);
}

TEST_F(SpeedTrackerTest, UpdateWaitsForAnIntervalThatGrowsWithTheNumberOfWorkers)
{
    this->beginAndRead();
    this->reportRunsAndUpdate();
    ASSERT_FALSE(this->tracker.workerSpeeds().hasNews());
    const TimePoint updatedAt = this->clock.now();
    const Duration interval = this->settings.updateIntervalPerWorker * workerCount;
    const Tasks::RunRef run{this->addJob({.count = 2}), {0, 0, 0}, 1};
    this->tracker.recordProgress(run, this->workers.begin()->second.entry, updatedAt - seconds(3),
                                 Tasks::completePercent, updatedAt);
    this->tracker.update(updatedAt + interval - Duration(1));
    EXPECT_TRUE(this->tracker.workerSpeeds().hasNews());
    this->tracker.update(updatedAt + interval);
    EXPECT_FALSE(this->tracker.workerSpeeds().hasNews());
}

TEST_F(SpeedTrackerTest, SpeedsAreWrittenOnceInAnInterval)
{
    this->beginAndRead();
    this->learn();
    const Duration updateInterval = this->settings.updateIntervalPerWorker * workerCount;
    const std::uint64_t before = this->store.commits;
    this->reportRunsAndUpdate();
    this->clock.run(this->settings.writeInterval - 2 * updateInterval);
    EXPECT_EQ(this->store.commits, before + 1);
    this->slowness = {0.5, 1.0, 2.9};
    this->reportRunsAndUpdate();
    EXPECT_FALSE(this->tracker.workerSpeeds().hasNews());
    this->clock.run(updateInterval);
    EXPECT_EQ(this->store.commits, before + 1);
    this->clock.run(updateInterval);
    this->reportRunsAndUpdate();
    this->clock.run(seconds(1));
    EXPECT_EQ(this->store.commits, before + 2);
}

TEST_F(SpeedTrackerTest, RunsFarFromTheirDataSayNothingOfSpeed)
{
    this->beginAndRead();
    this->reportRuns({.dataRack = "rack-1"});
    EXPECT_EQ(this->tracker.workerSpeeds().runsRemembered(), 0U);
    this->reportRuns({.dataRack = "rack-0"});
    EXPECT_EQ(this->tracker.workerSpeeds().runsRemembered(), workerCount);
}

TEST_F(SpeedTrackerTest, RunOfASingleTaskSaysNothingOfSpeed)
{
    this->beginAndRead();
    const Tasks::RunRef run{this->addJob({.count = 1}), {0, 0, 0}, 1};
    this->tracker.recordProgress(run, this->workers.begin()->second.entry,
                                 this->clock.now() - seconds(3), Tasks::completePercent,
                                 this->clock.now());
    EXPECT_EQ(this->tracker.workerSpeeds().runsRemembered(), 0U);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
