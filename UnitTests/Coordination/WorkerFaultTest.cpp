#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

namespace {

using Tasks::JobState;

class WorkerFault : public ClusterTest
{
protected:
    WorkerFault()
        : ClusterTest(1, 4)
    {}

    /// The worker of the newest assignment.
    std::string assignedWorker() const
    {
        return lastAssignedWorker(this->cluster.instances.at("entry-0")->logger);
    }

    void executeFirstAttemptLateAndRejectTheSecond(const std::string &body)
    {
        this->cluster.workers.delayedWorkers = {"worker-0", "worker-1", "worker-2", "worker-3"};
        this->accept(1, body);
        this->cluster.run(milliseconds(200));
        this->cluster.workers.delayedWorkers.clear();
        this->cluster.workers.unhealthyWorkers = {this->assignedWorker()};
        this->cluster.run(milliseconds(2700));
        this->cluster.workers.unhealthyWorkers.clear();
        this->cluster.run(seconds(20));
    }
};

TEST_F(WorkerFault, TasksOfARestartedWorkerAreRescheduledImmediately)
{
    this->accept(1, jobBody("2000", 2, 8));
    this->cluster.run(milliseconds(500));
    const std::string id = this->busyWorker();
    this->cluster.putWorker(this->cluster.workers.restart(id));
    this->cluster.run(seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 3U);
}

// Guards against a second run of a task on a worker whose process restarted before its entry in the
// registry showed it.
TEST_F(WorkerFault, RunStartedByAProcessWhoseEntryIsLateRunsOnce)
{
    this->accept(1, jobBody("500", 4, 8));
    this->cluster.run(seconds(3));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(1)));
    std::vector<Tasks::WorkerEntry> entries;
    entries.reserve(4);
    for (int i = 0; i < 4; i++)
        entries.push_back(this->cluster.workers.restart("worker-" + std::to_string(i)));
    this->accept(2, jobBody("5000", 2, 8));
    this->cluster.run(seconds(3));
    for (const Tasks::WorkerEntry &entry : entries)
        this->cluster.putWorker(entry);
    this->cluster.run(seconds(4));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(2)), 2U);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(2)));
}

TEST_F(WorkerFault, StartInFlightDuringAWorkerRestartRunsOnce)
{
    // The start order is in flight when the worker restarts, so the new process executes the order.
    this->cluster.workers.latency = milliseconds(150);
    this->accept(1, jobBody("3000", 1, 8));
    this->cluster.run(milliseconds(60));
    for (int i = 0; i < 4; i++)
        this->cluster.putWorker(this->cluster.workers.restart("worker-" + std::to_string(i)));
    this->cluster.run(seconds(8));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

TEST_F(WorkerFault, LateStartOnARestartedWorkerIsRevoked)
{
    for (int i = 0; i < 4; i++)
        this->cluster.workers.delayedWorkers.insert("worker-" + std::to_string(i));
    this->accept(1, jobBody("6000", 2, 8));
    this->cluster.run(milliseconds(900));
    this->cluster.workers.delayedWorkers.clear();
    for (int i = 0; i < 4; i++)
        this->cluster.putWorker(this->cluster.workers.restart("worker-" + std::to_string(i)));
    this->cluster.run(seconds(20));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, LateStartOfACompletedTaskIsRevokedOnARestartedWorker)
{
    // The first of two attempts of the start order arrives late; the second one is executed and the
    // task ends.
    for (int i = 0; i < 4; i++)
        this->cluster.workers.delayedWorkers.insert("worker-" + std::to_string(i));
    this->accept(1, jobBody("300", 1, 8));
    this->cluster.run(milliseconds(300));
    this->cluster.workers.delayedWorkers.clear();
    this->cluster.run(milliseconds(1500));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(1)));
    for (int i = 0; i < 4; i++)
        this->cluster.putWorker(this->cluster.workers.restart("worker-" + std::to_string(i)));
    this->cluster.run(seconds(5));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

TEST_F(WorkerFault, LateStartOnAWorkerThatWasUnlistedAndRestartedIsRevoked)
{
    // The run of the late start order was stopped and started elsewhere before the worker left the
    // registry.
    this->cluster.workers.orderDelay = seconds(8);
    this->cluster.workers.delayedWorkers = {"worker-0", "worker-1", "worker-2", "worker-3"};
    this->accept(1, jobBody("15000", 1, 8));
    this->cluster.run(milliseconds(200));
    this->cluster.workers.delayedWorkers.clear();
    const std::string worker = this->assignedWorker();
    this->cluster.workers.unhealthyWorkers = {worker};
    this->cluster.run(milliseconds(2800));
    this->cluster.workers.unhealthyWorkers.clear();
    ASSERT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
    this->cluster.removeWorkerEntry(worker);
    this->cluster.run(seconds(2));
    this->cluster.putWorker(this->cluster.workers.restart(worker));
    this->cluster.run(seconds(15));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

TEST_F(WorkerFault, LateStartOfACompletedTaskDoesNotRunBeforeItIsRevokedOnARestartedWorker)
{
    // The first of two attempts of the start order is executed late, after the second one has run
    // to its end, and before the registry shows that the worker has restarted.
    for (int i = 0; i < 4; i++)
        this->cluster.workers.delayedWorkers.insert("worker-" + std::to_string(i));
    this->accept(1, jobBody("300", 1, 8));
    this->cluster.run(milliseconds(300));
    this->cluster.workers.delayedWorkers.clear();
    const std::string worker = this->assignedWorker();
    this->cluster.run(milliseconds(1500));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(1)));
    this->cluster.workers.restart(worker);
    this->cluster.run(seconds(2));
    this->cluster.putWorker(this->cluster.workers.entryOf(worker));
    this->cluster.run(seconds(20));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, TasksOfAFailedWorkerAreRescheduledAfterTheirLease)
{
    this->accept(1, jobBody("2000", 2, 8));
    this->cluster.run(milliseconds(500));
    this->cluster.workers.kill(this->busyWorker());
    this->cluster.run(seconds(12));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, TaskWhoseStartIsNotAnsweredStartsElsewhereAfterOneLease)
{
    // The worker has no other runs, so that only the start order could have given it a lease. A
    // process that has started unnoticed would have granted the longest one, which is 6 s. The task
    // waits for it from the third attempt on, 1.2 s after the first, and for the last poll.
    const std::string worker = "worker-0";
    for (const auto &[name, instance] : this->cluster.instances)
        this->cluster.workers.unreachableWorkers[name] = {worker};
    this->accept(1, jobBody("2000", 1, 8));
    this->cluster.run(seconds(9));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
    this->cluster.workers.unreachableWorkers.clear();
    this->cluster.run(seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, TaskOfAWorkerThatHasLeftStartsElsewhereWithinThreeSeconds)
{
    // Generated day 3-079: a worker announces that it leaves, answers polls until then, and takes
    // its runs with it. A task whose turn has come may wait three seconds in a mostly idle service.
    this->accept(1, jobBody("20000", 1, 8));
    this->cluster.run(milliseconds(500));
    const std::string worker = this->busyWorker();
    Tasks::WorkerEntry draining = this->cluster.workers.entryOf(worker);
    draining.draining = true;
    this->cluster.putWorker(draining);
    this->cluster.run(seconds(6));
    this->cluster.workers.kill(worker);
    this->cluster.removeWorkerEntry(worker);
    this->cluster.run(seconds(3));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
}

TEST_F(WorkerFault, GangStartsOnceAWorkerThatRefusesConnectionsTakesThemAgain)
{
    // Incident inc-47bc: all attempts to start were used up within 23 ms of refused connections,
    // and the urgent gang started 3.6 s later.
    this->cluster.workers.closedWorkers = {"worker-0"};
    this->cluster.clock.in(milliseconds(700),
                           [this] { this->cluster.workers.closedWorkers.clear(); });
    this->accept(1, withFields(jobBody("500,gang=4", 4, 8, true), {{"priority", 0}}));
    this->cluster.run(milliseconds(1500));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
    this->cluster.run(milliseconds(700));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, StartOnAWorkerThatWasIdleForLongIsAccepted)
{
    // The lease of a start order is a time on the worker's clock, which may be 2 % slow.
    this->cluster.run(std::chrono::minutes(20));
    this->accept(1, jobBody("2000", 4, 8));
    this->cluster.run(seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.instances.begin()->second->logger.count("start rejected"), 0U);
}

TEST_F(WorkerFault, UnreachableWorkerCausesNoDuplicateRuns)
{
    this->accept(1, jobBody("20000", 2, 8));
    this->cluster.run(milliseconds(500));
    const std::string id = this->busyWorker();
    this->cluster.workers.unreachableWorkers["entry-0"] = {id};
    this->cluster.run(seconds(9));
    this->cluster.workers.unreachableWorkers.clear();
    this->cluster.run(seconds(25));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, LateStartsDoNotRunAlongsideTheirReplacement)
{
    this->cluster.workers.delayedWorkers = {"worker-0"};
    this->accept(1, jobBody("1000", 4, 8));
    this->cluster.run(seconds(15));
    this->cluster.workers.delayedWorkers.clear();
    this->cluster.run(seconds(5));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, LateStartBeforeARejectedAttemptDoesNotRunAlongsideItsReplacement)
{
    // Guards against the incident of 2026-12-05: the first attempt of a start order is executed
    // late, and the worker rejects the second one.
    this->executeFirstAttemptLateAndRejectTheSecond(jobBody("6000", 1, 8));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, LateGangBeforeRejectedAttemptsDoesNotRunAlongsideItsReplacement)
{
    // The same for a gang whose members are all on one worker.
    this->executeFirstAttemptLateAndRejectTheSecond(jobBody("6000,gang=2", 2, 4, true));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(WorkerFault, GangStartsAndEndsAsAWhole)
{
    this->accept(1, jobBody("1000,gang=3", 3, 8, true));
    this->cluster.run(seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 3U);
}

TEST_F(WorkerFault, GangThatLosesAMemberRestartsAsAWhole)
{
    this->accept(1, jobBody("3000,gang=2", 2, 8, true));
    this->cluster.run(milliseconds(500));
    const std::string id = this->busyWorker();
    this->cluster.putWorker(this->cluster.workers.restart(id));
    this->cluster.run(seconds(6));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
}

TEST_F(WorkerFault, GangOnAFailedWorkerIsRestartedOnce)
{
    // Each lost member causes stops of the other members, whose lease is over as well.
    this->accept(1, jobBody("3000,gang=4", 4, 2, true));
    this->cluster.run(milliseconds(500));
    const std::string id = this->busyWorker();
    ASSERT_EQ(this->cluster.workers.runningOn(id), 4U);
    this->cluster.workers.kill(id);
    this->cluster.run(seconds(14));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 8U);
}

TEST_F(WorkerFault, JobFailsOnlyAfterAllAttempts)
{
    this->accept(1, jobBody("300,fail", 1, 1));
    this->cluster.run(seconds(8));
    const std::optional<ClientReply> reply = this->cluster.state("entry-0", jobId(1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->state, JobState::Failed);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
}

TEST_F(WorkerFault, FailedGangCountsAsOneAttempt)
{
    this->accept(1, jobBody("300,fail,gang=2", 2, 8, true));
    this->cluster.run(seconds(10));
    const std::optional<ClientReply> reply = this->cluster.state("entry-0", jobId(1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->state, JobState::Failed);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
}

TEST_F(WorkerFault, CancelledJobStopsAndReportsItsState)
{
    this->accept(1, jobBody("20000", 6, 4));
    this->cluster.run(milliseconds(500));
    EXPECT_GT(this->cluster.workers.runningTasks(), 0U);
    const std::optional<ClientReply> reply = this->cluster.cancel("entry-0", jobId(1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->kind, ReplyKind::Cancelled);
    this->cluster.run(seconds(1));
    EXPECT_EQ(this->cluster.workers.runningTasks(), 0U);
    EXPECT_EQ(this->cluster.state("entry-0", jobId(1))->state, JobState::Cancelled);
}

TEST_F(WorkerFault, DrainingWorkerGetsNoTasks)
{
    for (int i = 0; i < 3; i++) {
        Tasks::WorkerEntry entry = this->cluster.workers.add("worker-" + std::to_string(i), "r-0");
        entry.draining = true;
        this->cluster.putWorker(entry);
    }
    this->cluster.run(milliseconds(100));
    this->accept(1, jobBody("500", 6, 2));
    this->cluster.run(milliseconds(300));
    EXPECT_EQ(this->cluster.workers.runningOn("worker-3"), 4U);
    EXPECT_EQ(this->cluster.workers.runningTasks(), 4U);
}

TEST_F(WorkerFault, RevokedKeyIsRejectedByTheConditionalWrite)
{
    // The new configuration is in the store, but the instance's watch has not reported the change
    // yet.
    this->cluster.setKeys({"key-2"});
    const std::optional<ClientReply> reply
        = this->cluster.submit("entry-0", jobId(1), jobBody("500", 1, 1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->kind, ReplyKind::UnknownKey);
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 0U);
}

TEST_F(WorkerFault, InstanceWithoutStoreDoesNotServeRevokedKeys)
{
    this->accept(1, jobBody("500", 1, 1));
    this->cluster.store.behaviors["entry-0"] = StoreBehavior::Unresponsive;
    this->cluster.setKeys({"key-2"});
    this->cluster.run(seconds(5));
    const std::optional<ClientReply> reply = this->cluster.state("entry-0", jobId(1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->kind, ReplyKind::Unavailable);
    EXPECT_FALSE(this->cluster.instances.at("entry-0")->jobApi->isReady(this->cluster.clock.now()));
}

TEST_F(WorkerFault, WorkerThatDiedBeforeAStopGetsNoGangMember)
{
    // The process is gone for good, but its registry entry stays. The lease of its last run, which
    // was to be stopped, passes without any answer. A gang that starts later would wait for the
    // member on that worker in vain.
    this->accept(1, jobBody("60000", 1, 8));
    this->cluster.run(milliseconds(500));
    const std::string dead = this->busyWorker();
    ASSERT_NE(dead, "");
    this->cluster.workers.kill(dead);
    ASSERT_TRUE(this->cluster.cancel("entry-0", jobId(1)));
    this->cluster.run(seconds(20));
    this->accept(2, jobBody("1000,gang=4", 4, 4, true));
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(2)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(2)), 4U);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
