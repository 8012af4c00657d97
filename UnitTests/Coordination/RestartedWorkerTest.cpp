#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

namespace {

/// Tests with workers that start again under their old ids before the registry shows it, while
/// calls that were meant for their former processes are on the way.
class RestartedWorker : public ClusterTest
{
protected:
    RestartedWorker()
        : ClusterTest(2, 8)
    {
        for (int i = 1; i < 8; i++)
            this->cluster.removeWorkerEntry("worker-" + std::to_string(i));
    }

    /// Lets the worker end eight runs, which are acknowledged.
    void endEightRuns()
    {
        this->accept(1, jobBody("300", 8, 1));
        this->cluster.run(seconds(1));
        ASSERT_TRUE(this->cluster.isCompleted(jobId(1)));
        ASSERT_EQ(this->cluster.workers.listedEndsOf(this->worker), 0U);
    }

    /// The same, and leaves the worker with a long run.
    void useFormerProcess()
    {
        this->endEightRuns();
        this->accept(2, jobBody("30000", 1, 1));
        this->cluster.run(milliseconds(500));
        ASSERT_EQ(this->cluster.workers.runningOn(this->worker), 1U);
    }

    /// Restarts the worker while a poll is on its way, which the new process receives. The registry
    /// shows the restart later.
    Tasks::WorkerEntry restartWithAPollOnItsWay()
    {
        // The present poll ends two seconds after the start of the long task, and the next one is
        // sent at once.
        this->cluster.workers.pollDelays[this->worker] = milliseconds(400);
        this->cluster.run(milliseconds(1700));
        this->cluster.workers.pollDelays.clear();
        Tasks::WorkerEntry entry = this->cluster.workers.restart(this->worker);
        this->cluster.run(milliseconds(400));
        return entry;
    }

    /// The worker ends one run. The acknowledgement of that end gets no answer and is carried out
    /// after the delay.
    void delayTheFirstAcknowledgement(Duration delay)
    {
        this->accept(1, jobBody("300", 1, 1));
        this->cluster.run(milliseconds(250));
        this->cluster.workers.orderDelay = delay;
        this->cluster.workers.delayedPolls = {this->worker};
        this->cluster.run(milliseconds(250));
        ASSERT_TRUE(this->cluster.isCompleted(jobId(1)));
        this->cluster.workers.delayedPolls.clear();
    }

    void cutOff(bool isCut)
    {
        for (const auto &[name, instance] : this->cluster.instances)
            this->cluster.workers.unreachableWorkers[name]
                = isCut ? std::set{this->worker} : std::set<std::string>{};
    }

    void runUntilStarted(std::uint32_t job)
    {
        for (int i = 0; i < 5000 && this->cluster.workers.startsOf(jobId(job)) == 0; i++)
            this->cluster.run(milliseconds(1));
        ASSERT_EQ(this->cluster.workers.startsOf(jobId(job)), 1U);
    }

    std::size_t countOf(std::string_view event) const
    {
        std::size_t sum = 0;
        for (const auto &[name, instance] : this->cluster.instances)
            sum += instance->logger.count(event);
        return sum;
    }

    const std::string worker = "worker-0";
};

// Guards against a second run of a task whose end the worker's new process has discarded, told so
// by a poll that was meant for the former one and waits at the new one.
TEST_F(RestartedWorker, PollThatWaitsForTheFormerProcessDiscardsNoEndOfTheNewOne)
{
    this->cluster.workers.waitingPollsAcknowledge = true;
    this->useFormerProcess();
    const Tasks::WorkerEntry entry = this->restartWithAPollOnItsWay();
    this->accept(3, jobBody("400", 1, 1));
    this->cluster.run(milliseconds(1000));
    this->cluster.putWorker(entry);
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(3)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(3)), 1U);
}

// Guards against the same by the polls that the leader repeats while the worker is cut off: the new
// process has accepted a start order, and its task ends behind the cut.
TEST_F(RestartedWorker, PollAfterACutDiscardsNoEndThatNobodyHasSeen)
{
    this->useFormerProcess();
    const Tasks::WorkerEntry entry = this->cluster.workers.restart(this->worker);
    this->accept(3, jobBody("300", 8, 0));
    while (this->cluster.workers.startsOf(jobId(3)) < 8)
        this->cluster.run(milliseconds(1));
    this->cutOff(true);
    this->cluster.run(milliseconds(1500));
    this->cutOff(false);
    this->cluster.run(milliseconds(1500));
    this->cluster.putWorker(entry);
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(3)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(3)), 8U);
}

// Guards against the same by an acknowledgement that is carried out seconds after it was sent.
TEST_F(RestartedWorker, LateAcknowledgementDiscardsNoEndThatIsNotRecorded)
{
    this->delayTheFirstAcknowledgement(seconds(3));
    this->cluster.putWorker(this->cluster.workers.restart(this->worker));
    this->cluster.run(milliseconds(1500));
    this->accept(3, jobBody("500", 1, 1));
    this->cluster.run(milliseconds(300));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(3)), 1U);
    const std::string leader = this->cluster.leader();
    this->cluster.store.behaviors[leader] = StoreBehavior::DropsCommits;
    this->cluster.run(milliseconds(1500));
    this->cluster.killInstance(leader);
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(3)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(3)), 1U);
}

// Guards against the same if the new process executes a start order first and is cut off before
// anyone knows of it.
TEST_F(RestartedWorker, LateAcknowledgementDiscardsNoEndOfARunThatWasStartedAfterIt)
{
    this->delayTheFirstAcknowledgement(seconds(2));
    const Tasks::WorkerEntry entry = this->cluster.workers.restart(this->worker);
    this->accept(3, jobBody("300", 1, 1));
    while (this->cluster.workers.startsOf(jobId(3)) == 0)
        this->cluster.run(milliseconds(1));
    this->cutOff(true);
    this->cluster.run(milliseconds(2500));
    this->cutOff(false);
    this->cluster.run(milliseconds(1500));
    this->cluster.putWorker(entry);
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(3)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(3)), 1U);
}

// Guards against a second run beside one whose lease was extended, in a process that nobody knows
// yet, by a poll that was meant for the former one.
TEST_F(RestartedWorker, LateRenewalOfTheFormerProcessDoesNotOutliveTheLeadersBound)
{
    this->useFormerProcess();
    this->cluster.workers.orderDelay = seconds(6);
    this->cluster.workers.delayedPolls = {this->worker};
    this->cluster.run(milliseconds(1600));
    this->cluster.workers.delayedPolls.clear();
    this->cluster.workers.restart(this->worker);
    this->accept(3, jobBody("30000", 1, 1));
    while (this->cluster.workers.startsOf(jobId(3)) == 0)
        this->cluster.run(milliseconds(1));
    this->cutOff(true);
    this->cluster.putWorker(this->cluster.workers.entryOf("worker-1"));
    this->cluster.run(seconds(40));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(3)), 2U);
}

// Guards against a second run beside one that an unnoticed process has begun: its start has no
// answer, and the process grants the longest lease for a time on the former clock.
TEST_F(RestartedWorker, UnansweredStartCountsAsTheLongestLease)
{
    // Another worker of the data centre answers all the time, so the data centre is not probed.
    this->accept(2, jobBody("3000", 1, 8));
    this->cluster.run(milliseconds(200));
    this->cluster.putWorker(this->cluster.workers.entryOf("worker-1"));
    this->cluster.run(milliseconds(200));
    for (std::uint32_t i = 0; i < 8; i++)
        this->accept(10 + i, jobBody(std::to_string(3200 + 250 * i), 1, 1));
    this->cluster.run(milliseconds(3000));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(2)));
    ASSERT_EQ(this->cluster.workers.runningOn("worker-1"), 8U);
    this->cluster.workers.restart(this->worker);
    this->cluster.workers.orderDelay = milliseconds(2);
    this->cluster.workers.delayedWorkers = {this->worker};
    this->accept(3, jobBody("30000", 1, 8));
    this->runUntilStarted(3);
    ASSERT_TRUE(this->cluster.workers.runsJob(this->worker, jobId(3)));
    this->cutOff(true);
    this->cluster.workers.delayedWorkers.clear();
    this->cluster.putWorker(this->cluster.workers.entryOf("worker-4"));
    this->cluster.run(seconds(40));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(3)), 2U);
}

// Guards against a restart that the answer to a stop order hides: it shows the clock of a process
// that nobody knows, by which the answer to the next start order is judged.
TEST_F(RestartedWorker, StopAnsweredByANewProcessHidesNoRestart)
{
    this->useFormerProcess();
    this->cluster.workers.orderDelay = milliseconds(2500);
    this->cluster.workers.delayedPolls = {this->worker};
    this->cluster.run(milliseconds(1600));
    this->cluster.workers.delayedPolls.clear();
    this->cluster.workers.restart(this->worker);
    this->cluster.cancel(this->follower(), jobId(2));
    this->cluster.run(milliseconds(50));
    this->accept(3, jobBody("30000", 1, 1));
    this->cluster.run(milliseconds(100));
    this->cutOff(true);
    this->cluster.putWorker(this->cluster.workers.entryOf("worker-4"));
    this->cluster.run(seconds(60));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(3)));
}

// Guards against ends that a worker discards at once, since it keeps the number of an
// acknowledgement that was sent long after the last answer of the former process.
TEST_F(RestartedWorker, AcknowledgementFollowsAnAnswerOfTheSameProcess)
{
    this->cluster.workers.keepsAcknowledgements = true;
    this->accept(1, jobBody("300", 1, 1));
    this->cluster.run(milliseconds(250));
    const std::string leader = this->cluster.leader();
    this->cluster.store.behaviors[leader] = StoreBehavior::DropsCommits;
    this->cluster.run(milliseconds(800));
    ASSERT_EQ(this->cluster.workers.listedEndsOf(this->worker), 1U);
    const Tasks::WorkerEntry entry = this->cluster.workers.restart(this->worker);
    this->cluster.run(milliseconds(600));
    this->cluster.store.behaviors.clear();
    this->cluster.run(milliseconds(1500));
    this->cluster.putWorker(entry);
    this->cluster.run(milliseconds(500));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->countOf("acknowledgement answered by another process"), 0U);
    this->accept(3, jobBody("300", 1, 1));
    this->cluster.run(seconds(10));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(3)), 1U);
}

// Guards against an end that is discarded by a late acknowledgement, after a late start order has
// begun an earlier attempt of its run in the next process.
TEST_F(RestartedWorker, LateAcknowledgementDiscardsNoEndOfALateFirstAttempt)
{
    this->endEightRuns();
    this->cluster.workers.orderDelay = seconds(3);
    this->cluster.workers.delayedWorkers = {this->worker};
    this->accept(2, jobBody("2000", 1, 1));
    this->cluster.run(milliseconds(200));
    this->cluster.workers.delayedWorkers.clear();
    this->cluster.run(milliseconds(500));
    ASSERT_EQ(this->cluster.workers.startsOf(jobId(2)), 1U);
    this->accept(4, jobBody("300", 1, 1));
    this->cluster.run(milliseconds(250));
    this->cluster.workers.orderDelay = seconds(4) + milliseconds(800);
    this->cluster.workers.delayedPolls = {this->worker};
    this->cluster.run(milliseconds(250));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(4)));
    this->cluster.workers.delayedPolls.clear();
    ASSERT_EQ(this->cluster.workers.runningOn(this->worker), 1U);
    const Tasks::WorkerEntry entry = this->cluster.workers.restart(this->worker);
    this->cutOff(true);
    this->cluster.run(milliseconds(5000));
    this->cutOff(false);
    this->cluster.putWorker(entry);
    this->cluster.run(seconds(20));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(2)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(2)), 2U);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
