#include <Tasks/WorkerRisks.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

class WorkerRisksTest : public testing::Test
{
protected:
    void start(const std::string &worker, int runs = 1)
    {
        for (int i = 0; i < runs; i++)
            this->risks.recordStart(worker, "blend", this->now);
    }

    void fail(const std::string &worker, const std::string &job, bool early = true)
    {
        this->start(worker);
        this->risks.recordFailure(worker, "blend", {job, {0, 0, 0}, 1}, early, this->now);
    }

    double risk(const std::string &worker) const
    {
        return this->risks.riskOf(worker, "blend", this->now);
    }

    WorkerRisks::Settings settings;
    WorkerRisks risks{this->settings};
    TimePoint now = TimePoint() + seconds(100);
};

TEST_F(WorkerRisksTest, IsZeroWithoutFailuresAndRestarts)
{
    this->risks.observeProcess("a", 1000, this->now);
    this->risks.observeProcess("a", 1000, this->now);
    this->start("a", 5);
    EXPECT_EQ(this->risk("a"), 0.0);
    EXPECT_EQ(this->risk("b"), 0.0);
}

TEST_F(WorkerRisksTest, IsTheShareOfStartsThatFailedLately)
{
    this->fail("a", "j1");
    const double afterOne = this->risk("a");
    this->fail("a", "j2");
    const double afterTwo = this->risk("a");
    EXPECT_GT(afterOne, 0.3);
    EXPECT_GT(afterTwo, afterOne);
    this->start("a", 4);
    EXPECT_LT(this->risk("a"), afterOne);
}

TEST_F(WorkerRisksTest, DecaysAndIsForgotten)
{
    this->fail("a", "j1");
    this->start("a", 9);
    const double before = this->risk("a");
    this->now += 2 * this->settings.halfLife;
    EXPECT_LT(this->risk("a"), 0.7 * before);
    this->now += 10 * this->settings.halfLife;
    this->risks.forgetOld(this->now);
    EXPECT_EQ(this->risk("a"), 0.0);
}

TEST_F(WorkerRisksTest, TaskThatFailsEverywhereDoesNotCondemnItsWorkers)
{
    this->fail("a", "bad");
    const double before = this->risk("a");
    for (const char *worker : {"b", "c", "d"})
        this->fail(worker, "bad");
    EXPECT_LT(this->risk("a"), 0.6 * before);
    EXPECT_DOUBLE_EQ(this->risk("a"), this->risk("d"));
}

// Load: a gang meets one failing worker after another while other work fails too.
TEST_F(WorkerRisksTest, StepThatFailsOnManyWorkersIsNotToBlameWhileOthersFailToo)
{
    for (const char *worker : {"a", "b", "c"})
        this->fail(worker, "j1");
    const double alone = this->risk("a");
    for (const char *job : {"j2", "j3", "j4", "j5"})
        this->fail("d", job);
    EXPECT_GT(this->risk("a"), 1.2 * alone);
}

TEST_F(WorkerRisksTest, LateFailureOfATaskSaysLittle)
{
    this->fail("a", "j1", false);
    this->fail("b", "j2", true);
    EXPECT_LT(this->risk("a"), 0.5 * this->risk("b"));
}

// While many workers fail, one of which nothing is known is riskier than one that runs its work.
TEST_F(WorkerRisksTest, UnknownWorkerIsRiskierThanAProvenOne)
{
    for (const char *job : {"j1", "j2", "j3"})
        this->fail(job, job);
    this->start("proven", 6);
    EXPECT_GT(this->risk("unknown"), 0.0);
    EXPECT_LT(this->risk("proven"), 0.4 * this->risk("unknown"));
    EXPECT_EQ(this->risks.riskOf("unknown", "other", this->now), 0.0);
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

TEST_F(WorkerRisksTest, RemembersTheLastFailureOfAStep)
{
    this->fail("a", "j1");
    const TimePoint first = this->now;
    this->now += seconds(1);
    EXPECT_EQ(this->risks.lastFailureOf({"j1", 0, 0}), first);
    this->fail("b", "j1");
    EXPECT_EQ(this->risks.lastFailureOf({"j1", 0, 0}), this->now);
    EXPECT_EQ(this->risks.lastFailureOf({"j1", 0, 1}), std::nullopt);
}

} // namespace

} // namespace Hibiscus::Tasks
