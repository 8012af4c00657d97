#include "PlannerFixture.h"

#include <Tasks/SpeedPlacement.h>

#include <array>
#include <set>

namespace Hibiscus::Tasks {

namespace {

constexpr Resources wholeWorker{32000, 65536, 8};

/// Workers in racks of six; of each three, one takes 0.6 and one 1.6 of the typical run time.
class SpeedPlacementTest : public Test::PlannerFixture
{
protected:
    void SetUp() override
    {
        for (std::size_t i = 0; i < 36; i++) {
            this->addWorker("rack-" + std::to_string(i / 6), wholeWorker);
            this->learn(i, std::array{0.6, 1.0, 1.6}[i % 3]);
        }
    }

    void learn(std::size_t worker, double slowness)
    {
        this->views[worker].slowness = slowness;
        this->views[worker].speedKnown = true;
        this->views[worker].slownessDeviation = 0.15;
    }

    void forget(std::size_t worker)
    {
        this->views[worker].slowness = 1.0;
        this->views[worker].speedKnown = false;
        this->views[worker].slownessDeviation = 0.4;
    }

    void occupy(std::size_t worker, std::int64_t accelerators)
    {
        this->addOccupant(worker, {1000, 1000, accelerators}, 1, 5000, 1.0);
    }

    /// Adds a request whose objective is `stretch` times its run time of two seconds.
    void request(std::int32_t priority, std::int32_t tasks, std::int64_t accelerators,
                 double stretch, bool gang = false, bool sameRack = false)
    {
        StartRequest &request = this->addRequest(priority, tasks, accelerators);
        this->steps.back().gang = gang;
        this->steps.back().sameRack = sameRack;
        request.readySince = now;
        request.objectiveAt = now + static_cast<UnixMs>(2000 * stretch);
        request.usefulUntil = now + static_cast<UnixMs>(6000 * stretch);
    }

    std::vector<double> slownessOfStarts(std::size_t request = 0) const
    {
        std::vector<double> slowness;
        for (const StartChoice &start : this->plan().starts) {
            if (start.request == request)
                slowness.push_back(this->views[start.worker].slowness);
        }
        return slowness;
    }
};

TEST_F(SpeedPlacementTest, TightGangGetsWorkersThatAreFastEnough)
{
    this->request(0, 20, 8, 1.65, true);
    const std::vector<double> slowness = this->slownessOfStarts();
    ASSERT_EQ(slowness.size(), 20U);
    EXPECT_EQ(*std::max_element(slowness.begin(), slowness.end()), 1.0);
}

TEST_F(SpeedPlacementTest, TightGangGetsTheRackWhoseWorkersAreFastEnough)
{
    for (std::size_t i = 0; i < 30; i++)
        this->learn(i, i % 6 == 0 ? 1.0 : 1.6);
    this->request(0, 4, 8, 1.65, true, true);
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.starts.size(), 4U);
    for (const StartChoice &start : plan.starts)
        EXPECT_GE(start.worker, 30U);
}

TEST_F(SpeedPlacementTest, TightWorkPrefersUnknownWorkersToSlowOnes)
{
    for (std::size_t i = 0; i < 36; i++)
        i < 18 ? this->learn(i, 1.6) : this->forget(i);
    this->learn(35, 0.6);
    this->request(0, 10, 8, 1.65);
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.starts.size(), 10U);
    for (const StartChoice &start : plan.starts)
        EXPECT_GE(start.worker, 18U);
    EXPECT_EQ(plan.starts.front().worker, 35U);
}

TEST_F(SpeedPlacementTest, TightWorkStartsOnSlowWorkersRatherThanWait)
{
    for (std::size_t i = 0; i < 36; i++) {
        if (this->views[i].slowness < 1.6)
            this->occupy(i, 8);
    }
    this->request(0, 4, 8, 1.65);
    EXPECT_EQ(this->slownessOfStarts().size(), 4U);
}

TEST_F(SpeedPlacementTest, WorkWithTimeLeavesTheFasterWorkersFree)
{
    this->request(1, 12, 8, 4.0);
    this->request(0, 20, 8, 1.65, true);
    const std::vector<double> patient = this->slownessOfStarts(0);
    ASSERT_EQ(patient.size(), 12U);
    EXPECT_EQ(*std::min_element(patient.begin(), patient.end()), 1.6);
    const std::vector<double> tight = this->slownessOfStarts(1);
    ASSERT_EQ(tight.size(), 20U);
    EXPECT_EQ(*std::max_element(tight.begin(), tight.end()), 1.0);
}

TEST_F(SpeedPlacementTest, WorkWithTimeIsStillPacked)
{
    this->request(2, 16, 1, 4.0);
    std::set<std::size_t> used;
    for (const StartChoice &start : this->plan().starts)
        used.insert(start.worker);
    EXPECT_EQ(used.size(), 2U);
}

TEST_F(SpeedPlacementTest, EmptySlowWorkersAreNotKeptForUrgentWork)
{
    // Only the slow workers are empty, and the others are full.
    for (std::size_t i = 0; i < 36; i++) {
        if (this->views[i].slowness < 1.6)
            this->occupy(i, 8);
    }
    this->request(1, 12, 8, 4.0);
    EXPECT_EQ(this->slownessOfStarts().size(), 12U);
}

TEST_F(SpeedPlacementTest, SomeWorkersThatAreNotSlowStayEmptyForUrgentWork)
{
    this->request(1, 36, 8, 4.0);
    const std::vector<double> slowness = this->slownessOfStarts();
    // Six in a hundred of 36 workers, cut off.
    EXPECT_EQ(slowness.size(), 34U);
    EXPECT_EQ(std::count(slowness.begin(), slowness.end(), 0.6), 10);
}

TEST_F(SpeedPlacementTest, SmallTasksWithTimeTryUnknownWorkers)
{
    for (std::size_t i = 0; i < 30; i++)
        this->forget(i);
    this->request(2, 10, 1, 4.0);
    std::set<std::size_t> used;
    for (const StartChoice &start : this->plan().starts) {
        EXPECT_LT(start.worker, 30U);
        used.insert(start.worker);
    }
    EXPECT_EQ(used.size(), 10U);
}

TEST_F(SpeedPlacementTest, HalfOfTheWorkersStayEmptyWhileOthersAreTried)
{
    for (std::size_t i = 0; i < 30; i++)
        this->forget(i);
    this->request(2, 30, 1, 4.0);
    std::set<std::size_t> used;
    for (const StartChoice &start : this->plan().starts)
        used.insert(start.worker);
    EXPECT_LE(used.size(), 18U);
    EXPECT_GE(used.size(), 15U);
}

TEST_F(SpeedPlacementTest, MissedObjectiveLeavesTheTimeUntilTheWorkIsUseless)
{
    this->request(0, 1, 8, 1.5);
    this->requests[0].objectiveAt = now + 500;
    const SpeedPlacement speeds(this->views);
    EXPECT_TRUE(speeds.hasTime(this->requests[0], now));
    this->requests[0].usefulUntil = now + 3000;
    EXPECT_FALSE(speeds.hasTime(this->requests[0], now));
}

TEST_F(SpeedPlacementTest, EqualSpeedsLeaveThePlanAsItIs)
{
    for (std::size_t i = 0; i < 36; i++)
        this->occupy(i, static_cast<std::int64_t>(i % 5));
    this->request(2, 30, 1, 4.0);
    this->request(1, 6, 4, 4.0, true, true);
    this->request(0, 10, 8, 1.65, true);
    this->request(0, 5, 2, 1.65);
    for (std::size_t i = 0; i < 36; i++)
        this->forget(i);
    const StartPlan unknown = this->plan();
    for (WorkerView &view : this->views)
        view.slownessDeviation = 0.0;
    const StartPlan equal = this->plan();
    EXPECT_EQ(unknown.starts, equal.starts);
}

} // namespace

} // namespace Hibiscus::Tasks
