#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

namespace {

using Tasks::JobState;

/// Tests of a store that is away, slow or forgetful, or whose answers are lost.
class StoreFault : public ClusterTest
{
protected:
    StoreFault()
        : ClusterTest(3, 8)
    {}
};

TEST_F(StoreFault, RunsSurviveAStoreOutage)
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

TEST_F(StoreFault, RunOfAWorkerThatIsLostDuringAStoreOutageWaitsForItsOwnLeaseOnly)
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

TEST_F(StoreFault, WorkersAreRenewedAgainAfterAnOutageLongerThanTheGraceTime)
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

TEST_F(StoreFault, UrgentJobsStartInTimeWhileHalfOfTheStoreAnswersAreLost)
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

TEST_F(StoreFault, JobThatArrivesBesideAnUnansweredCommitStartsAtOnce)
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

TEST_F(StoreFault, SubmissionWhoseFirstStoreAnswerIsLostIsAcceptedWithinHalfASecond)
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

TEST_F(StoreFault, JobThatIsHandedInAgainAfterALostAnswerRunsOnce)
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

TEST_F(StoreFault, LostStoreAnswersCauseNoDuplicateStarts)
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

TEST_F(StoreFault, JobAnsweredAsNotRunNeverStarts)
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

TEST_F(StoreFault, LateCommitIsAnsweredAsUndecidedAndRunsOnce)
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

TEST_F(StoreFault, CompactedHistoryLosesNoJob)
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

TEST_F(StoreFault, RefusalBlocksAnEarlierAttemptStillInFlight)
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

TEST_F(StoreFault, GangEndsAreKeptUntilTheJobRecordIsStored)
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

TEST_F(StoreFault, EndsOfAWorkerThatWasUnlistedAreKeptUntilTheJobRecordIsStored)
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

} // namespace

} // namespace Hibiscus::Coordination::Test
