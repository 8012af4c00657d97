#include <Tasks/WorkerRisks.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

class WorkerRisksTest : public testing::Test
{
protected:
    static RunRef runOf(const std::string &job, std::int32_t index = 0)
    {
        return {job, {0, 0, index}, 1};
    }

    double risk(const std::string &worker) const { return this->risks.riskOf(worker, this->now); }

    WorkerRisks::Settings settings;
    WorkerRisks risks{this->settings};
    TimePoint now = TimePoint() + seconds(100);
};

TEST_F(WorkerRisksTest, IsZeroWithoutFailuresAndRestarts)
{
    this->risks.observeProcess("a", 1000, this->now);
    this->risks.observeProcess("a", 1000, this->now);
    this->risks.recordSuccess("a", this->now);
    EXPECT_EQ(this->risk("a"), 0.0);
    EXPECT_EQ(this->risk("b"), 0.0);
}

TEST_F(WorkerRisksTest, GrowsWithFailuresOfDifferentJobsAndFallsWithSuccesses)
{
    this->risks.recordFailure("a", runOf("j1"), this->now);
    const double afterOne = this->risk("a");
    this->risks.recordFailure("a", runOf("j2"), this->now);
    const double afterTwo = this->risk("a");
    EXPECT_GT(afterOne, 0.0);
    EXPECT_GT(afterTwo, afterOne);
    for (int i = 0; i < 4; i++)
        this->risks.recordSuccess("a", this->now);
    EXPECT_LT(this->risk("a"), afterOne);
}

TEST_F(WorkerRisksTest, DecaysAndIsForgotten)
{
    this->risks.recordFailure("a", runOf("j1"), this->now);
    const double before = this->risk("a");
    this->now += this->settings.halfLife;
    EXPECT_LT(this->risk("a"), 0.7 * before);
    this->now += 10 * this->settings.halfLife;
    this->risks.forgetOld(this->now);
    EXPECT_EQ(this->risk("a"), 0.0);
}

TEST_F(WorkerRisksTest, TaskThatFailsEverywhereDoesNotCondemnItsWorkers)
{
    this->risks.recordFailure("a", runOf("bad"), this->now);
    const double before = this->risk("a");
    for (const char *worker : {"b", "c", "d"})
        this->risks.recordFailure(worker, runOf("bad"), this->now);
    EXPECT_LT(this->risk("a"), 0.4 * before);
    EXPECT_EQ(this->risk("a"), this->risk("d"));
}

TEST_F(WorkerRisksTest, WorkerThatFailsJobsThatFailedElsewhereTooIsStillSuspect)
{
    for (const char *job : {"j1", "j2", "j3", "j4"})
        this->risks.recordFailure("a", runOf(job), this->now);
    const double before = this->risk("a");
    this->risks.recordFailure("b", runOf("j1"), this->now);
    EXPECT_GT(this->risk("a"), 0.8 * before);
    EXPECT_LT(this->risk("b"), 0.5 * this->risk("a"));
}

TEST_F(WorkerRisksTest, RestartsInQuickSuccessionAddUp)
{
    this->risks.observeProcess("a", 1000, this->now);
    this->risks.observeProcess("a", 2000, this->now);
    const double afterOne = this->risk("a");
    EXPECT_GT(afterOne, 0.0);
    this->now += seconds(1);
    this->risks.observeProcess("a", 3000, this->now);
    EXPECT_GT(this->risk("a"), 1.4 * afterOne);
    this->now += seconds(30);
    EXPECT_LT(this->risk("a"), 0.01);
}

} // namespace

} // namespace Hibiscus::Tasks
