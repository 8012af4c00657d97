#include "ClusterTest.h"

#include <Coordination/StoreKeys.h>

#include <array>

namespace Hibiscus::Coordination::Test {

namespace {

/// Three instances. Of each three workers, one takes 0.6 and one 2.6 of the typical run time, which
/// is too long for urgent work.
class Speeds : public ClusterTest
{
protected:
    Speeds()
        : ClusterTest(3, 24)
    {
        this->setSlowness({0.6, 1.0, 2.6});
    }

    void setSlowness(const std::array<double, 3> &factors)
    {
        for (std::size_t i = 0; i < this->workerCount; i++)
            this->cluster.workers.slowness["worker-" + std::to_string(i)] = factors[i % 3];
    }

    std::uint32_t accept(const std::string &body)
    {
        const std::uint32_t number = this->nextJob++;
        this->acceptAt(this->follower(), number, body);
        return number;
    }

    /// Lets batch work run on all workers and end.
    void learn()
    {
        for (int i = 0; i < 3; i++) {
            this->accept(
                withFields(jobBody("3000", static_cast<std::int32_t>(this->workerCount), 8),
                           {{"priority", 2}}));
            this->cluster.run(seconds(10));
        }
    }

    /// Starts urgent gangs and returns how many of their tasks run on slow workers.
    std::size_t slowWorkersOfUrgentWork()
    {
        std::size_t slow = 0;
        for (int i = 0; i < 3; i++) {
            const std::string job = jobId(
                this->accept(withFields(jobBody("8000,gang=4", 4, 8, true), {{"priority", 0}})));
            this->cluster.run(milliseconds(500));
            EXPECT_EQ(this->cluster.workers.runningTasksOf(job), 4U);
            for (std::size_t worker = 2; worker < this->workerCount; worker += 3)
                slow += this->cluster.workers.runsJob("worker-" + std::to_string(worker), job);
        }
        return slow;
    }

    std::size_t knownTo(const std::string &instance) const
    {
        const auto &spreads
            = this->cluster.instances.at(instance)->dispatcher->workerSpeeds().spreads();
        return spreads.empty() ? 0 : spreads.begin()->second.known;
    }

    std::uint32_t nextJob = 1;
};

TEST_F(Speeds, UrgentWorkGetsWorkersThatAreFastEnough)
{
    this->learn();
    EXPECT_EQ(this->knownTo(this->cluster.leader()), this->workerCount);
    EXPECT_EQ(this->slowWorkersOfUrgentWork(), 0U);
}

TEST_F(Speeds, TheNextLeaderKnowsThem)
{
    this->learn();
    const std::string former = this->cluster.leader();
    this->cluster.killInstance(former);
    this->cluster.run(seconds(8));
    ASSERT_NE(this->cluster.leader(), former);
    EXPECT_EQ(this->knownTo(this->cluster.leader()), this->workerCount);
    EXPECT_EQ(this->slowWorkersOfUrgentWork(), 0U);
}

TEST_F(Speeds, UnreadableRecordIsIgnoredWithALine)
{
    this->learn();
    const std::string former = this->cluster.leader();
    this->cluster.killInstance(former);
    this->cluster.store.put(StoreKeys::speeds, R"({"worker-1":"fast"})");
    this->cluster.run(seconds(8));
    const std::string leader = this->cluster.leader();
    ASSERT_FALSE(leader.empty());
    EXPECT_EQ(this->cluster.instances[leader]->logger.count("speeds of workers can't be read"), 1U);
    EXPECT_EQ(this->knownTo(leader), 0U);
    this->learn();
    EXPECT_EQ(this->slowWorkersOfUrgentWork(), 0U);
    EXPECT_NE(this->cluster.store.find(StoreKeys::speeds)->value, R"({"worker-1":"fast"})");
}

TEST_F(Speeds, LostWritesCostNoWork)
{
    this->cluster.store.defaultBehavior = StoreBehavior::LosesCommitAnswers;
    this->learn();
    this->cluster.store.defaultBehavior = StoreBehavior::Normal;
    EXPECT_EQ(this->slowWorkersOfUrgentWork(), 0U);
}

TEST_F(Speeds, EqualSpeedsAreNotStored)
{
    this->setSlowness({1.0, 1.0, 1.0});
    this->learn();
    // Batch work leaves one worker empty for urgent work.
    EXPECT_GE(this->knownTo(this->cluster.leader()), this->workerCount - 1);
    EXPECT_EQ(this->cluster.store.find(StoreKeys::speeds), nullptr);
}

TEST_F(Speeds, AreStoredAtABoundedRate)
{
    this->learn();
    ASSERT_TRUE(this->cluster.store.find(StoreKeys::speeds));
    std::int64_t writes = 0;
    std::int64_t revision = 0;
    for (int i = 0; i < 200; i++) {
        if (i % 8 == 0)
            this->accept(withFields(jobBody("1000", 6, 8), {{"priority", 2}}));
        this->cluster.run(milliseconds(100));
        const std::int64_t newest = this->cluster.store.find(StoreKeys::speeds)->revision;
        writes += newest != revision ? 1 : 0;
        revision = newest;
    }
    EXPECT_LE(writes, 5);
    EXPECT_GE(writes, 2);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
