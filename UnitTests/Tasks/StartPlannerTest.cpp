#include "PlannerFixture.h"

#include <limits>
#include <set>

namespace Hibiscus::Tasks {

namespace {

constexpr Resources wholeWorker{32000, 65536, 8};

/// Plans requests for workers in racks of two.
class StartPlannerTest : public Test::PlannerFixture
{
protected:
    void addWorkers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; i++) {
            const std::size_t number = this->views.size();
            this->addWorker("rack-" + std::to_string(number / 2), wholeWorker);
        }
    }

    void occupy(std::size_t worker, Resources need, std::int32_t priority, UnixMs endsIn,
                double loss)
    {
        this->addOccupant(worker, need, priority, endsIn, loss);
    }

    StartRequest &request(std::int32_t priority, std::int32_t tasks, std::int64_t accelerators)
    {
        return this->addRequest(priority, tasks, accelerators);
    }

    Step &stepOf(std::size_t request) { return this->steps[request]; }
};

TEST_F(StartPlannerTest, UrgentWorkStartsBeforeBatchBacklog)
{
    this->addWorkers(2);
    for (int i = 0; i < 20; i++)
        this->request(2, 16, 1);
    this->request(0, 4, 4);
    const StartPlan plan = this->plan();
    EXPECT_EQ(startsOf(plan, 20), 4U);
}

TEST_F(StartPlannerTest, SmallTasksArePackedOntoOneWorker)
{
    this->addWorkers(4);
    this->request(1, 8, 1);
    const StartPlan plan = this->plan();
    std::set<std::size_t> used;
    for (const StartChoice &start : plan.starts)
        used.insert(start.worker);
    EXPECT_EQ(used.size(), 1U);
}

TEST_F(StartPlannerTest, StreamOfSmallTasksDoesNotStarveALargeTask)
{
    this->addWorkers(2);
    this->occupy(0, {1000, 1000, 4}, 2, 500, 10.0);
    this->occupy(1, {1000, 1000, 4}, 2, 9000, 10.0);
    this->request(1, 1, 8);
    this->request(2, 16, 1);
    const StartPlan plan = this->plan();
    EXPECT_EQ(startsOf(plan, 0), 0U);
    // The worker that becomes free first is reserved for the large task; the other worker takes the
    // small tasks.
    for (const StartChoice &start : plan.starts)
        EXPECT_EQ(start.worker, 1U);
    EXPECT_EQ(startsOf(plan, 1), 4U);
}

// Guards against idle workers that are kept for a gang which has lost one of its workers for good.
TEST_F(StartPlannerTest, GangThatTheWorkersCanNotHoldKeepsNoRoomFromOtherWork)
{
    this->addWorkers(6);
    StartRequest &gang = this->request(0, 7, 8);
    gang.guaranteed = true;
    this->stepOf(0).gang = true;
    this->request(1, 5, 1);
    this->request(2, 5, 1);
    const StartPlan plan = this->plan();
    EXPECT_EQ(startsOf(plan, 0), 0U);
    EXPECT_EQ(startsOf(plan, 1), 5U);
    EXPECT_EQ(startsOf(plan, 2), 5U);
}

// Guards against the same for a gang of more tasks than one plan reserves room for.
TEST_F(StartPlannerTest, WideGangThatTheWorkersCanNotHoldKeepsNoRoomFromOtherWork)
{
    this->addWorkers(30);
    StartRequest &gang = this->request(0, 31, 8);
    gang.guaranteed = true;
    this->stepOf(0).gang = true;
    this->request(1, 200, 1);
    EXPECT_EQ(startsOf(this->plan(), 1), 200U);
}

// Guards against the same for a gang that waits for room which a perpetual task keeps.
TEST_F(StartPlannerTest, GangBehindAPerpetualTaskKeepsNoRoomFromOtherWork)
{
    this->addWorkers(3);
    this->occupy(0, {1000, 1000, 1}, 0, 0, 0.0);
    this->views[0].occupants.back().expectedEnd = std::numeric_limits<UnixMs>::max();
    StartRequest &gang = this->request(0, 3, 8);
    gang.guaranteed = true;
    this->stepOf(0).gang = true;
    this->request(1, 8, 1);
    EXPECT_EQ(startsOf(this->plan(), 1), 8U);
}

// Guards against room that is kept for a task which its limit per worker keeps out.
TEST_F(StartPlannerTest, TaskAboveItsLimitOnAllWorkersKeepsNoRoomFromOtherWork)
{
    this->addWorkers(2);
    StartRequest &limited = this->request(0, 3, 8);
    limited.guaranteed = true;
    this->stepOf(0).maxPerWorker = 1;
    limited.indexes = {2};
    limited.assignedWorkers = {0, 1};
    this->request(1, 16, 1);
    EXPECT_EQ(startsOf(this->plan(), 1), 16U);
}

TEST_F(StartPlannerTest, RoomIsReservedForAGangThatWaitsForRunningTasks)
{
    this->addWorkers(3);
    this->occupy(0, {1000, 1000, 1}, 0, 2000, 0.0);
    StartRequest &gang = this->request(0, 3, 8);
    gang.guaranteed = true;
    this->stepOf(0).gang = true;
    this->request(1, 8, 1);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(StartPlannerTest, NoRoomIsReservedForAGuaranteedGangThatIsOfNoUseAnyMore)
{
    // The gang gets room on all workers once the running task ends, but it would end too late
    // for its caller, and the empty workers would be idle until then.
    this->addWorkers(3);
    this->occupy(0, {1000, 1000, 1}, 0, 2000, 0.0);
    StartRequest &gang = this->request(0, 3, 8);
    gang.guaranteed = true;
    gang.readySince = now - 30'000;
    gang.objectiveAt = now - 20'000;
    gang.usefulUntil = now - 1;
    this->stepOf(0).gang = true;
    this->request(1, 8, 1);
    const StartPlan plan = this->plan();
    EXPECT_EQ(startsOf(plan, 1), 8U);
    EXPECT_TRUE(plan.preemptions.empty());
}

TEST_F(StartPlannerTest, MostlyIdleServiceIsNotKeptForAGangForLong)
{
    // Two of eight workers are busy for nine seconds, and the gang needs seven. A task whose turn
    // has come may not wait that long beside idle workers.
    this->addWorkers(8);
    this->occupy(0, wholeWorker, 2, 9000, 10.0);
    this->occupy(1, wholeWorker, 2, 9000, 10.0);
    this->request(1, 7, 8);
    this->stepOf(0).gang = true;
    this->request(2, 8, 1);
    EXPECT_EQ(startsOf(this->plan(), 1), 8U);
    // Room that the gang gets soon is kept.
    this->views[0].occupants[0].expectedEnd = now + 2000;
    EXPECT_EQ(startsOf(this->plan(), 1), 0U);
}

TEST_F(StartPlannerTest, GangUnderAGuaranteeKeepsNoRoomForLong)
{
    // Urgent work, which can't be preempted, holds two workers that the gang also needs.
    this->addWorkers(4);
    for (std::size_t i = 0; i < 2; i++)
        this->occupy(i, wholeWorker, 0, 9000, 10.0);
    StartRequest &gang = this->request(0, 4, 8);
    gang.guaranteed = true;
    gang.objectiveAt = now + 5000;
    this->stepOf(0).gang = true;
    this->request(0, 1, 8).guaranteed = true;
    EXPECT_EQ(startsOf(this->plan(), 1), 1U);
}

TEST_F(StartPlannerTest, GangThatFillsAServiceIsNotStarvedBySmallTasks)
{
    this->addWorkers(4);
    for (std::size_t i = 0; i < 2; i++)
        this->occupy(i, wholeWorker, 2, 9000, 10.0);
    this->request(1, 4, 8);
    this->stepOf(0).gang = true;
    // They would end after the gang gets all of its room.
    this->request(2, 8, 1).runTime = seconds(20);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(StartPlannerTest, FreshGuaranteedTaskStartsBeforeOnesThatAreOfNoUseAnyMore)
{
    // Most workers are lost and urgent work fills the others, so nothing may be preempted. The
    // worker that becomes free first went to the work that had waited for the longest time.
    this->addWorkers(1);
    StartRequest &old = this->request(0, 1, 8);
    old.guaranteed = true;
    old.readySince = now - 40'000;
    old.objectiveAt = now - 35'000;
    old.usefulUntil = now - 25'000;
    this->request(0, 1, 8).guaranteed = true;
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().request, 1U);
}

TEST_F(StartPlannerTest, GuaranteeOfAShortTaskOutlastsItsUse)
{
    // The platform's bound for the start of guaranteed work does not depend on its length.
    this->addWorkers(1);
    this->request(0, 1, 8);
    StartRequest &brief = this->request(0, 1, 8);
    brief.guaranteed = true;
    brief.readySince = now - 2500;
    brief.objectiveAt = now - 2000;
    brief.usefulUntil = now - 1000;
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().request, 1U);
}

TEST_F(StartPlannerTest, UrgentWorkPreemptsTheCheapestWork)
{
    this->addWorkers(2);
    this->occupy(0, {8000, 1000, 8}, 1, 4000, 900.0);
    this->occupy(1, {8000, 1000, 8}, 2, 4000, 300.0);
    this->request(0, 1, 8);
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.preemptions.size(), 1U);
    EXPECT_EQ(plan.preemptions.front(), (PreemptionChoice{1, 0}));
}

TEST_F(StartPlannerTest, NothingIsPreemptedWhenEnoughRoomIsBeingFreed)
{
    this->addWorkers(2);
    this->occupy(0, {8000, 1000, 8}, 2, 4000, 300.0);
    this->views[0].occupants[0].stopping = true;
    this->occupy(1, {8000, 1000, 8}, 2, 4000, 300.0);
    this->request(0, 1, 8);
    EXPECT_TRUE(this->plan().preemptions.empty());
}

TEST_F(StartPlannerTest, RoomBeingFreedForUrgentWorkIsNotGivenToOtherWork)
{
    this->addWorkers(1);
    this->occupy(0, {8000, 1000, 4}, 2, 4000, 300.0);
    this->views[0].occupants[0].stopping = true;
    this->request(0, 1, 8);
    this->request(2, 4, 1);
    const StartPlan plan = this->plan();
    EXPECT_TRUE(plan.starts.empty());
}

TEST_F(StartPlannerTest, GangThatNeedsOneRackPreemptsWithinOneRack)
{
    // The cheapest victims are in different racks; rack 1 is the only one whose workers can all be
    // freed.
    this->addWorkers(4);
    this->occupy(0, {8000, 1000, 8}, 2, 4000, 10.0);
    this->occupy(1, {8000, 1000, 8}, 0, 4000, 10.0);
    this->occupy(2, {8000, 1000, 8}, 2, 4000, 500.0);
    this->occupy(3, {8000, 1000, 8}, 2, 4000, 500.0);
    this->request(0, 2, 8);
    this->stepOf(0).gang = true;
    this->stepOf(0).sameRack = true;
    const StartPlan plan = this->plan();
    const std::vector<PreemptionChoice> wanted{{2, 0}, {3, 0}};
    EXPECT_EQ(plan.preemptions, wanted);
}

TEST_F(StartPlannerTest, GangWithoutRoomForAllTasksNeitherStartsNorPreempts)
{
    this->addWorkers(2);
    this->occupy(0, {8000, 1000, 8}, 0, 4000, 10.0);
    this->request(0, 2, 8);
    this->stepOf(0).gang = true;
    const StartPlan plan = this->plan();
    EXPECT_TRUE(plan.starts.empty());
    EXPECT_TRUE(plan.preemptions.empty());
}

TEST_F(StartPlannerTest, TaskLimitPerWorkerCountsTasksAssignedBefore)
{
    this->addWorkers(3);
    StartRequest &request = this->request(0, 3, 1);
    this->stepOf(0).maxPerWorker = 1;
    request.indexes = {1, 2};
    request.assignedWorkers = {0};
    const StartPlan plan = this->plan();
    std::set<std::size_t> used;
    for (const StartChoice &start : plan.starts)
        used.insert(start.worker);
    EXPECT_EQ(used, (std::set<std::size_t>{1, 2}));
}

TEST_F(StartPlannerTest, TaskLimitPerWorkerHoldsForPreemptedRoom)
{
    this->addWorkers(2);
    for (std::size_t worker : {0U, 1U}) {
        this->occupy(worker, {4000, 1000, 4}, 2, 4000, worker == 0 ? 1.0 : 50.0);
        this->occupy(worker, {4000, 1000, 4}, 2, 4000, worker == 0 ? 1.0 : 50.0);
    }
    this->request(0, 2, 4);
    this->stepOf(0).maxPerWorker = 1;
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.preemptions.size(), 2U);
    EXPECT_NE(plan.preemptions[0].worker, plan.preemptions[1].worker);
}

TEST_F(StartPlannerTest, TaskWaitsForTheRackOfItsDataForALimitedTime)
{
    this->addWorkers(4);
    this->occupy(2, {8000, 1000, 8}, 0, 400, 10.0);
    this->occupy(3, {8000, 1000, 8}, 0, 400, 10.0);
    StartRequest &request = this->request(1, 1, 8);
    this->stepOf(0).dataRack = "rack-1";
    EXPECT_TRUE(this->plan().starts.empty());
    request.readySince = now - 60'000;
    EXPECT_EQ(this->plan().starts.size(), 1U);
}

TEST_F(StartPlannerTest, UrgentGangPreemptsInAnotherRackWhenItsDataRackIsFullOfUrgentWork)
{
    // Preemption in another rack is of no use while the gang still requires the rack of its data.
    this->addWorkers(4);
    this->occupy(0, {8000, 1000, 8}, 0, 9000, 10.0);
    this->occupy(1, {8000, 1000, 8}, 0, 9000, 10.0);
    this->occupy(2, {8000, 1000, 8}, 2, 9000, 10.0);
    this->occupy(3, {8000, 1000, 8}, 2, 9000, 10.0);
    StartRequest &request = this->request(0, 2, 8);
    this->stepOf(0).gang = true;
    this->stepOf(0).sameRack = true;
    this->stepOf(0).dataRack = "rack-0";
    request.runTime = seconds(12);
    request.objectiveAt = now + 20'000;
    EXPECT_TRUE(this->plan().preemptions.empty());
    request.readySince = now - 1300;
    EXPECT_EQ(this->plan().preemptions.size(), 2U);
}

TEST_F(StartPlannerTest, GangWaitsForRoomInOneRackForALimitedTime)
{
    // One worker of each rack is taken for long. The others have room for the gang twice over, but
    // no rack has room for both members.
    this->addWorkers(8);
    for (std::size_t worker = 0; worker < 8; worker += 2)
        this->occupy(worker, {6000, 1000, 6}, 0, 600'000, 10.0);
    StartRequest &request = this->request(1, 2, 8);
    this->stepOf(0).gang = true;
    this->stepOf(0).sameRack = true;
    EXPECT_TRUE(this->plan().starts.empty());
    request.readySince = now - 60'000;
    request.objectiveAt = now - 50'000;
    request.usefulUntil = now - 30'000;
    EXPECT_EQ(this->plan().starts.size(), 2U);
}

TEST_F(StartPlannerTest, ClaimedRoomIsNotTakenByLaterRequests)
{
    this->addWorkers(4);
    for (std::size_t worker = 0; worker < 4; worker++)
        this->occupy(worker, {8000, 1000, 8}, 2, 9000, 10.0);
    this->request(0, 4, 8);
    this->stepOf(0).gang = true;
    const StartPlan first = this->plan();
    ASSERT_EQ(first.claims.size(), 4U);
    // Two of the four workers are free already when urgent work with an earlier objective arrives.
    for (const ClaimChoice &claim : first.claims)
        this->requests[0].claims.push_back(claim.worker);
    for (std::size_t worker = 0; worker < 4; worker++)
        this->views[worker].occupants[0].stopping = true;
    for (std::size_t worker = 0; worker < 2; worker++) {
        this->views[worker].free = wholeWorker;
        this->views[worker].occupants.clear();
    }
    StartRequest &laterRequest = this->request(0, 2, 8);
    laterRequest.objectiveAt = now + 3000;
    const StartPlan second = this->plan();
    EXPECT_TRUE(second.starts.empty());
    EXPECT_EQ(second.claims.size(), 4U);
    EXPECT_TRUE(second.preemptions.empty());
}

TEST_F(StartPlannerTest, RoomOfAPreemptedTaskIsNotUsedBeforeItIsFree)
{
    this->addWorkers(1);
    this->occupy(0, {8000, 1000, 8}, 2, 9000, 10.0);
    this->request(0, 1, 2);
    this->request(2, 4, 1);
    const StartPlan plan = this->plan();
    EXPECT_EQ(plan.preemptions.size(), 1U);
    EXPECT_TRUE(plan.starts.empty());
}

TEST_F(StartPlannerTest, GuaranteedWorkStartsBeforeOtherUrgentWork)
{
    this->addWorkers(1);
    this->request(0, 1, 8).objectiveAt = now + 3000;
    this->request(0, 1, 8).guaranteed = true;
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().request, 1U);
}

TEST_F(StartPlannerTest, LateUrgentWorkPreemptsOnlyTheLeastUrgentWork)
{
    this->addWorkers(2);
    this->occupy(0, {8000, 1000, 8}, 1, 9000, 1.0);
    this->occupy(1, {8000, 1000, 8}, 2, 9000, 900.0);
    this->request(0, 2, 8).objectiveAt = now + 500;
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.preemptions.size(), 1U);
    EXPECT_EQ(plan.preemptions.front().worker, 1U);
}

TEST_F(StartPlannerTest, SomeWorkersStayEmptyForUrgentWork)
{
    this->addWorkers(50);
    this->request(2, 400, 1);
    const StartPlan before = this->plan();
    EXPECT_EQ(before.starts.size(), 47U * 8U);
    this->request(0, 3, 8);
    EXPECT_EQ(startsOf(this->plan(), 1), 3U);
}

// Guards against a task that waits without limit beside empty workers which are kept for urgent
// work.
TEST_F(StartPlannerTest, TaskThatNeedsAnEmptyWorkerGetsAKeptOneAfterALimitedTime)
{
    this->addWorkers(35);
    for (std::size_t worker = 0; worker < 33; worker++)
        this->occupy(worker, {1000, 1000, 1}, 1, 60'000, 0.0);
    this->request(1, 1, 8);
    EXPECT_TRUE(this->plan().starts.empty());
    // A younger request of the same need must not hide the older one.
    this->request(1, 1, 8).readySince = now - 2500;
    const StartPlan plan = this->plan();
    EXPECT_EQ(startsOf(plan, 0), 0U);
    EXPECT_EQ(startsOf(plan, 1), 1U);
}

TEST_F(StartPlannerTest, PerpetualTaskThatNeedsAnEmptyWorkerGetsAKeptOneInABusyService)
{
    this->addWorkers(35);
    for (std::size_t worker = 0; worker < 33; worker++)
        this->occupy(worker, {7000, 7000, 7}, 1, 60'000, 0.0);
    this->request(1, 1, 8).readySince = now - 2500;
    EXPECT_TRUE(this->plan().starts.empty());
    this->stepOf(0).perpetual = true;
    EXPECT_EQ(startsOf(this->plan(), 0), 1U);
}

TEST_F(StartPlannerTest, BatchWorkDoesNotStarveALateLargeTask)
{
    this->addWorkers(1);
    this->occupy(0, {1000, 1000, 2}, 2, 3000, 10.0);
    StartRequest &late = this->request(1, 1, 8);
    late.objectiveAt = now - 1000;
    this->request(2, 6, 1);
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(StartPlannerTest, TaskStartsOnlyOnWorkersWithItsRequiredLabel)
{
    this->addWorkers(2);
    this->request(0, 1, 1);
    this->stepOf(0).requiredLabel = "kind-b";
    EXPECT_TRUE(this->plan().starts.empty());
}

TEST_F(StartPlannerTest, WorkThatCanEndInTimeStartsBeforeLateWork)
{
    this->addWorkers(1);
    StartRequest &late = this->request(1, 1, 8);
    late.objectiveAt = now - 1000;
    this->request(1, 1, 8);
    const StartPlan plan = this->plan();
    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().request, 1U);
}

TEST_F(StartPlannerTest, SameInputsGiveTheSamePlan)
{
    this->addWorkers(8);
    for (int i = 0; i < 12; i++)
        this->request(i % 3, 1 + i % 5, 1 + i % 8);
    const StartPlan first = this->plan();
    const StartPlan second = this->plan();
    EXPECT_EQ(first.starts, second.starts);
    EXPECT_EQ(first.preemptions, second.preemptions);
}

// Load: a data centre is evacuated while work arrives whose data lies there.
TEST_F(StartPlannerTest, TaskDoesNotWaitForTheRackOfItsDataInAnEvacuatedDataCentre)
{
    this->addWorkers(4);
    this->views[2].usable = this->views[3].usable = false;
    this->views[2].evacuated = this->views[3].evacuated = true;
    this->request(1, 1, 8);
    this->stepOf(0).dataRack = "rack-1";
    EXPECT_EQ(startsOf(this->plan(), 0), 1U);
    // Workers that are unusable for another reason may be back in a moment.
    this->views[2].evacuated = false;
    EXPECT_EQ(startsOf(this->plan(), 0), 0U);
}

} // namespace

} // namespace Hibiscus::Tasks
