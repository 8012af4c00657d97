#include "Cluster.h"

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

/// Workers that leave at short notice or fail what they start.
class RunRisk : public testing::Test
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
            = this->cluster.submit(this->cluster.leader(), jobId(number), body);
        ASSERT_TRUE(reply);
        ASSERT_EQ(reply->kind, ReplyKind::Accepted) << reply->error;
    }

    std::string busyWorker() const
    {
        for (int i = 0; i < 8; i++) {
            std::string id = "worker-" + std::to_string(i);
            if (this->cluster.workers.runningOn(id) > 0)
                return id;
        }
        return {};
    }

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

    Cluster cluster{3, 8};
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
