#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

namespace {

/// Tests with calls that are carried out late, lost or answered by an earlier process.
class LateCall : public ClusterTest
{
protected:
    LateCall()
        : ClusterTest(2, 4)
    {}

    void accept(std::uint32_t number, const std::string &body)
    {
        this->acceptAt(this->follower(), number, body);
    }

    /// The worker of the leader's newest assignment.
    std::string assignedWorker() const
    {
        std::string worker;
        for (const auto &[name, instance] : this->cluster.instances) {
            for (const std::string &event : instance->logger.events) {
                constexpr std::string_view assigned = "run assigned ";
                if (event.starts_with(assigned))
                    worker = nlohmann::json::parse(event.substr(assigned.size())).at("worker");
            }
        }
        return worker;
    }

    /// Runs until the leader has just renewed its lease, and returns when it sent the renewal.
    TimePoint runUntilRenewed()
    {
        const LeaderElection &election
            = *this->cluster.instances.at(this->cluster.leader())->election;
        const SimClock &clock = this->cluster.clock;
        while (!election.isLeading(clock.now() + milliseconds(995)))
            this->cluster.run(milliseconds(1));
        return clock.now() - milliseconds(4);
    }

    /// From `renewedAt` on, the store answers the leader after 900 ms. The leader's timers stand
    /// still from shortly before the end of its lease until the next renewal is answered, as on a
    /// machine that is slowed down; so the leader does not step down.
    void slowDownLeader(TimePoint renewedAt)
    {
        const std::string leader = this->cluster.leader();
        this->cluster.store.instanceLatencies[leader] = milliseconds(450);
        this->cluster.clock.at(renewedAt + milliseconds(990), [this, leader, renewedAt] {
            *this->cluster.instances.at(leader)->suspendedUntil = renewedAt + milliseconds(1170);
        });
        this->cluster.clock.at(renewedAt + milliseconds(1170),
                               [this] { this->cluster.store.instanceLatencies.clear(); });
    }
};

TEST_F(LateCall, LateReportOfTheLoadDoesNotReplaceANewerOne)
{
    // All workers are busy. The report of one waiting job is carried out late, after the report of
    // seven, which stays true for a long time.
    this->accept(1, jobBody("60000", 4, 8));
    this->cluster.run(seconds(2));
    const std::string leader = this->cluster.leader();
    this->cluster.store.behaviors[leader] = StoreBehavior::ExecutesCommitsLate;
    this->accept(2, jobBody("60000", 1, 8));
    this->cluster.run(milliseconds(800));
    this->cluster.store.behaviors.clear();
    for (std::uint32_t i = 3; i <= 8; i++)
        this->accept(i, jobBody("60000", 1, 8));
    this->cluster.run(seconds(10));
    const std::optional<ClientReply> reply = this->cluster.call(
        this->follower(), {.verb = CallVerb::Status, .path = "/p1/", .key = "key-1"});
    ASSERT_TRUE(reply);
    ASSERT_EQ(reply->kind, ReplyKind::Pending);
    EXPECT_EQ(reply->pending, 7);
}

TEST_F(LateCall, StartIsNotForgottenWhileARenewalIsAwaited)
{
    // The assignment is stored while the leader's lease is over by its own clock; the answer to a
    // renewal that was sent in time arrives later.
    const TimePoint renewedAt = this->runUntilRenewed();
    this->cluster.run(milliseconds(150));
    this->accept(1, jobBody("1000", 1, 8));
    this->slowDownLeader(renewedAt);
    this->cluster.run(seconds(10));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(LateCall, CancelledJobIsStoppedAlsoWhileARenewalIsAwaited)
{
    // The leader learns of the cancellation while its lease is over by its own clock; the answer to
    // a renewal that was sent in time arrives later.
    this->accept(1, jobBody("60000", 2, 8));
    this->cluster.run(seconds(2));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 2U);
    this->slowDownLeader(this->runUntilRenewed());
    this->cluster.run(milliseconds(600));
    this->cluster.cancel(this->follower(), jobId(1));
    this->cluster.run(seconds(10));
    EXPECT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 0U);
}

TEST_F(LateCall, LateStartOnARestartedWorkerOutOfReachDoesNotRunAlongsideItsReplacement)
{
    // The worker's process restarts with a start order in flight and can't be reached by the
    // leader. The leader's bound for leases does not hold for the order: its lease is a time on the
    // clock of the earlier process.
    this->cluster.workers.orderDelay = seconds(9);
    this->cluster.workers.delayedWorkers = {"worker-0", "worker-1", "worker-2", "worker-3"};
    this->accept(1, jobBody("6000", 1, 8));
    this->cluster.run(milliseconds(900));
    const std::string worker = this->assignedWorker();
    this->cluster.workers.delayedWorkers.clear();
    for (const auto &[name, instance] : this->cluster.instances)
        this->cluster.workers.unreachableWorkers[name] = {worker};
    this->cluster.putWorker(this->cluster.workers.restart(worker));
    this->cluster.run(seconds(40));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(LateCall, LateStartThatWasStoppedDoesNotRunOnTheRestartedWorker)
{
    // The worker leaves and accepts the stop order for an unanswered start. Its next process, which
    // the registry shows late, knows nothing of the stop.
    this->cluster.workers.orderDelay = seconds(5);
    this->cluster.workers.delayedWorkers = {"worker-0", "worker-1", "worker-2", "worker-3"};
    this->accept(1, jobBody("8000", 1, 8));
    this->cluster.run(milliseconds(1100));
    const std::string worker = this->assignedWorker();
    this->cluster.workers.delayedWorkers.clear();
    Tasks::WorkerEntry draining = this->cluster.workers.entryOf(worker);
    draining.draining = true;
    this->cluster.putWorker(draining);
    this->cluster.run(milliseconds(2300));
    const Tasks::WorkerEntry entry = this->cluster.workers.restart(worker);
    this->cluster.run(seconds(2));
    this->cluster.putWorker(entry);
    this->cluster.run(seconds(40));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(LateCall, TaskIsNotReplacedWhileItsLateStartIsRevoked)
{
    // The second run of a task is lost in a restart of its worker. The first run's start order,
    // which the earlier process was told to stop, is carried out by the new process and has to be
    // stopped there before the task can start again.
    this->cluster.workers.orderDelay = seconds(5);
    this->cluster.workers.delayedWorkers = {"worker-0", "worker-1", "worker-2", "worker-3"};
    this->accept(1, jobBody("8000", 1, 8));
    this->cluster.run(milliseconds(1100));
    const std::string worker = this->assignedWorker();
    this->cluster.workers.delayedWorkers.clear();
    this->cluster.run(milliseconds(2300));
    const Tasks::WorkerEntry entry = this->cluster.workers.restart(worker);
    this->cluster.run(seconds(2));
    this->cluster.putWorker(entry);
    this->cluster.run(seconds(40));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(LateCall, LatePollOfAnEarlierProcessAcknowledgesNoEndOfTheNextOne)
{
    // A poll with the acknowledgement of eight ends is carried out after a restart of the worker,
    // whose next process counts its ends from one. The record of its first end is not stored yet.
    const std::string worker = "worker-0";
    for (int i = 1; i < 4; i++)
        this->cluster.removeWorkerEntry("worker-" + std::to_string(i));
    this->accept(1, jobBody("300", 8, 1));
    this->cluster.run(seconds(1));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(1)));
    this->accept(2, jobBody("30000", 1, 1));
    this->cluster.run(milliseconds(500));
    this->cluster.workers.orderDelay = seconds(5);
    this->cluster.workers.delayedPolls = {worker};
    this->cluster.run(milliseconds(2200));
    this->cluster.workers.delayedPolls.clear();
    this->cluster.putWorker(this->cluster.workers.restart(worker));
    this->cluster.run(milliseconds(2600));
    this->accept(3, jobBody("700", 1, 1));
    for (int i = 0; i < 4000 && this->cluster.workers.startsOf(jobId(3)) == 0; i++)
        this->cluster.run(milliseconds(10));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(3)), 1U);
    const std::string leader = this->cluster.leader();
    this->cluster.store.behaviors[leader] = StoreBehavior::DropsCommits;
    this->cluster.run(milliseconds(2000));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(3)), 0U);
    this->cluster.killInstance(leader);
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(3)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(3)), 1U);
}

TEST_F(LateCall, AnswerOfAnEarlierProcessDoesNotSettleTheEndsOfTheNextOne)
{
    // The registry shows a restart of the worker while an answer of the earlier process, to a poll
    // that acknowledged eight ends, is on its way.
    const std::string worker = "worker-0";
    for (int i = 1; i < 4; i++)
        this->cluster.removeWorkerEntry("worker-" + std::to_string(i));
    this->accept(1, jobBody("300", 8, 1));
    this->cluster.run(seconds(1));
    this->cluster.workers.latency = milliseconds(100);
    this->accept(2, jobBody("2000", 1, 1));
    // The end of the second job answers a poll.
    while (this->cluster.workers.startsOf(jobId(2)) == 0)
        this->cluster.run(milliseconds(1));
    this->cluster.run(milliseconds(2050));
    ASSERT_EQ(this->cluster.workers.runningTasks(), 0U);
    this->cluster.putWorker(this->cluster.workers.restart(worker));
    this->cluster.run(seconds(3));
    this->accept(3, jobBody("500", 1, 1));
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(3)));
    EXPECT_EQ(this->cluster.workers.listedEndsOf(worker), 0U);
}

TEST_F(LateCall, RestartedWorkerIsNotFilledByTheCapacityOfItsEarlierProcess)
{
    // The worker starts again with half of its accelerators. It answers a poll before the registry
    // shows the new entry.
    this->accept(1, jobBody("20000,use=8", 4, 8));
    this->cluster.run(seconds(1));
    const Tasks::WorkerEntry entry = this->cluster.workers.restart("worker-0", 4);
    this->cluster.run(seconds(5));
    this->cluster.putWorker(entry);
    this->cluster.run(seconds(60));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(LateCall, LateEntryOfAnEarlierProcessDoesNotReplaceTheNewerOne)
{
    // The worker starts again with half of its accelerators. An entry that its earlier process
    // wrote reaches the registry after that of the new process.
    const Tasks::WorkerEntry former = this->cluster.workers.entryOf("worker-0");
    this->cluster.putWorker(this->cluster.workers.restart("worker-0", 4));
    this->cluster.run(milliseconds(500));
    this->cluster.putWorker(former);
    this->cluster.run(milliseconds(500));
    this->accept(1, jobBody("2000,use=8", 4, 8));
    this->cluster.run(seconds(20));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(LateCall, RecordThatTheStoreRefusesDoesNotHoldUpOtherJobs)
{
    // The progress record of the first job is longer than the store's values may be.
    this->cluster.store.maxValueBytes = 800;
    this->accept(1, jobBody("1000", 28, 1));
    this->accept(2, jobBody("1000", 1, 1));
    this->cluster.run(seconds(20));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(2)));
}

TEST_F(LateCall, JobWhoseRecordIsRefusedStartsNothingUntilItIsStored)
{
    // The store answers the leader slowly while eight jobs arrive, so that records share a commit.
    // One of them is too long until the store's limit is raised.
    const std::string leader = this->cluster.leader();
    this->cluster.store.maxValueBytes = 800;
    this->cluster.store.instanceLatencies[leader] = milliseconds(50);
    for (std::uint32_t i = 1; i <= 8; i++)
        this->accept(i, jobBody("1000", i == 4 ? 28 : 1, 1));
    this->cluster.run(milliseconds(100));
    this->cluster.store.instanceLatencies.clear();
    this->cluster.run(seconds(10));
    EXPECT_GT(this->cluster.instances.at(leader)->logger.count("refused commit divided"), 0U);
    EXPECT_GT(this->cluster.instances.at(leader)->logger.count("record refused by the store"), 0U);
    for (std::uint32_t i = 1; i <= 8; i++) {
        EXPECT_EQ(this->cluster.isCompleted(jobId(i)), i != 4) << i;
        EXPECT_EQ(this->cluster.workers.startsOf(jobId(i)), i == 4 ? 0U : 1U) << i;
    }
    const std::uint64_t commits = this->cluster.store.commits;
    this->cluster.run(seconds(20));
    // Without other records that the store accepts, the pause between two attempts grows to 1 s.
    EXPECT_LE(this->cluster.store.commits - commits, 22U);
    this->cluster.store.maxValueBytes = 0;
    this->cluster.run(seconds(8));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(4)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(4)), 28U);
}

TEST_F(LateCall, JobsGoOnSoonAfterTheStoreHasRefusedAllRecords)
{
    // The store takes no values for four seconds while the leader's lease goes on. Some of the
    // jobs wait for their first record then, the first one for that of its end.
    this->accept(1, jobBody("1000", 1, 1));
    this->cluster.run(milliseconds(500));
    this->cluster.store.instanceLatencies[this->cluster.leader()] = milliseconds(50);
    for (std::uint32_t i = 2; i <= 9; i++)
        this->accept(i, jobBody("1000", 1, 1));
    this->cluster.store.maxValueBytes = 1;
    this->cluster.store.instanceLatencies.clear();
    this->cluster.run(seconds(4));
    ASSERT_FALSE(this->cluster.isCompleted(jobId(1)));
    this->cluster.store.maxValueBytes = 0;
    this->cluster.run(milliseconds(2600));
    for (std::uint32_t i = 1; i <= 9; i++) {
        EXPECT_TRUE(this->cluster.isCompleted(jobId(i))) << i;
        EXPECT_EQ(this->cluster.workers.startsOf(jobId(i)), 1U) << i;
    }
}

TEST_F(LateCall, WorkerWhoseClockWasSetBackStartsItsTasksAgain)
{
    // The worker's new process reports an earlier start time than the one before it.
    this->accept(1, jobBody("2000", 4, 8));
    this->cluster.run(milliseconds(500));
    this->cluster.putWorker(this->cluster.workers.restart("worker-0", 8, -500));
    this->cluster.run(seconds(20));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(LateCall, LateEntryOfTheProcessBeforeTheClockWasSetBackEndsNoRun)
{
    // The worker's new process, which reports an earlier start time, is used by its own entry. Then
    // an entry of the process before it reaches the registry.
    const Tasks::WorkerEntry former = this->cluster.workers.entryOf("worker-0");
    this->cluster.putWorker(this->cluster.workers.restart("worker-0", 8, -500));
    this->cluster.run(seconds(1));
    this->accept(1, jobBody("5000", 4, 8));
    this->cluster.run(seconds(1));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 4U);
    this->cluster.putWorker(former);
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
}

TEST_F(LateCall, LatePaceOrderDoesNotReplaceANewerOne)
{
    // A pace order gets no answer and is carried out after the latency-sensitive tasks have ended
    // and full pace was ordered and confirmed.
    for (std::uint32_t i = 1; i <= 4; i++)
        this->accept(i, withFields(jobBody("900000,serve=300", 1, 1), {{"perpetual", true}}));
    this->cluster.run(seconds(1));
    this->cluster.workers.orderDelay = seconds(6);
    this->cluster.workers.delayedPaceOrders = {"worker-0", "worker-1", "worker-2", "worker-3"};
    for (std::uint32_t i = 11; i <= 14; i++)
        this->accept(i, jobBody("60000,fill", 1, 1));
    this->cluster.run(milliseconds(1500));
    this->cluster.workers.delayedPaceOrders.clear();
    for (std::uint32_t i = 1; i <= 4; i++)
        this->cluster.cancel(this->follower(), jobId(i));
    this->cluster.run(seconds(20));
    EXPECT_EQ(this->cluster.workers.runningTasks(), 4U);
    EXPECT_EQ(this->cluster.workers.throttledTasks(), 0U);
}

TEST_F(LateCall, RevocationOfAStartPausesWhileTheWorkerRefusesConnections)
{
    // The worker restarts with a start order of a completed task in flight, and the port of its new
    // process closes again for 13 s. The pause between two stop orders is 150 ms, so there are at
    // most 90 of them.
    this->cluster.workers.delayedWorkers = {"worker-0", "worker-1", "worker-2", "worker-3"};
    this->cluster.workers.orderDelay = seconds(60);
    this->accept(1, jobBody("300", 1, 8));
    this->cluster.run(milliseconds(300));
    this->cluster.workers.delayedWorkers.clear();
    this->cluster.run(milliseconds(1500));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(1)));
    const std::string worker = this->assignedWorker();
    this->cluster.workers.closedWorkers = {worker};
    this->cluster.putWorker(this->cluster.workers.restart(worker));
    this->cluster.run(seconds(13));
    EXPECT_LE(this->cluster.workers.refusedConnections, 90U);
}

TEST_F(LateCall, RefusedJobIsNotAcceptedByAnEarlierCallThatTriesAgain)
{
    // The client's connection to one instance breaks while that instance has no answer from the
    // store. Another instance then refuses the job for load.
    const std::string leader = this->cluster.leader();
    const std::string staleInstance = this->follower();
    this->cluster.store.behaviors[staleInstance] = StoreBehavior::Unresponsive;
    for (std::uint32_t i = 0; i < 16; i++)
        this->cluster.submit(leader, jobId(i), jobBody("10000", 4, 8));
    this->cluster.run(milliseconds(600));
    const std::string body = jobBody("10000", 4, 8);
    this->cluster.instances.at(staleInstance)
        ->jobApi->handle(
            {.verb = CallVerb::Submit,
             .host = "jobs.example",
             .path = "/p1/" + jobId(77),
             .key = "key-1",
             .body = body,
             .deadline = this->cluster.clock.now() + seconds(3)},
            [](const ClientReply &) {}, this->cluster.clock.now());
    this->cluster.run(milliseconds(100));
    const std::optional<ClientReply> reply = this->cluster.submit(leader, jobId(77), body);
    ASSERT_TRUE(reply);
    ASSERT_EQ(reply->kind, ReplyKind::NotRun);
    this->cluster.store.behaviors.clear();
    this->cluster.run(seconds(250));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(77)), 0U);
}

TEST_F(LateCall, IdleWorkerOutOfReachHoldsUpATaskForOneLeaseAtMost)
{
    // The leader has a session with an idle worker that it can't reach any more. The task counts as
    // lost after the longest lease and has to start on another worker then.
    for (const auto &[name, instance] : this->cluster.instances)
        this->cluster.workers.unreachableWorkers[name] = {"worker-0"};
    this->accept(1, jobBody("2000", 1, 8));
    this->cluster.run(seconds(12));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

TEST_F(LateCall, LatePollOfAnEarlierProcessDoesNotOutliveTheLeadersBound)
{
    // A poll that renews the leases of a worker's earlier process is carried out by the next one,
    // whose clock started anew, after the leader has lost touch with the worker.
    const std::string worker = "worker-0";
    this->accept(1, jobBody("30000", 1, 8));
    this->cluster.run(milliseconds(50));
    ASSERT_TRUE(this->cluster.workers.runsJob(worker, jobId(1)));
    this->accept(2, jobBody("9000", 3, 8));
    this->cluster.run(milliseconds(450));
    this->cluster.workers.orderDelay = seconds(8);
    this->cluster.workers.delayedPolls = {worker};
    this->cluster.run(milliseconds(2200));
    this->cluster.workers.delayedPolls.clear();
    this->cluster.putWorker(this->cluster.workers.restart(worker));
    for (int k = 0; k < 4000 && !this->cluster.workers.runsJob(worker, jobId(1)); k++)
        this->cluster.run(milliseconds(10));
    this->cluster.run(milliseconds(300));
    for (const auto &[name, instance] : this->cluster.instances)
        this->cluster.workers.unreachableWorkers[name] = {worker};
    this->cluster.run(seconds(60));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

} // namespace

} // namespace Hibiscus::Coordination::Test
