#include <Tasks/RiskPlacement.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

class RiskPlacementTest : public testing::Test
{
protected:
    RiskPlacementTest()
    {
        this->step.need = {4000, 1000, 1};
        this->request.step = &this->step;
        this->request.runTime = seconds(10);
        this->worker.failureRisk = 0.4;
    }

    double loss() const { return this->placement.expectedLoss(this->request, this->worker); }
    bool isTooRisky() const { return this->placement.isTooRisky(this->request, this->worker); }
    void makeGang(std::int32_t members)
    {
        this->step.gang = true;
        this->step.count = members;
    }

    StartPlanner::Settings settings;
    RiskPlacement placement{this->settings};
    Step step;
    StartRequest request;
    WorkerView worker;
};

TEST_F(RiskPlacementTest, SoundWorkersCostNothing)
{
    this->worker.failureRisk = 0.0;
    this->makeGang(30);
    EXPECT_EQ(this->loss(), 0.0);
    EXPECT_FALSE(this->isTooRisky());
}

TEST_F(RiskPlacementTest, GangRisksTheWorkOfAllItsMembers)
{
    const double single = this->loss();
    EXPECT_DOUBLE_EQ(single, 0.4 * 0.5 * 10.0 * 12.0);
    this->makeGang(13);
    EXPECT_DOUBLE_EQ(this->loss(), 13.0 * single);
}

TEST_F(RiskPlacementTest, CheckpointsLimitTheLoss)
{
    const double before = this->loss();
    this->step.checkpoints = true;
    EXPECT_DOUBLE_EQ(this->loss(), before * toSeconds(this->settings.checkpointInterval) / 10.0);
}

TEST_F(RiskPlacementTest, OnlyGangsAreKeptFromARiskyWorker)
{
    EXPECT_FALSE(this->isTooRisky());
    this->makeGang(2);
    EXPECT_TRUE(this->isTooRisky());
    this->request.guaranteed = true;
    EXPECT_FALSE(this->isTooRisky());
}

TEST_F(RiskPlacementTest, GangWithFewAttemptsLeftWaitsForSounderWorkers)
{
    this->makeGang(7);
    const UnixMs now = 1'700'000'000'000;
    const auto waits = [this, now](double risk) {
        return this->placement.waitsForSounderWorkers(this->request, risk, seconds(5), now);
    };
    this->request.usefulUntil = now + 60'000;
    this->request.attemptsLeft = 1;
    EXPECT_FALSE(waits(0.5));
    this->request.failedAt = now - 300;
    EXPECT_TRUE(waits(0.2));
    EXPECT_FALSE(waits(0.1));
    this->request.attemptsLeft = 2;
    EXPECT_FALSE(waits(0.2));
    EXPECT_TRUE(waits(0.5));
    this->request.attemptsLeft = 3;
    EXPECT_FALSE(waits(0.5));
    this->request.attemptsLeft = 1;
    this->request.failedAt = now - 6000;
    EXPECT_FALSE(waits(0.5));
    this->request.failedAt = now - 300;
    this->request.usefulUntil = now + 9000;
    EXPECT_FALSE(waits(0.5));
}

TEST_F(RiskPlacementTest, PerpetualTasksLoseNothing)
{
    this->step.perpetual = true;
    this->makeGang(5);
    EXPECT_EQ(this->loss(), 0.0);
    EXPECT_FALSE(this->isTooRisky());
}

} // namespace

} // namespace Hibiscus::Tasks
