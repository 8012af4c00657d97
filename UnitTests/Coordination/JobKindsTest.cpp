#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

namespace {

using Tasks::JobState;

/// Tests of special kinds of jobs: perpetual, repeated, best-effort and with permits.
class JobKinds : public ClusterTest
{
protected:
    JobKinds()
        : ClusterTest(2, 4)
    {}

    JobState stateOf(std::uint32_t number)
    {
        const std::optional<ClientReply> reply = this->cluster.state("entry-0", jobId(number));
        return reply ? reply->state : JobState::Queued;
    }

    void requirePermits(const std::set<std::string> &permittedWorkers)
    {
        this->cluster.permitsRequired = true;
        this->cluster.setKeys({"key-1"});
        this->cluster.placement.permittedWorkers = permittedWorkers;
        this->cluster.run(milliseconds(100));
    }
};

TEST_F(JobKinds, PerpetualTasksRestartAfterSuccessAndFailure)
{
    // The tasks end by themselves after two seconds, with success in the first job and failure in
    // the second.
    this->accept(1, withFields(jobBody("2000,again", 2, 1), {{"perpetual", true}}));
    this->accept(2, withFields(jobBody("2000,fail,again", 1, 1), {{"perpetual", true}}));
    this->cluster.run(seconds(20));
    EXPECT_EQ(this->stateOf(1), JobState::Running);
    EXPECT_EQ(this->stateOf(2), JobState::Running);
    EXPECT_GE(this->cluster.workers.startsOf(jobId(1)), 18U);
    EXPECT_GE(this->cluster.workers.startsOf(jobId(2)), 3U);
    this->cluster.cancel("entry-0", jobId(1));
    this->cluster.cancel("entry-0", jobId(2));
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->cluster.workers.runningTasks(), 0U);
}

// Guards against failures of tasks that add up to long backoffs of sound workers.
TEST_F(JobKinds, PerpetualTasksThatFailAgainAndAgainRestartSoonBesideFreeWorkers)
{
    constexpr std::uint32_t jobs = 6;
    constexpr Duration step = milliseconds(100);
    for (std::uint32_t i = 1; i <= jobs; i++)
        this->accept(i,
                     withFields(jobBody(std::to_string(2000 + 1000 * i) + ",fail,again", 1, 4),
                                {{"perpetual", true}}));
    std::map<std::uint32_t, Duration> away;
    Duration longest{};
    for (Duration passed{}; passed < seconds(120); passed += step) {
        this->cluster.run(step);
        for (std::uint32_t i = 1; i <= jobs; i++) {
            const bool isAtWork = this->cluster.workers.runningTasksOf(jobId(i)) > 0;
            away[i] = isAtWork ? Duration{} : away[i] + step;
            longest = std::max(longest, away[i]);
        }
    }
    EXPECT_LE(longest, seconds(6));
}

TEST_F(JobKinds, OldPerpetualTasksRestartAfterAWorkerRestart)
{
    // The job is much older than its objective when two of its workers restart. Its tasks have to
    // run again within 6 s, the longest lease.
    this->accept(1, withFields(jobBody("900000", 2, 8), {{"perpetual", true}}));
    for (std::uint32_t i = 2; i < 10; i++)
        this->accept(i, jobBody("4000", 4, 2));
    this->cluster.run(seconds(100));
    for (std::uint32_t i = 10; i < 20; i++)
        this->accept(i, jobBody("4000", 4, 2));
    this->cluster.run(milliseconds(500));
    this->cluster.putWorker(this->cluster.workers.restart("worker-0"));
    this->cluster.putWorker(this->cluster.workers.restart("worker-1"));
    this->cluster.run(seconds(6));
    std::size_t wholeWorkers = 0;
    for (int i = 0; i < 4; i++)
        wholeWorkers += this->cluster.workers.runsJob("worker-" + std::to_string(i), jobId(1));
    EXPECT_EQ(wholeWorkers, 2U);
}

TEST_F(JobKinds, PerpetualTasksAreNotStarvedByAFlood)
{
    // The tasks end every two seconds, and the job is much older than its objective when the flood
    // begins.
    this->accept(1, withFields(jobBody("2000,again", 2, 8), {{"perpetual", true}}));
    this->cluster.run(seconds(100));
    for (std::uint32_t i = 2; i < 20; i++)
        this->accept(i, jobBody("3000", 4, 2));
    const std::size_t before = this->cluster.workers.startsOf(jobId(1));
    this->cluster.run(seconds(10));
    EXPECT_GE(this->cluster.workers.startsOf(jobId(1)), before + 4);
}

TEST_F(JobKinds, OccurrencesStartOnlyWhenDue)
{
    const std::int64_t first = this->cluster.clock.nowMs() + 3000;
    this->accept(
        1, withFields(jobBody("500", 2, 1), {{"times", 3}, {"firstMs", first}, {"everyMs", 2000}}));
    this->cluster.run(milliseconds(2800));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 0U);
    this->cluster.run(milliseconds(600));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
    this->cluster.run(seconds(3));
    EXPECT_EQ(this->stateOf(1), JobState::Completed);
}

TEST_F(JobKinds, OccurrencesMissedInAnOutageRunLater)
{
    const std::int64_t first = this->cluster.clock.nowMs() + 1000;
    this->accept(
        1, withFields(jobBody("500", 1, 1), {{"times", 3}, {"firstMs", first}, {"everyMs", 1000}}));
    this->cluster.killInstance("entry-0");
    this->cluster.killInstance("entry-1");
    this->cluster.run(seconds(6));
    this->cluster.startInstance("entry-0");
    this->cluster.run(seconds(5));
    EXPECT_EQ(this->stateOf(1), JobState::Completed);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 3U);
}

TEST_F(JobKinds, BestEffortTasksAreSlowedToProtectResponseTimes)
{
    // The response time is 100 ms without best-effort tasks; each one at full pace adds 300 ms,
    // which exceeds the target.
    for (std::uint32_t i = 1; i <= 4; i++)
        this->accept(i, withFields(jobBody("900000,serve=300", 1, 1), {{"perpetual", true}}));
    this->cluster.run(seconds(1));
    for (std::uint32_t i = 11; i <= 14; i++)
        this->accept(i, jobBody("60000,fill", 1, 1));
    this->cluster.run(seconds(20));
    EXPECT_GT(this->cluster.workers.paceOrders, 0U);
    EXPECT_EQ(this->cluster.workers.runningTasks(), 8U);
}

TEST_F(JobKinds, NextLeaderRestoresFullPaceOfBestEffortTasks)
{
    for (std::uint32_t i = 1; i <= 4; i++)
        this->accept(i, withFields(jobBody("900000,serve=300", 1, 1), {{"perpetual", true}}));
    for (std::uint32_t i = 11; i <= 14; i++)
        this->accept(i, jobBody("60000,fill", 1, 1));
    this->cluster.run(seconds(5));
    this->cluster.killInstance(this->cluster.leader());
    this->cluster.run(seconds(20));
    EXPECT_EQ(this->cluster.workers.runningTasks(), 8U);
    // Without latency-sensitive tasks on its worker, a best-effort task returns to full pace.
    const std::string instance = this->cluster.instances.begin()->first;
    for (std::uint32_t i = 1; i <= 4; i++)
        this->cluster.cancel(instance, jobId(i));
    this->cluster.run(seconds(5));
    EXPECT_EQ(this->cluster.workers.throttledTasks(), 0U);
}

TEST_F(JobKinds, BestEffortTasksReserveNoProcessorCores)
{
    // A best-effort step reserves memory and accelerators, but no processor cores.
    Tasks::Step step;
    step.need = {32000, 1000, 0};
    EXPECT_EQ(step.allocatedResources().milliCores, 32000);
    step.bestEffortCpu = true;
    EXPECT_EQ(step.allocatedResources(), (Tasks::Resources{0, 1000, 0}));
}

TEST_F(JobKinds, TasksStartOnlyOnPermittedWorkers)
{
    this->requirePermits({"worker-2"});
    this->accept(1, jobBody("500,permit", 6, 2));
    this->cluster.run(seconds(5));
    EXPECT_EQ(this->stateOf(1), JobState::Completed);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 6U);
    // One query covered all workers, and its permit was valid for all tasks.
    EXPECT_EQ(this->cluster.placement.queryCount, 1U);
}

TEST_F(JobKinds, ExpiredPermitsAreRequestedAgain)
{
    this->requirePermits({"worker-1", "worker-2"});
    // The tasks run in two rounds, each of which takes longer than a permit is valid.
    this->accept(1, jobBody("6000,permit", 4, 8));
    this->cluster.run(seconds(20));
    EXPECT_EQ(this->stateOf(1), JobState::Completed);
    EXPECT_GE(this->cluster.placement.queryCount, 2U);
    EXPECT_EQ(this->cluster.workers.permitRejections, 0U);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
}

TEST_F(JobKinds, TasksWaitWhileThePlacementServiceDoesNotAnswer)
{
    this->requirePermits({"worker-0"});
    this->cluster.placement.silent = true;
    this->accept(1, jobBody("500,permit", 1, 1));
    this->cluster.run(seconds(5));
    EXPECT_EQ(this->stateOf(1), JobState::Queued);
    this->cluster.placement.silent = false;
    this->cluster.run(seconds(5));
    EXPECT_EQ(this->stateOf(1), JobState::Completed);
}

TEST(GangInOneRack, StartsAcrossRacksIfNoRackGetsRoomForIt)
{
    // Two workers of each rack of four are taken for good. The other half of the workers has room
    // for the gang twice over, but no rack has room for all of it.
    Cluster cluster(2, 16);
    for (std::uint32_t number = 1; number <= 8; number++) {
        const std::string body = jobBody("600000,again", 2, 5);
        ASSERT_TRUE(
            cluster.submit("entry-0", jobId(number), withFields(body, {{"perpetual", true}})));
        cluster.run(milliseconds(500));
    }
    for (const std::uint32_t number : {4, 5, 7, 8})
        ASSERT_TRUE(cluster.cancel("entry-0", jobId(number)));
    cluster.run(seconds(2));
    for (std::size_t rack = 0; rack < 4; rack++) {
        std::size_t taken = 0;
        for (std::size_t i = 4 * rack; i < 4 * rack + 4; i++)
            taken += cluster.workers.runningOn("worker-" + std::to_string(i));
        ASSERT_EQ(taken, 2U) << "rack " << rack;
    }
    const std::string gang = jobBody("1000,gang=3", 3, 8, true);
    ASSERT_TRUE(cluster.submit("entry-0", jobId(9),
                               withFields(gang, {{"sameRack", true}, {"priority", 1}})));
    cluster.run(seconds(60));
    EXPECT_TRUE(cluster.isCompleted(jobId(9)));
    EXPECT_EQ(cluster.workers.violations, Violations{});
}

TEST_F(JobKinds, PreemptionRespectsTheLimitOfDisplacedTasks)
{
    // Four perpetual tasks occupy all workers, and the step allows one of them to be displaced; an
    // urgent job needs two workers.
    this->accept(1, withFields(jobBody("900000", 4, 8), {{"perpetual", true}, {"mostAway", 1}}));
    this->cluster.run(seconds(3));
    this->accept(2, withFields(jobBody("2000", 2, 8), {{"priority", 0}}));
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 3U);
    this->cluster.run(seconds(8));
    EXPECT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 4U);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(2)), 2U);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
