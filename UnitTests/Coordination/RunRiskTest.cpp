#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

namespace {

/// Workers that leave at short notice or fail what they start.
class RunRisk : public ClusterTest
{
protected:
    RunRisk()
        : ClusterTest(3, 8)
    {}

    void announce(const std::string &worker, Duration timeLeft)
    {
        Tasks::WorkerEntry entry = this->cluster.workers.entryOf(worker);
        entry.draining = true;
        entry.timeLeft = timeLeft;
        this->cluster.putWorker(entry);
    }

    /// The worker announces to leave, and is gone after that time.
    void leave(const std::string &worker, Duration timeLeft)
    {
        this->announce(worker, timeLeft);
        this->cluster.clock.in(timeLeft, [this, worker] { this->cluster.workers.kill(worker); });
    }
};

TEST_F(RunRisk, GangOfALeavingWorkerStartsElsewhereBeforeItsLeaseIsOver)
{
    this->accept(1, jobBody("5000,gang=3", 3, 8, true));
    this->cluster.run(milliseconds(500));
    this->leave(this->busyWorker(), seconds(2));
    this->cluster.run(seconds(3));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 6U);
    this->cluster.run(seconds(5));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(RunRisk, SingleTaskOfALeavingWorkerStartsElsewhere)
{
    this->accept(1, jobBody("5000", 1, 8));
    this->cluster.run(milliseconds(500));
    this->leave(this->busyWorker(), seconds(2));
    this->cluster.run(seconds(3));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 2U);
}

TEST_F(RunRisk, RunThatEndsBeforeItsWorkerLeavesIsLeftAlone)
{
    this->accept(1, jobBody("2000,gang=3", 3, 8, true));
    this->cluster.run(milliseconds(500));
    this->leave(this->busyWorker(), seconds(3));
    this->cluster.run(seconds(3));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 3U);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

// The notice comes while nobody leads; the next leader finds it in the registry.
TEST_F(RunRisk, NextLeaderGivesUpRunsOnWorkersThatLeave)
{
    this->accept(1, jobBody("9000,gang=3", 3, 8, true));
    this->cluster.run(milliseconds(500));
    const std::string worker = this->busyWorker();
    this->cluster.killInstance(this->cluster.leader());
    this->leave(worker, seconds(6));
    this->cluster.run(seconds(8));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 6U);
}

// The new leader does not know when the run began. Its worker stays for longer than announced.
TEST_F(RunRisk, RunThatWasTakenOverMayEndOnAWorkerThatLeaves)
{
    this->accept(1, jobBody("10000", 1, 8));
    this->cluster.run(seconds(6));
    const std::string worker = this->busyWorker();
    this->cluster.killInstance(this->cluster.leader());
    this->cluster.run(milliseconds(2500));
    this->announce(worker, seconds(4));
    this->cluster.run(seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 1U);
}

// Load: a worker fails all that it starts. A single task shows it; without the part the worker is
// the first choice for the gang as soon as its backoff is over.
TEST_F(RunRisk, GangStaysOffAWorkerThatFailedATaskOfAnotherJob)
{
    this->cluster.workers.failingWorkers = {"worker-0"};
    this->accept(1, jobBody("2000", 1, 8));
    this->cluster.run(milliseconds(700));
    const RecordingEventLogger &log = this->cluster.instances.at(this->cluster.leader())->logger;
    EXPECT_EQ(log.count("worker too risky for gangs"), 1U);
    this->accept(2, jobBody("500,gang=4", 4, 8, true));
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(2)), 4U);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(2)));
}

} // namespace

} // namespace Hibiscus::Coordination::Test
