#include "Cluster.h"

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

using Tasks::JobState;

class Failover : public testing::Test
{
protected:
    void TearDown() override
    {
        for (const std::string &violation : this->cluster.workers.violations)
            ADD_FAILURE() << violation;
        if (!HasFailure())
            return;
        for (const auto &[name, instance] : this->cluster.instances) {
            for (const std::string &event : instance->logger.events)
                std::cout << name << " " << event << "\n";
        }
    }

    void accept(std::uint32_t number, const std::string &body)
    {
        const std::optional<ClientReply> reply
            = this->cluster.submit(this->cluster.instances.begin()->first, jobId(number), body);
        ASSERT_TRUE(reply);
        ASSERT_EQ(reply->kind, ReplyKind::Accepted) << reply->error;
    }

    /// A worker that runs a task; empty if there is none.
    std::string busyWorker() const
    {
        for (int i = 0; i < 8; i++) {
            std::string id = "worker-" + std::to_string(i);
            if (this->cluster.workers.runningOn(id) > 0)
                return id;
        }
        return {};
    }

    /// Starts a job of one task once the leader's term is settled. Returns the task's worker.
    std::string startTaskInASettledTerm(const std::string &payload)
    {
        this->cluster.run(seconds(7));
        this->accept(1, jobBody(payload, 1, 8));
        this->cluster.run(milliseconds(500));
        return this->busyWorker();
    }

    /// The worker of the newest assignment by the instance.
    std::string assignedWorker(const std::string &instance) const
    {
        return lastAssignedWorker(this->cluster.instances.at(instance)->logger);
    }

    /// The former leader's start order reaches a new process of the worker, which has seen no
    /// fencing token, before the next leader reaches that process.
    void restartWorkerWithAStartOfTheFormerLeaderInFlight(Duration startDelay, Duration unreachable)
    {
        this->cluster.workers.orderDelay = startDelay;
        for (int i = 0; i < 8; i++)
            this->cluster.workers.delayedWorkers.insert("worker-" + std::to_string(i));
        this->accept(1, jobBody("6000", 1, 8));
        this->cluster.run(milliseconds(100));
        this->cluster.workers.delayedWorkers.clear();
        const std::string former = this->cluster.leader();
        const std::string worker = this->assignedWorker(former);
        for (const auto &[name, instance] : this->cluster.instances)
            this->cluster.workers.unreachableWorkers[name] = {worker};
        this->cluster.killInstance(former);
        this->cluster.run(milliseconds(2500));
        this->cluster.putWorker(this->cluster.workers.restart(worker));
        this->cluster.run(unreachable);
        this->cluster.workers.unreachableWorkers.clear();
        this->cluster.run(seconds(20));
    }

    Cluster cluster{3, 8};
};

TEST_F(Failover, AcceptedJobRunsToCompletion)
{
    this->accept(1, jobBody("1000", 4, 2));
    this->cluster.run(milliseconds(500));
    const std::optional<ClientReply> running = this->cluster.state("entry-1", jobId(1));
    ASSERT_TRUE(running);
    EXPECT_EQ(running->state, JobState::Running);
    this->cluster.run(seconds(2));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
}

TEST_F(Failover, RepeatedSubmissionAtAnotherInstanceCreatesNoSecondJob)
{
    this->accept(1, jobBody("500", 1, 1));
    const std::optional<ClientReply> again
        = this->cluster.submit("entry-2", jobId(1), jobBody("500", 1, 1));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->kind, ReplyKind::Accepted);
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

TEST_F(Failover, EndsThatOccurWithoutALeaderAreNotLost)
{
    // The runs end while there is no leader, so the next leader receives their ends in the first
    // answers of the workers.
    this->accept(1, jobBody("1500", 4, 2));
    this->cluster.run(milliseconds(600));
    for (const std::string name : {"entry-0", "entry-1", "entry-2"})
        this->cluster.killInstance(name);
    this->cluster.run(seconds(2));
    this->cluster.startInstance("entry-9");
    this->cluster.run(seconds(6));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
}

TEST_F(Failover, RunsContinueAcrossALeaderChange)
{
    this->accept(1, jobBody("8000", 6, 2));
    this->cluster.run(seconds(1));
    this->cluster.killInstance(this->cluster.leader());
    this->cluster.run(seconds(9));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 6U);
}

TEST_F(Failover, JobAcceptedBeforeAllInstancesFailIsCompleted)
{
    this->accept(1, jobBody("500", 2, 1));
    for (const std::string name : {"entry-0", "entry-1", "entry-2"})
        this->cluster.killInstance(name);
    this->cluster.run(milliseconds(800));
    this->cluster.startInstance("entry-7");
    this->cluster.run(seconds(6));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, LeaderRefusedByTheStoreIsReplacedWithoutDuplicateStarts)
{
    const std::string former = this->cluster.leader();
    this->accept(1, jobBody("6000", 4, 2));
    this->cluster.run(seconds(1));
    this->cluster.store.behaviors[former] = StoreBehavior::Rejecting;
    this->cluster.run(seconds(4));
    EXPECT_NE(this->cluster.leader(), former);
    EXPECT_NE(this->cluster.leader(), "");
    this->cluster.run(seconds(4));
    this->cluster.store.behaviors.clear();
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, SuspendedLeaderStepsDownWhenItResumes)
{
    const std::string former = this->cluster.leader();
    this->accept(1, jobBody("1000", 2, 2));
    Instance &suspended = *this->cluster.instances.at(former);
    *suspended.suspendedUntil = this->cluster.clock.now() + seconds(5);
    this->cluster.store.behaviors[former] = StoreBehavior::Unresponsive;
    this->cluster.run(seconds(5));
    this->cluster.store.behaviors.clear();
    EXPECT_FALSE(suspended.election->isLeading(this->cluster.clock.now()));
    this->cluster.run(seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, SuspendedLeaderRenewsNoLeaseThatItsSuccessorCountsAsExpired)
{
    // The successor does not reach the worker, so the worker does not know its fencing token.
    this->accept(1, jobBody("25000", 1, 8));
    this->cluster.run(milliseconds(700));
    const std::string former = this->cluster.leader();
    const std::string worker = this->busyWorker();
    for (const auto &[name, instance] : this->cluster.instances) {
        if (name != former)
            this->cluster.workers.unreachableWorkers[name] = {worker};
    }
    *this->cluster.instances.at(former)->suspendedUntil = this->cluster.clock.now() + seconds(5);
    this->cluster.run(seconds(20));
    this->cluster.workers.unreachableWorkers.clear();
    this->cluster.run(seconds(30));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, RunsSurviveAStoreOutage)
{
    this->accept(1, jobBody("9000", 4, 2));
    this->cluster.run(seconds(1));
    this->cluster.store.defaultBehavior = StoreBehavior::Unresponsive;
    this->cluster.run(seconds(6));
    this->cluster.store.defaultBehavior = StoreBehavior::Normal;
    this->cluster.run(seconds(8));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
}

TEST_F(Failover, RunOfAWorkerThatIsLostDuringAStoreOutageWaitsForItsOwnLeaseOnly)
{
    // Day m31004: workers leave while the store is down, and their tasks waited for the longest
    // lease that an unknown former leader might have granted.
    this->accept(1, jobBody("3000", 1, 8));
    this->cluster.run(milliseconds(500));
    const std::string worker = this->busyWorker();
    this->cluster.store.failFor(seconds(6));
    this->cluster.run(milliseconds(300));
    this->cluster.workers.kill(worker);
    this->cluster.removeWorkerEntry(worker);
    this->cluster.run(milliseconds(7200));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
    this->cluster.run(seconds(4));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

// Guards against tasks that stand still beside free workers for the longest lease and the grace
// time of a leader whose process is known to be gone.
TEST_F(Failover, TaskOfAWorkerLostWithTheLeaderWaitsForItsOwnLeaseOnly)
{
    const std::string worker = this->startTaskInASettledTerm("3000");
    this->cluster.workers.kill(worker);
    this->cluster.removeWorkerEntry(worker);
    const std::string former = this->cluster.leader();
    this->cluster.killInstance(former);
    this->cluster.run(milliseconds(500));
    this->cluster.startInstance(former);
    this->cluster.run(seconds(7));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
    this->cluster.run(seconds(4));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

// Guards against the same if the leader's machine is lost, after it has noticed the silence.
TEST_F(Failover, TaskOfAWorkerThatTheLostLeaderFoundSilentWaitsForOneLeaseOnly)
{
    const std::string worker = this->startTaskInASettledTerm("3000");
    this->cluster.workers.kill(worker);
    this->cluster.removeWorkerEntry(worker);
    this->cluster.run(milliseconds(3500));
    this->cluster.killInstance(this->cluster.leader());
    this->cluster.run(milliseconds(8500));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
}

// Guards against a second run beside one whose lease the former leader, cut off from the store,
// renews on a worker that it had found silent.
TEST_F(Failover, FormerLeaderRenewsNoLeaseOnAWorkerThatItRecordedAsSilent)
{
    const std::string worker = this->startTaskInASettledTerm("60000");
    const std::string former = this->cluster.leader();
    for (const auto &[name, instance] : this->cluster.instances)
        this->cluster.workers.unreachableWorkers[name] = {worker};
    this->cluster.run(milliseconds(3500));
    this->cluster.store.behaviors[former] = StoreBehavior::Unresponsive;
    this->cluster.workers.unreachableWorkers.erase(former);
    this->cluster.run(seconds(30));
    EXPECT_GE(this->cluster.workers.startsOf(jobId(1)), 2U);
}

TEST_F(Failover, RunOfAWorkerThatIsSilentForAWhileGoesOn)
{
    this->accept(1, jobBody("15000", 1, 8));
    this->cluster.run(milliseconds(500));
    const std::string worker = this->busyWorker();
    for (const auto &[name, instance] : this->cluster.instances)
        this->cluster.workers.unreachableWorkers[name] = {worker};
    this->cluster.run(milliseconds(3900));
    this->cluster.workers.unreachableWorkers.clear();
    this->cluster.run(seconds(14));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

// Guards against a second run beside one whose lease an earlier leader renews, which is cut off
// from the store and from the leaders after it.
TEST_F(Failover, TaskIsNotReplacedWhileALeaderBeforeTheLastOneRenewsItsLease)
{
    const std::string worker = this->startTaskInASettledTerm("60000");
    const std::string first = this->cluster.leader();
    for (const auto &[name, instance] : this->cluster.instances) {
        if (name != first)
            this->cluster.workers.unreachableWorkers[name] = {worker};
    }
    this->cluster.store.behaviors[first] = StoreBehavior::Unresponsive;
    this->cluster.run(milliseconds(1500));
    const std::string second = this->cluster.leader();
    ASSERT_NE(second, "");
    ASSERT_NE(second, first);
    this->cluster.killInstance(second);
    this->cluster.run(milliseconds(300));
    this->cluster.startInstance(second);
    this->cluster.run(milliseconds(9500));
    EXPECT_EQ(this->cluster.workers.runningOn(worker), 1U);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
    this->cluster.run(seconds(5));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
}

TEST_F(Failover, WorkersAreRenewedAgainAfterAnOutageLongerThanTheGraceTime)
{
    // The leases of all runs end during the outage, and their ends are listed after it.
    this->accept(1, jobBody("30000", 4, 8));
    this->cluster.run(milliseconds(500));
    this->cluster.store.failFor(seconds(14));
    this->cluster.run(seconds(16));
    EXPECT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 4U);
    this->cluster.run(seconds(35));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 8U);
}

TEST_F(Failover, UrgentJobsStartInTimeWhileHalfOfTheStoreAnswersAreLost)
{
    // Day m31002: the store carries out commits and does not answer half of them for eleven
    // seconds. Records that waited for each lost answer in turn held up all jobs.
    constexpr std::uint32_t jobs = 60;
    this->cluster.store.behaviors[this->cluster.leader()] = StoreBehavior::LosesCommitAnswers;
    for (std::uint32_t i = 1; i <= jobs; i++)
        this->accept(i, withFields(jobBody("20000", 1, 1), {{"priority", 0}}));
    // Urgent work starts within this time by the brief.
    this->cluster.run(milliseconds(2200));
    EXPECT_EQ(this->cluster.workers.runningTasks(), jobs);
    this->cluster.run(seconds(30));
    for (std::uint32_t i = 1; i <= jobs; i++) {
        EXPECT_TRUE(this->cluster.isCompleted(jobId(i))) << i;
        EXPECT_EQ(this->cluster.workers.startsOf(jobId(i)), 1U) << i;
    }
}

TEST_F(Failover, JobThatArrivesBesideAnUnansweredCommitStartsAtOnce)
{
    // The first job's commit does not reach the store and is sent again after 300 ms.
    const std::string leader = this->cluster.leader();
    this->cluster.store.behaviors[leader] = StoreBehavior::DropsCommits;
    this->accept(1, jobBody("2000", 1, 1));
    this->cluster.run(milliseconds(100));
    this->cluster.store.behaviors.clear();
    this->accept(2, jobBody("2000", 1, 1));
    this->cluster.run(milliseconds(50));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 0U);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(2)), 1U);
    this->cluster.run(seconds(4));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, SubmissionWhoseFirstStoreAnswerIsLostIsAcceptedWithinHalfASecond)
{
    // An urgent job that is accepted later has lost most of the time that its caller allows.
    this->cluster.store.behaviors["entry-0"] = StoreBehavior::LosesAnswers;
    this->cluster.clock.in(milliseconds(100), [this] { this->cluster.store.behaviors.clear(); });
    const TimePoint sentAt = this->cluster.clock.now();
    this->accept(1, withFields(jobBody("500", 2, 1), {{"priority", 0}}));
    EXPECT_LE(this->cluster.clock.now() - sentAt, milliseconds(500));
    this->cluster.run(seconds(2));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
}

TEST_F(Failover, UrgentJobsStartInTimeWhileWorkersAndInstancesJoin)
{
    // All workers are busy with batch work when three instances and 24 workers join within half a
    // second, together with urgent jobs. Midway the leader fails.
    this->accept(1, jobBody("60000", 8, 8));
    this->cluster.run(seconds(1));
    constexpr std::uint32_t jobs = 20;
    for (std::uint32_t i = 0; i < jobs; i++) {
        this->accept(10 + i, withFields(jobBody("20000", 2, 4), {{"priority", 0}}));
        this->cluster.putWorker(this->cluster.workers.add("joined-" + std::to_string(i), "rack-8"));
        if (i % 8 == 0)
            this->cluster.startInstance("joined-" + std::to_string(i));
        if (i == jobs / 2)
            this->cluster.killInstance(this->cluster.leader());
        this->cluster.run(milliseconds(25));
    }
    // Urgent work starts within this time by the brief.
    this->cluster.run(milliseconds(2200));
    for (std::uint32_t i = 0; i < jobs; i++)
        EXPECT_EQ(this->cluster.workers.runningTasksOf(jobId(10 + i)), 2U) << i;
}

TEST_F(Failover, JobThatIsHandedInAgainAfterALostAnswerRunsOnce)
{
    // The job is stored, runs and ends while its caller knows nothing of it. The caller hands it in
    // again at another instance, and later at the first one.
    this->cluster.store.behaviors["entry-0"] = StoreBehavior::LosesAnswers;
    const std::string body = jobBody("500", 2, 1);
    const std::optional<ClientReply> first = this->cluster.submit("entry-0", jobId(1), body);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->kind, ReplyKind::Undecided);
    this->cluster.run(seconds(2));
    this->cluster.store.behaviors.clear();
    this->cluster.run(seconds(2));
    for (const std::string instance : {"entry-1", "entry-0"}) {
        const std::optional<ClientReply> again = this->cluster.submit(instance, jobId(1), body);
        ASSERT_TRUE(again);
        EXPECT_EQ(again->kind, ReplyKind::Accepted);
        const std::optional<ClientReply> state = this->cluster.state(instance, jobId(1));
        ASSERT_TRUE(state);
        EXPECT_EQ(state->state, JobState::Completed);
    }
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
}

TEST_F(Failover, LostStoreAnswersCauseNoDuplicateStarts)
{
    this->cluster.store.defaultBehavior = StoreBehavior::LosesAnswers;
    const std::optional<ClientReply> reply
        = this->cluster.submit("entry-0", jobId(1), jobBody("500", 2, 1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->kind, ReplyKind::Undecided);
    this->cluster.store.defaultBehavior = StoreBehavior::Normal;
    this->cluster.run(seconds(5));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
}

TEST_F(Failover, JobAnsweredAsNotRunNeverStarts)
{
    this->cluster.store.behaviors["entry-0"] = StoreBehavior::Rejecting;
    const std::optional<ClientReply> reply
        = this->cluster.submit("entry-0", jobId(1), jobBody("500", 1, 1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->kind, ReplyKind::NotRun);
    EXPECT_GT(reply->retryAfter, Duration{});
    this->cluster.store.behaviors.clear();
    this->cluster.run(seconds(5));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 0U);
}

TEST_F(Failover, LateCommitIsAnsweredAsUndecidedAndRunsOnce)
{
    this->cluster.store.behaviors["entry-0"] = StoreBehavior::ExecutesLate;
    const std::optional<ClientReply> reply
        = this->cluster.submit("entry-0", jobId(1), jobBody("500", 1, 1));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->kind, ReplyKind::Undecided);
    this->cluster.store.behaviors.clear();
    this->cluster.run(seconds(6));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

TEST_F(Failover, CompactedHistoryLosesNoJob)
{
    const std::string leader = this->cluster.leader();
    this->cluster.store.behaviors[leader] = StoreBehavior::Unresponsive;
    this->cluster.store.compactHistory();
    this->cluster.store.behaviors.clear();
    this->accept(1, jobBody("500", 2, 1));
    this->cluster.store.compactHistory();
    this->cluster.run(seconds(6));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, ResignedLeaderIsReplacedWithoutDelay)
{
    const std::string former = this->cluster.leader();
    this->accept(1, jobBody("3000", 2, 2));
    this->cluster.run(seconds(1));
    this->cluster.instances.at(former)->election->resign(this->cluster.clock.now());
    this->cluster.run(milliseconds(400));
    EXPECT_NE(this->cluster.leader(), "");
    this->cluster.run(seconds(4));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, JobsThatWouldStartTooLateAreRefusedAndAcceptedLater)
{
    // Each job takes all 64 accelerators for ten seconds and can wait for up to 80 s.
    std::uint32_t accepted = 0;
    std::optional<ClientReply> last;
    for (std::uint32_t i = 0; i < 20; i++) {
        last = this->cluster.submit("entry-0", jobId(i), jobBody("10000", 8, 8));
        ASSERT_TRUE(last);
        if (last->kind == ReplyKind::Accepted)
            accepted = i + 1;
        this->cluster.run(milliseconds(600));
    }
    EXPECT_GE(accepted, 7U);
    EXPECT_LE(accepted, 12U);
    ASSERT_EQ(last->kind, ReplyKind::NotRun);
    EXPECT_GE(last->retryAfter, seconds(20));
    const std::optional<ClientReply> state = this->cluster.state("entry-1", jobId(19));
    EXPECT_EQ(state->kind, ReplyKind::NoSuchJob);
    this->cluster.run(seconds(60));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(19)), 0U);
    const std::optional<ClientReply> again
        = this->cluster.submit("entry-1", jobId(19), jobBody("10000", 8, 8));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->kind, ReplyKind::Accepted);
    this->cluster.run(seconds(60));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(19)));
}

TEST_F(Failover, RefusalBlocksAnEarlierAttemptStillInFlight)
{
    // One instance does not receive the wait forecast, and its commits are executed two seconds
    // late.
    const std::string leader = this->cluster.leader();
    const std::string staleInstance = leader == "entry-2" ? "entry-1" : "entry-2";
    this->cluster.store.behaviors[staleInstance] = StoreBehavior::ExecutesLate;
    for (std::uint32_t i = 0; i < 16; i++)
        this->cluster.submit(leader, jobId(i), jobBody("10000", 8, 8));
    const std::optional<ClientReply> first
        = this->cluster.submit(staleInstance, jobId(77), jobBody("10000", 8, 8));
    ASSERT_TRUE(first);
    EXPECT_EQ(first->kind, ReplyKind::Undecided);
    const std::optional<ClientReply> second
        = this->cluster.submit(leader, jobId(77), jobBody("10000", 8, 8));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->kind, ReplyKind::NotRun);
    this->cluster.store.behaviors.clear();
    this->cluster.run(seconds(250));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(77)), 0U);
}

TEST_F(Failover, GangEndsAreKeptUntilTheJobRecordIsStored)
{
    // The end of the first member completes the gang. The ends of the other members change nothing,
    // but the workers must keep them until the job's record is stored.
    this->accept(1, jobBody("3000,gang=3", 3, 8, true));
    this->cluster.run(milliseconds(2500));
    this->cluster.store.defaultBehavior = StoreBehavior::Unresponsive;
    this->cluster.run(seconds(5));
    // The worker of the first end is gone; the ends of the other members show that the gang is
    // done.
    this->cluster.workers.kill("worker-0");
    this->cluster.store.defaultBehavior = StoreBehavior::Normal;
    this->cluster.run(seconds(20));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 3U);
}

TEST_F(Failover, LateStartOfTheFormerLeaderIsRevokedOnARestartedWorker)
{
    this->restartWorkerWithAStartOfTheFormerLeaderInFlight(seconds(3), seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, LateStartOfTheFormerLeaderDelaysItsReplacementOnAnUnreachableRestartedWorker)
{
    this->restartWorkerWithAStartOfTheFormerLeaderInFlight(seconds(11), seconds(30));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, EndsOfAWorkerThatWasUnlistedAreKeptUntilTheJobRecordIsStored)
{
    // Guards against the incident of 2026-12-05: a run that had ended was started again.
    this->accept(1, jobBody("1000", 1, 8));
    this->cluster.run(milliseconds(700));
    const std::string leader = this->cluster.leader();
    const std::string worker = this->busyWorker();
    this->cluster.store.behaviors[leader] = StoreBehavior::DropsCommits;
    this->cluster.run(milliseconds(500));
    ASSERT_EQ(this->cluster.workers.runningTasks(), 0U);
    const Tasks::WorkerEntry entry = this->cluster.workers.entryOf(worker);
    this->cluster.removeWorkerEntry(worker);
    this->cluster.run(milliseconds(50));
    this->cluster.putWorker(entry);
    this->cluster.run(milliseconds(500));
    this->cluster.killInstance(leader);
    this->cluster.run(seconds(8));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

TEST_F(Failover, LateStartOfAFormerLeaderOnARestartedWorkerDoesNotRunAlongsideItsReplacement)
{
    // The worker answers the next leader before the former leader's start order is executed. It
    // then restarts, has seen no fencing token, and executes that order.
    for (int i = 0; i < 8; i++)
        this->cluster.workers.delayedWorkers.insert("worker-" + std::to_string(i));
    this->accept(1, jobBody("6000", 1, 8));
    this->cluster.run(milliseconds(200));
    const std::string former = this->cluster.leader();
    const std::string worker = this->assignedWorker(this->cluster.leader());
    ASSERT_FALSE(worker.empty());
    this->cluster.instances.at(former)->election->resign(this->cluster.clock.now());
    this->cluster.workers.delayedWorkers.clear();
    // The next run goes to another worker, so the leader has no reason to poll this one.
    Tasks::WorkerEntry draining = this->cluster.workers.entryOf(worker);
    draining.draining = true;
    this->cluster.putWorker(draining);
    this->cluster.run(milliseconds(1500));
    ASSERT_NE(this->cluster.leader(), "");
    ASSERT_NE(this->cluster.leader(), former);
    // The registry shows the restart only after the order is executed.
    this->cluster.workers.restart(worker);
    this->cluster.run(seconds(2));
    this->cluster.putWorker(this->cluster.workers.entryOf(worker));
    this->cluster.run(seconds(40));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, LateStartOfAFormerLeaderIsFencedOffByAWorkerThatIsKnownToHaveRestarted)
{
    // Soak seed 90001: the leader learns of the restart from the registry while a poll of the
    // earlier process is in flight, a second before the former leader's start order is executed.
    this->cluster.workers.orderDelay = seconds(2);
    for (int i = 0; i < 8; i++)
        this->cluster.workers.delayedWorkers.insert("worker-" + std::to_string(i));
    this->accept(1, jobBody("6000", 1, 8));
    this->cluster.run(milliseconds(200));
    const std::string former = this->cluster.leader();
    const std::string worker = this->assignedWorker(this->cluster.leader());
    ASSERT_FALSE(worker.empty());
    this->cluster.instances.at(former)->election->resign(this->cluster.clock.now());
    this->cluster.workers.delayedWorkers.clear();
    // Every worker is busy and polled. The others are free again before the late start.
    this->accept(2, jobBody("1000", 7, 8));
    this->cluster.run(milliseconds(600));
    ASSERT_NE(this->cluster.leader(), former);
    ASSERT_EQ(this->cluster.workers.runningOn(worker), 1U);
    this->cluster.putWorker(this->cluster.workers.restart(worker));
    this->cluster.run(seconds(40));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Failover, TaskDoesNotStartAgainAfterAnEarlierRunHasEndedAsDone)
{
    // Soak seed 90001: the start order of a run that counts as lost is executed late on a restarted
    // worker, and the run ends as done before the task's next run is assigned.
    for (int i = 0; i < 8; i++)
        this->cluster.workers.delayedWorkers.insert("worker-" + std::to_string(i));
    this->accept(1, jobBody("300", 1, 8));
    this->cluster.run(milliseconds(200));
    const std::string worker = this->assignedWorker(this->cluster.leader());
    ASSERT_FALSE(worker.empty());
    this->cluster.instances.at(this->cluster.leader())->election->resign(this->cluster.clock.now());
    this->cluster.workers.delayedWorkers.clear();
    // No worker takes the next run.
    for (int i = 0; i < 8; i++) {
        Tasks::WorkerEntry draining = this->cluster.workers.entryOf("worker-" + std::to_string(i));
        draining.draining = true;
        this->cluster.putWorker(draining);
    }
    this->cluster.run(milliseconds(1500));
    this->cluster.workers.restart(worker);
    this->cluster.run(seconds(2));
    for (int i = 0; i < 8; i++)
        this->cluster.putWorker(this->cluster.workers.entryOf("worker-" + std::to_string(i)));
    this->cluster.run(seconds(40));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST(SlowLeader, AssignmentStoredWhileTheLeaseIsInDoubtIsStartedAfterItsRenewal)
{
    // The store answers slowly and the leader's machine stands still, so that the leader's
    // bound for its own lease passes before the answer to a renewal arrives. The leader goes on
    // leading after that answer; in some phases the assignment is stored in between.
    for (int phase = 0; phase < 250; phase += 10) {
        Cluster cluster(1, 4);
        const std::string leader = cluster.leader();
        cluster.run(milliseconds(phase));
        cluster.clock.in(milliseconds(8),
                         [&cluster] { cluster.store.latency = milliseconds(400); });
        cluster.clock.in(milliseconds(88), [&cluster, leader] {
            *cluster.instances.at(leader)->suspendedUntil = cluster.clock.now() + milliseconds(950);
        });
        cluster.clock.in(milliseconds(1038),
                         [&cluster] { cluster.store.latency = milliseconds(2); });
        ASSERT_TRUE(cluster.submit(leader, jobId(1), jobBody("1000", 1, 8)));
        cluster.run(seconds(15));
        EXPECT_TRUE(cluster.isCompleted(jobId(1))) << "phase " << phase << " ms";
        EXPECT_EQ(cluster.workers.violations, Violations{});
    }
}

/// The store answers the leader after 600 ms, and the leader's machine stands still for 200 ms
/// while the bound for its lease passes. A renewal that was sent in time is answered after that, so
/// the leader goes on leading. The parameter is the phase in ms from the start of the test.
class LeaseInDoubt : public testing::TestWithParam<int>
{
protected:
    LeaseInDoubt() { this->cluster.run(milliseconds(GetParam())); }

    void TearDown() override
    {
        EXPECT_EQ(this->leader().count("deposed"), 0U);
        EXPECT_EQ(this->cluster.workers.violations, Violations{});
    }

    const RecordingEventLogger &leader() const
    {
        return this->cluster.instances.at(this->leaderName)->logger;
    }

    void slowDownLeader()
    {
        this->cluster.store.instanceLatencies[this->leaderName] = milliseconds(300);
        this->cluster.clock.in(milliseconds(900), [this] {
            *this->cluster.instances.at(this->leaderName)->suspendedUntil
                = this->cluster.clock.now() + milliseconds(200);
        });
        this->cluster.clock.in(milliseconds(1100),
                               [this] { this->cluster.store.instanceLatencies.clear(); });
    }

    Cluster cluster{2, 4};
    std::string leaderName = this->cluster.leader();
    std::string follower = this->leaderName == "entry-0" ? "entry-1" : "entry-0";
};

TEST_P(LeaseInDoubt, RunWhoseAssignmentIsStoredThenStartsLater)
{
    this->slowDownLeader();
    ASSERT_TRUE(this->cluster.submit(this->follower, jobId(1), jobBody("1000", 1, 8)));
    this->cluster.run(seconds(12));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

TEST_P(LeaseInDoubt, JobWhoseCancellationIsReadThenIsStoppedLater)
{
    ASSERT_TRUE(this->cluster.submit(this->follower, jobId(1), jobBody("60000", 2, 8)));
    this->cluster.run(seconds(2));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 2U);
    this->slowDownLeader();
    this->cluster.run(milliseconds(300));
    ASSERT_TRUE(this->cluster.cancel(this->follower, jobId(1)));
    this->cluster.run(seconds(12));
    EXPECT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 0U);
}

INSTANTIATE_TEST_SUITE_P(Phases, LeaseInDoubt, testing::Range(0, 250, 5));

} // namespace

} // namespace Hibiscus::Coordination::Test
