#include "PlannerFixture.h"

#include <random>

// Plans for workers that failed or restarted lately, and for gangs that give way.
namespace Hibiscus::Tasks {

namespace {

constexpr double risky = 0.25; ///< Below the bound for gangs.
constexpr double tooRisky = 0.5;

class RiskPlanTest : public Test::PlannerFixture
{
protected:
    /// Adds workers of 8 accelerators in racks of two.
    void addWorkers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; i++) {
            const std::size_t number = this->views.size();
            this->addWorker("rack-" + std::to_string(number / 2), {32000, 65536, 8});
        }
    }

    void occupy(std::size_t worker, std::size_t group, double loss)
    {
        this->addOccupant(worker, {8000, 1000, 8}, 2, 4000, loss).group = group;
    }

    StartRequest &request(std::int32_t priority, std::int32_t tasks, std::int64_t accelerators,
                          bool gang)
    {
        StartRequest &request = this->addRequest(priority, tasks, accelerators);
        this->steps.back().gang = gang;
        request.runTime = seconds(8);
        request.objectiveAt = now + 20'000;
        request.usefulUntil = now + 60'000;
        return request;
    }

    StartPlan plan() const { return this->planner.plan(this->requests, this->views, now); }

    StartPlanner planner{StartPlanner::Settings{}};
};

bool uses(const StartPlan &plan, std::size_t worker)
{
    return std::any_of(plan.starts.begin(), plan.starts.end(),
                       [worker](const StartChoice &start) { return start.worker == worker; });
}

// Load: a worker fails a part of what it starts. It is the fullest, so packing alone would choose
// it.
TEST_F(RiskPlanTest, WideGangPrefersSoundWorkersToTightPacking)
{
    this->addWorkers(3);
    this->views[0].free = {20000, 60000, 5};
    this->views[0].failureRisk = risky;
    this->request(1, 2, 4, true);
    EXPECT_FALSE(uses(this->plan(), 0));
    this->views[0].failureRisk = 0.0;
    EXPECT_TRUE(uses(this->plan(), 0));
}

// Load: failing workers are always free, so that gangs which wait for room would all go there.
TEST_F(RiskPlanTest, OnlySingleTasksProbeAWorkerThatIsTooRisky)
{
    this->addWorkers(2);
    this->views[0].failureRisk = this->views[1].failureRisk = tooRisky;
    StartRequest &gang = this->request(1, 2, 8, true);
    EXPECT_TRUE(this->plan().starts.empty());
    gang.guaranteed = true;
    EXPECT_EQ(this->plan().starts.size(), 2U);
    this->requests.clear();
    this->request(2, 2, 1, false);
    EXPECT_EQ(this->plan().starts.size(), 2U);
}

TEST_F(RiskPlanTest, GangDoesNotWaitForLongInAMostlyIdleService)
{
    this->addWorkers(2);
    this->views[0].failureRisk = this->views[1].failureRisk = tooRisky;
    StartRequest &gang = this->request(1, 2, 8, true);
    EXPECT_TRUE(this->plan().starts.empty());
    gang.readySince = now - 3000;
    EXPECT_EQ(this->plan().starts.size(), 2U);
}

TEST_F(RiskPlanTest, RoomThatAGangRejectsGoesToOtherWork)
{
    this->addWorkers(2);
    this->views[0].failureRisk = this->views[1].failureRisk = risky;
    StartRequest &gang = this->request(1, 2, 8, true);
    gang.attemptsLeft = 1;
    gang.failedAt = now - 300;
    this->request(2, 16, 1, false);
    const StartPlan plan = this->plan();
    EXPECT_EQ(plan.starts.size(), 16U);
    EXPECT_EQ(plan.starts.front().request, 1U);
    // A mostly idle service does not let work wait for long.
    this->requests[0].failedAt = now - 3000;
    EXPECT_EQ(this->plan().starts.front().request, 0U);
}

TEST_F(RiskPlanTest, GangOfOneRackGoesToTheRackOfSoundWorkers)
{
    this->addWorkers(6);
    this->views[1].failureRisk = risky;
    this->views[2].failureRisk = risky / 2;
    this->request(1, 2, 8, true);
    this->steps[0].sameRack = true;
    const StartPlan plan = this->plan();
    EXPECT_TRUE(uses(plan, 4) && uses(plan, 5));
    this->views[4].failureRisk = tooRisky;
    EXPECT_TRUE(uses(this->plan(), 2));
}

// Load: an urgent gang failed on risky workers, and others are full. It must not stop work for room
// that it would not use yet.
TEST_F(RiskPlanTest, GangThatWaitsForSounderWorkersStopsNothing)
{
    this->addWorkers(4);
    for (std::size_t worker = 0; worker < 4; worker++) {
        this->occupy(worker, 0, 10.0);
        this->views[worker].failureRisk = risky;
    }
    StartRequest &gang = this->request(0, 2, 8, true);
    EXPECT_EQ(this->plan().preemptions.size(), 2U);
    gang.attemptsLeft = 1;
    gang.failedAt = now - 300;
    EXPECT_TRUE(this->plan().preemptions.empty());
    // Room that was freed for it before the risk rose stays its own.
    gang.claims = {0, 1};
    this->views[0].occupants.clear();
    this->views[0].free = {32000, 65536, 8};
    this->views[1].occupants.clear();
    this->views[1].free = {32000, 65536, 8};
    this->request(2, 16, 1, false);
    EXPECT_TRUE(this->plan().starts.empty());
    EXPECT_EQ(this->plan().claims.size(), 2U);
}

// Load: urgent tasks need room on several workers while a wide gang and single tasks run there. All
// members of a gang stop together, so that their room comes free at the price of one gang.
TEST_F(RiskPlanTest, RoomOfAStoppedGangIsUsedBeforeMoreWorkIsStopped)
{
    this->addWorkers(6);
    for (std::size_t worker = 0; worker < 3; worker++)
        this->occupy(worker, 7, 300.0);
    for (std::size_t worker = 3; worker < 6; worker++)
        this->occupy(worker, 0, 310.0);
    this->request(0, 3, 8, false);
    const StartPlan plan = this->plan();
    EXPECT_EQ(plan.preemptions.size(), 1U);
    EXPECT_EQ(plan.claims.size(), 3U);
    for (const ClaimChoice &claim : plan.claims)
        EXPECT_LT(claim.worker, 3U);
}

// Two members on one worker cost as much as one.
TEST_F(RiskPlanTest, GangOnOneWorkerCountsOnceAsVictim)
{
    this->addWorkers(2);
    this->views[0].free = this->views[1].free = {32000, 65536, 16};
    this->occupy(0, 7, 300.0);
    this->occupy(0, 7, 300.0);
    this->occupy(1, 0, 250.0);
    this->occupy(1, 0, 250.0);
    this->request(0, 1, 16, false);
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.preemptions.size(), 1U);
    EXPECT_EQ(plan.preemptions.front().worker, 0U);
}

// Without risks the settings of this part change no plan.
TEST_F(RiskPlanTest, EqualWorkersGiveThePlanOfAPlannerWithoutThePart)
{
    StartPlanner::Settings without;
    without.maxGangRisk = 1.0;
    without.checkpointInterval = Duration{};
    std::mt19937 random(1); // NOLINT(cert-msc51-cpp): the same inputs in each run
    this->addWorkers(12);
    for (int round = 0; round < 200; round++) {
        this->requests.clear();
        for (int i = 0; i < 10; i++) {
            const bool gang = random() % 2 == 0;
            this->request(static_cast<int>(random() % 3), 1 + static_cast<int>(random() % 9),
                          1 + static_cast<int>(random() % 8), gang);
            this->steps.back().sameRack = gang && random() % 3 == 0;
        }
        const StartPlan plan = this->plan();
        EXPECT_EQ(plan.starts, StartPlanner(without).plan(this->requests, this->views, now).starts);
    }
}

} // namespace

} // namespace Hibiscus::Tasks
