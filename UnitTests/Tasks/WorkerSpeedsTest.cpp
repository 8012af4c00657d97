#include <Tasks/WorkerSpeeds.h>

#include <chrono>
#include <cmath>
#include <gtest/gtest.h>
#include <random>
#include <set>

namespace Hibiscus::Tasks {

namespace {

/// Plays runs on workers that take `factors` of the typical run time by turns.
class WorkerSpeedsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        for (std::size_t i = 0; i < 30; i++)
            this->names.push_back("m-" + std::to_string(i));
    }

    double factorOf(std::size_t worker) const
    {
        return this->factors[worker % this->factors.size()];
    }

    /// Lets one step run on the workers from `first` on, `perWorker` tasks each, and reports its
    /// progress after `reportAfter`, and its ends.
    void runStep(std::size_t first, std::size_t workers, bool gang, double seconds,
                 Duration reportAfter = milliseconds(1500), std::size_t perWorker = 1)
    {
        const StepRef step{"job-" + std::to_string(this->jobs++), 0, 0};
        const TimePoint start{Duration(std::chrono::hours(this->jobs))};
        for (std::size_t i = 0; i < workers * perWorker; i++) {
            const std::size_t worker = (first + i / perWorker) % this->names.size();
            double runTime = seconds * this->factorOf(worker) * this->disturbance(worker);
            if (!gang)
                runTime *= this->taskFactor();
            const auto length
                = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(runTime));
            RunSample sample{
                step, static_cast<std::int32_t>(i), 1, this->names[worker], gang, start, 0};
            sample.percent = std::min<std::int32_t>(
                100, static_cast<std::int32_t>(100.0 * toSeconds(reportAfter) / runTime));
            if (sample.percent < 100)
                this->speeds.recordProgress(sample, start + reportAfter);
            sample.percent = 100;
            if (!gang)
                this->speeds.recordProgress(sample, start + length);
        }
        this->speeds.update();
        this->speeds.updateSpread("blend", this->names);
    }

    /// Tasks of a step differ, and 3 in 100 take seven times as long.
    double taskFactor()
    {
        std::normal_distribution<double> spread(0.0, 0.15);
        std::uniform_real_distribution<double> share(0.0, 1.0);
        return std::exp(spread(this->random)) * (share(this->random) < 0.03 ? 7.0 : 1.0);
    }

    double disturbance(std::size_t worker) const
    {
        return this->disturbed.contains(worker) ? 4.0 : 1.0;
    }

    /// Mean of the errors of the logarithms of known speeds.
    double meanError() const
    {
        double sum = 0.0;
        std::size_t known = 0;
        for (std::size_t i = 0; i < this->names.size(); i++) {
            const WorkerSpeeds::Speed speed = this->speeds.speedOf("blend", this->names[i]);
            known += speed.known ? 1 : 0;
            sum += speed.known ? std::abs(std::log(speed.slowness / this->factorOf(i))) : 0.0;
        }
        return known == 0 ? 1.0 : sum / static_cast<double>(known);
    }

    double slownessOf(std::size_t worker) const
    {
        return this->speeds.speedOf("blend", this->names[worker]).slowness;
    }

    std::vector<std::string> names;
    std::mt19937 random{7};
    std::set<std::size_t> disturbed;
    std::vector<double> factors{0.6, 1.0, 1.6};
    int jobs = 0;
    WorkerSpeeds speeds{WorkerSpeeds::Settings{}};
};

TEST_F(WorkerSpeedsTest, GangsShowSpeedsByTheProgressOfTheirMembers)
{
    for (std::size_t i = 0; i < 15; i++)
        this->runStep(2 * i, 6, true, 4.0 + static_cast<double>(i % 5));
    EXPECT_EQ(this->speeds.spreads().at("blend").known, 30U);
    EXPECT_TRUE(this->speeds.spreads().at("blend").differs);
    EXPECT_LT(this->meanError(), 0.15);
}

TEST_F(WorkerSpeedsTest, FewUnevenTasksAWorkerAreEnough)
{
    for (int i = 0; i < 4; i++)
        this->runStep(0, 30, false, 6.0);
    EXPECT_TRUE(this->speeds.spreads().at("blend").differs);
    EXPECT_LT(this->meanError(), 0.15);
}

TEST_F(WorkerSpeedsTest, OneStepSaysLittleButTheRightDirection)
{
    this->runStep(0, 30, false, 6.0);
    for (std::size_t i = 0; i < this->names.size(); i++) {
        const double slowness = this->slownessOf(i);
        EXPECT_TRUE(this->factorOf(i) != 0.6 || slowness <= 1.0) << i;
        EXPECT_TRUE(this->factorOf(i) != 1.6 || slowness >= 1.0) << i;
        EXPECT_LT(slowness, 1.7);
    }
}

TEST_F(WorkerSpeedsTest, EqualWorkersDoNotDiffer)
{
    this->factors = {1.0};
    for (int i = 0; i < 20; i++) {
        this->runStep(static_cast<std::size_t>(i), 12, false, 2.0 + i);
        this->runStep(static_cast<std::size_t>(i), 5, true, 2.0 + i);
        EXPECT_FALSE(this->speeds.spreads().at("blend").differs) << i;
    }
    EXPECT_EQ(this->slownessOf(2), 1.0);
    EXPECT_TRUE(this->speeds.encode().empty());
}

TEST_F(WorkerSpeedsTest, NearEqualWorkersDoNotDiffer)
{
    this->factors = {0.8, 1.0, 1.25};
    for (int i = 0; i < 20; i++) {
        this->runStep(static_cast<std::size_t>(i), 12, false, 2.0 + i);
        this->runStep(static_cast<std::size_t>(i), 5, true, 2.0 + i);
        EXPECT_FALSE(this->speeds.spreads().at("blend").differs) << i;
    }
    EXPECT_EQ(this->slownessOf(2), 1.0);
}

TEST_F(WorkerSpeedsTest, SpreadAtTheBoundDoesNotSwitchToAndFro)
{
    this->factors = {0.72, 1.0, 1.44};
    int changes = 0;
    bool differed = false;
    for (int i = 0; i < 40; i++) {
        this->runStep(static_cast<std::size_t>(i), 12, false, 2.0 + i % 10);
        this->runStep(static_cast<std::size_t>(i), 8, true, 2.0 + i % 10);
        const bool differs = this->speeds.spreads().at("blend").differs;
        changes += differs != differed ? 1 : 0;
        differed = differs;
    }
    EXPECT_LE(changes, 2);
}

TEST_F(WorkerSpeedsTest, DisturbanceOfSomeRunsIsNoSlowness)
{
    for (int i = 0; i < 4; i++)
        this->runStep(0, 30, true, 6.0);
    this->disturbed = {1, 4, 7};
    this->runStep(0, 30, true, 6.0);
    this->runStep(0, 30, false, 6.0);
    EXPECT_LT(this->slownessOf(1), 1.25);
    EXPECT_LT(this->meanError(), 0.15);
}

TEST_F(WorkerSpeedsTest, TasksOnOneWorkerSayNothingOfIt)
{
    this->runStep(2, 1, false, 6.0, milliseconds(1500), 8);
    EXPECT_EQ(this->speeds.spreads().at("blend").known, 0U);
}

TEST_F(WorkerSpeedsTest, WaitForTheGangIsNoSlowness)
{
    const TimePoint start{Duration(std::chrono::hours(1))};
    for (std::int32_t i = 0; i < 6; i++) {
        // One member starts a second later than the others, and all begin to work then.
        const TimePoint startedAt = start + (i == 0 ? seconds(1) : seconds(0));
        this->speeds.recordProgress({{"job", 0, 0}, i, 1, this->names[0], true, startedAt, 0},
                                    startedAt);
        const std::size_t worker = 3 * static_cast<std::size_t>(i);
        this->speeds.recordProgress({{"job", 0, 0}, i, 2, this->names[worker], true, startedAt, 30},
                                    start + seconds(3));
    }
    this->speeds.update();
    this->speeds.updateSpread("blend", this->names);
    const WorkerSpeeds::Spread &spread = this->speeds.spreads().at("blend");
    EXPECT_EQ(spread.known, 6U);
    EXPECT_LT(spread.slowest / spread.fastest, 1.1);
}

TEST_F(WorkerSpeedsTest, ResumedRunsCountFromWhatTheyHadDone)
{
    const TimePoint start{Duration(std::chrono::hours(1))};
    for (std::int32_t i = 0; i < 12; i++) {
        const std::string &worker = this->names[static_cast<std::size_t>(i)];
        const std::int32_t before = i < 6 ? 60 : 0;
        RunSample sample{{"job", 0, 0}, i, 2, worker, false, std::nullopt, before};
        this->speeds.recordProgress(sample, start);
        sample.percent = before + 20;
        this->speeds.recordProgress(sample, start + seconds(2));
    }
    this->speeds.update();
    this->speeds.updateSpread("blend", this->names);
    const WorkerSpeeds::Spread &spread = this->speeds.spreads().at("blend");
    EXPECT_EQ(spread.known, 12U);
    EXPECT_LT(spread.slowest / spread.fastest, 1.15);
}

TEST_F(WorkerSpeedsTest, AnotherLeaderTakesThemOver)
{
    for (int i = 0; i < 4; i++)
        this->runStep(0, 30, true, 6.0);
    WorkerSpeeds next{WorkerSpeeds::Settings{}};
    ASSERT_TRUE(next.restore(this->speeds.encode()));
    next.updateSpread("blend", this->names);
    for (std::size_t i = 0; i < this->names.size(); i++) {
        const WorkerSpeeds::Speed speed = next.speedOf("blend", this->names[i]);
        EXPECT_TRUE(speed.known);
        EXPECT_NEAR(speed.slowness, this->slownessOf(i), 0.02);
    }
}

TEST_F(WorkerSpeedsTest, UnreadableRecordIsRefusedWhole)
{
    for (const char *text : {"", "[]", "{", R"({"m-1":[1,1],"m-2":"x"})", R"({"m-1":[1]})",
                             R"({"m-1":[1e400,1]})", R"({"m-1":[99999,1]})"})
        EXPECT_FALSE(this->speeds.restore(text)) << text;
    this->speeds.updateSpread("blend", this->names);
    EXPECT_EQ(this->speeds.spreads().at("blend").known, 0U);
}

TEST_F(WorkerSpeedsTest, RecordIsBounded)
{
    this->speeds = WorkerSpeeds({.maxStoredBytes = 300});
    for (int i = 0; i < 4; i++)
        this->runStep(0, 30, true, 6.0);
    const std::string text = this->speeds.encode();
    EXPECT_LE(text.size(), 300U);
    WorkerSpeeds next{WorkerSpeeds::Settings{}};
    ASSERT_TRUE(next.restore(text));
    next.updateSpread("blend", this->names);
    EXPECT_GE(next.spreads().at("blend").known, 8U);
}

TEST_F(WorkerSpeedsTest, NewProcessOfAnUnknownMachineStartsWithoutAHistory)
{
    WorkerEntry entry;
    entry.id = "i-1";
    entry.incarnation = 1;
    const std::string former = WorkerSpeeds::identityOf(entry);
    entry.incarnation = 2;
    EXPECT_NE(WorkerSpeeds::identityOf(entry), former);
    entry.machine = "m-1";
    const std::string machine = WorkerSpeeds::identityOf(entry);
    entry.incarnation = 3;
    entry.id = "i-2";
    EXPECT_EQ(WorkerSpeeds::identityOf(entry), machine);
}

TEST_F(WorkerSpeedsTest, OldRunsAreForgotten)
{
    this->speeds = WorkerSpeeds({.maxRuns = 100});
    for (int i = 0; i < 100; i++)
        this->runStep(0, 30, true, 6.0);
    EXPECT_LE(this->speeds.runsRemembered(), 130U);
    EXPECT_LT(this->meanError(), 0.1);
}

} // namespace

} // namespace Hibiscus::Tasks
