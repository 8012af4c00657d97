#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

namespace {

/// Tests of the number of jobs that callers are told have not started.
class PendingCount : public ClusterTest
{
protected:
    PendingCount()
        : ClusterTest(3, 4)
    {}

    /// The count of queue-1, as a follower answers it.
    std::int64_t pending()
    {
        const std::optional<ClientReply> reply = this->cluster.call(
            this->follower(), {.verb = CallVerb::Status, .path = "/p1/", .key = "key-1"});
        EXPECT_TRUE(reply);
        if (!reply)
            return -1;
        EXPECT_EQ(reply->kind, ReplyKind::Pending);
        return reply->pending;
    }

    std::set<std::string> allWorkers() const
    {
        std::set<std::string> ids;
        for (std::size_t i = 0; i < this->workerCount; i++)
            ids.insert("worker-" + std::to_string(i));
        return ids;
    }

    std::size_t startsRejected()
    {
        return this->cluster.instances.at(this->cluster.leader())->logger.count("start rejected");
    }

    std::size_t startsUnanswered()
    {
        return this->cluster.instances.at(this->cluster.leader())
            ->logger.count("start not answered");
    }
};

TEST_F(PendingCount, JobWhoseStartsAreRejectedIsPendingUntilAWorkerBeginsIt)
{
    this->cluster.workers.unhealthyWorkers = this->allWorkers();
    this->accept(1, jobBody("60000", 1, 8));
    this->cluster.run(seconds(6));
    ASSERT_GT(this->startsRejected(), 0U);
    EXPECT_EQ(this->pending(), 1);
    this->cluster.workers.unhealthyWorkers.clear();
    this->cluster.run(seconds(10));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 1U);
    EXPECT_EQ(this->pending(), 0);
}

TEST_F(PendingCount, JobWhoseWorkerIsOutOfReachIsPendingUntilAWorkerBeginsIt)
{
    // Day pending-understated: workers are cut off, and start orders to them are not answered.
    for (const auto &[name, instance] : this->cluster.instances)
        this->cluster.workers.unreachableWorkers[name] = this->allWorkers();
    this->accept(1, jobBody("60000", 1, 8));
    this->cluster.run(seconds(6));
    ASSERT_GT(this->startsUnanswered(), 0U);
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 0U);
    EXPECT_EQ(this->pending(), 1);
    this->cluster.workers.unreachableWorkers.clear();
    this->cluster.run(seconds(20));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 1U);
    EXPECT_EQ(this->pending(), 0);
}

TEST_F(PendingCount, JobThatRanOnALostWorkerIsNotPendingAgainAlsoAtTheNextLeader)
{
    this->accept(1, jobBody("60000", 1, 8));
    this->cluster.run(seconds(2));
    const std::string worker = this->busyWorker();
    ASSERT_FALSE(worker.empty());
    this->cluster.workers.unhealthyWorkers = this->allWorkers();
    this->cluster.workers.kill(worker);
    this->cluster.removeWorkerEntry(worker);
    this->cluster.run(seconds(15));
    ASSERT_EQ(this->cluster.workers.runningTasksOf(jobId(1)), 0U);
    EXPECT_EQ(this->pending(), 0);
    this->cluster.killInstance(this->cluster.leader());
    this->cluster.run(seconds(15));
    ASSERT_FALSE(this->cluster.leader().empty());
    EXPECT_EQ(this->pending(), 0);
}

TEST_F(PendingCount, JobWhoseStartsAreRejectedIsPendingAlsoAtTheNextLeader)
{
    this->cluster.workers.unhealthyWorkers = this->allWorkers();
    this->accept(1, jobBody("60000", 1, 8));
    this->cluster.run(seconds(6));
    ASSERT_GT(this->startsRejected(), 0U);
    this->cluster.killInstance(this->cluster.leader());
    this->cluster.run(seconds(15));
    ASSERT_FALSE(this->cluster.leader().empty());
    EXPECT_EQ(this->pending(), 1);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
