#include "PlannerFixture.h"

#include <Tasks/ShortageOrder.h>

namespace Hibiscus::Tasks {

namespace {

constexpr Resources wholeWorker{64000, 131072, 8};

/// Requests of several customers compete for the workers of one service, all in one rack.
class ShortageOrderTest : public Test::PlannerFixture
{
protected:
    void addWorkers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; i++)
            this->addWorker("rack-0", wholeWorker);
    }

    OccupantView &occupy(std::size_t worker, std::int64_t accelerators, UnixMs endsIn)
    {
        const Resources need{1000 * accelerators, 1000, accelerators};
        OccupantView &occupant = this->addOccupant(worker, need, 2, endsIn, 100.0);
        occupant.customer = "other";
        return occupant;
    }

    StartRequest &request(std::string_view customer, std::int32_t priority, std::int32_t tasks,
                          std::int64_t accelerators)
    {
        StartRequest &request = this->addRequest(priority, tasks, accelerators);
        request.customer = customer;
        return request;
    }

    StartRequest &gang(std::int32_t priority, std::int32_t tasks)
    {
        StartRequest &request = this->request("gangs", priority, tasks, 8);
        this->steps.back().gang = true;
        return request;
    }

    ShortageOrder shortage() const { return {this->requests, this->views, now}; }
};

// Load: one customer sends a burst of one class, a small one sends a job after it.
TEST_F(ShortageOrderTest, BurstOfOneCustomerLeavesTheOthersTheirShare)
{
    this->addWorkers(4);
    for (int i = 0; i < 10; i++)
        this->request("large", 2, 8, 1);
    this->request("small", 2, 8, 1).objectiveAt += 5000;
    EXPECT_TRUE(this->shortage().isShort("blend"));
    EXPECT_EQ(startsOf(this->plan(), 10), 8U);
}

// Load: the same, with the large customer's earlier work still running.
TEST_F(ShortageOrderTest, RoomInUseCountsTowardsTheCustomersShare)
{
    this->addWorkers(2);
    this->occupy(0, 8, 9000).customer = "large";
    this->request("large", 2, 8, 1);
    this->request("small", 2, 8, 1).objectiveAt += 5000;
    const ShortageOrder shortage = this->shortage();
    EXPECT_DOUBLE_EQ(shortage.shareInUse("blend", "large"), 0.5);
    ASSERT_EQ(shortage.shortages().size(), 1U);
    EXPECT_EQ(shortage.shortages().front().largestCustomer, "large");
    EXPECT_EQ(shortage.shortages().front().customers, 2U);
    EXPECT_EQ(shortage.order(), (std::vector<std::size_t>{1, 0}));
}

TEST_F(ShortageOrderTest, EnoughRoomLeavesTheOrderByRankAndObjective)
{
    this->addWorkers(20);
    this->occupy(0, 8, 9000).customer = "large";
    this->request("large", 2, 8, 1);
    this->request("large", 1, 8, 1);
    this->request("small", 2, 8, 1).objectiveAt += 5000;
    const ShortageOrder shortage = this->shortage();
    EXPECT_FALSE(shortage.isShort("blend"));
    EXPECT_EQ(shortage.order(), (std::vector<std::size_t>{1, 0, 2}));
}

TEST_F(ShortageOrderTest, GuaranteedAndMoreUrgentWorkComesFirstAlsoBeyondTheShare)
{
    this->addWorkers(2);
    this->occupy(0, 8, 9000).customer = "large";
    this->request("small", 1, 8, 1);
    this->request("large", 0, 8, 1);
    this->request("large", 0, 8, 1).guaranteed = true;
    EXPECT_EQ(this->shortage().order(), (std::vector<std::size_t>{2, 1, 0}));
}

// Load: jobs whose result comes too late for their callers wait beside ones that can be in time.
TEST_F(ShortageOrderTest, WorkThatCanNotBeOfUseAnyMoreComesLast)
{
    this->addWorkers(1);
    StartRequest &useless = this->request("a", 1, 8, 1);
    useless.objectiveAt = now - 20'000;
    useless.usefulUntil = now + 500;
    this->request("b", 2, 8, 1);
    EXPECT_EQ(this->shortage().order(), (std::vector<std::size_t>{1, 0}));
}

// Load: one gang over most of the service and many small ones.
TEST_F(ShortageOrderTest, WideGangGivesWayToSmallOnesForABoundedTime)
{
    this->addWorkers(4);
    this->occupy(0, 1, 9000);
    this->gang(1, 4).objectiveAt -= 1000;
    this->gang(1, 1);
    this->gang(1, 1).objectiveAt += 60'000;
    EXPECT_EQ(this->shortage().order(), (std::vector<std::size_t>{1, 0, 2}));
}

// Load: free room lies in parts that are too small for the tasks.
TEST_F(ShortageOrderTest, RoomInTooSmallPartsIsShort)
{
    this->addWorkers(2);
    this->occupy(0, 1, 9000);
    this->occupy(1, 1, 9000);
    this->request("a", 1, 1, 8);
    EXPECT_TRUE(this->shortage().isShort("blend"));
}

// Load: a stream of small batch tasks, and a gang of more tasks than the fixed number of
// reservations.
TEST_F(ShortageOrderTest, WideGangKeepsTheRoomOfAllItsTasks)
{
    this->addWorkers(40);
    for (std::size_t worker = 0; worker < 24; worker++)
        this->occupy(worker, 8, 1000);
    this->gang(1, 36);
    this->request("batch", 2, 400, 1);
    // All but four workers are kept for the gang.
    EXPECT_LE(startsOf(this->plan(), 1), 32U);
}

// Load: nearly all workers are idle, and a wide gang waits for the last ones.
TEST_F(ShortageOrderTest, WideGangDoesNotKeepAMostlyIdleServiceFromOtherWork)
{
    this->addWorkers(40);
    for (std::size_t worker = 0; worker < 8; worker++)
        this->occupy(worker, 8, 1000);
    this->gang(1, 36);
    this->request("batch", 2, 200, 1);
    EXPECT_EQ(startsOf(this->plan(), 1), 200U);
}

// Load: a gang waits for the last of its workers while short tasks come.
TEST_F(ShortageOrderTest, ReservedRoomIsLentToRunsThatEndBeforeTheGangStarts)
{
    this->addWorkers(2);
    this->occupy(0, 8, 9000);
    this->gang(1, 2).objectiveAt += 20'000;
    this->request("batch", 2, 8, 1);
    EXPECT_EQ(startsOf(this->plan(), 1), 8U);
    this->requests.back().runTime = seconds(6);
    EXPECT_EQ(startsOf(this->plan(), 1), 0U);
}

TEST_F(ShortageOrderTest, RoomReservedForUrgentWorkIsNotLent)
{
    this->addWorkers(2);
    OccupantView &urgent = this->occupy(0, 8, 2000);
    urgent.priority = 0;
    this->gang(0, 2).guaranteed = true;
    this->request("batch", 2, 8, 1).runTime = seconds(1);
    EXPECT_EQ(startsOf(this->plan(), 1), 0U);
}

// Load: urgent jobs come together; one of them stops a gang.
TEST_F(ShortageOrderTest, RoomOfAllMembersOfAStoppedGangIsUsed)
{
    this->addWorkers(3);
    this->occupy(0, 8, 9000).group = 1;
    this->occupy(1, 8, 9000).group = 1;
    this->occupy(2, 8, 9000).preemptionCost = 50.0;
    this->request("a", 0, 1, 8).permitted = {0};
    this->request("b", 0, 1, 8).objectiveAt += 1000;
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.preemptions.size(), 1U);
    EXPECT_EQ(plan.preemptions.front(), (PreemptionChoice{0, 0}));
    EXPECT_EQ(plan.claims.size(), 2U);
}

} // namespace

} // namespace Hibiscus::Tasks
