#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

namespace {

/// Three instances and two data centres, rack-0 and rack-1, with four workers each.
class Evacuation : public ClusterTest
{
protected:
    Evacuation()
        : ClusterTest(3, 8)
    {}

    std::size_t runningIn(int rack) const
    {
        std::size_t sum = 0;
        for (int i = 0; i < 4; i++)
            sum += this->cluster.workers.runningOn("worker-" + std::to_string(4 * rack + i));
        return sum;
    }

    /// Lets single jobs arrive for `span`, one each 250 ms.
    void offerWork(Duration span)
    {
        for (Duration passed{}; passed < span; passed += milliseconds(250)) {
            this->acceptAt(this->follower(), this->nextJob++, jobBody("600", 2, 8));
            this->cluster.run(milliseconds(250));
        }
    }

    std::uint32_t nextJob = 100;
};

TEST_F(Evacuation, NothingStartsThereUntilItIsTakenBack)
{
    this->cluster.evacuate("rack-0");
    this->cluster.run(seconds(2));
    this->acceptAt(this->follower(), 1, jobBody("3000", 8, 8));
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->runningIn(0), 0U);
    EXPECT_EQ(this->runningIn(1), 4U);
    this->cluster.takeBack("rack-0");
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->runningIn(0), 4U);
    this->cluster.run(seconds(4));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
}

TEST_F(Evacuation, RunsThatAreThereGoOn)
{
    this->acceptAt(this->follower(), 1, jobBody("4000", 8, 8));
    this->cluster.run(seconds(1));
    ASSERT_EQ(this->runningIn(0), 4U);
    this->cluster.evacuate("rack-0");
    this->cluster.run(seconds(2));
    EXPECT_EQ(this->runningIn(0), 4U);
    this->cluster.run(seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 8U);
}

TEST_F(Evacuation, OfTwoDataCentresLeavesWorkWaitingUntilOneIsBack)
{
    this->cluster.evacuate("rack-0");
    this->cluster.evacuate("rack-1");
    this->cluster.run(seconds(2));
    this->acceptAt(this->follower(), 1, jobBody("500", 2, 8));
    this->cluster.run(seconds(8));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 0U);
    this->cluster.takeBack("rack-1");
    this->cluster.run(seconds(3));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->runningIn(0), 0U);
}

// The assignment is stored late, so its start order would be sent after the evacuation.
TEST_F(Evacuation, GangWhoseAssignmentIsStoredLaterStartsElsewhere)
{
    const std::string leader = this->cluster.leader();
    this->cluster.workers.evacuationBound = milliseconds(300);
    this->cluster.store.behaviors[leader] = StoreBehavior::ExecutesCommitsLate;
    this->acceptAt(this->follower(), 1, jobBody("500,gang=4", 4, 8, true));
    this->cluster.run(milliseconds(60));
    this->cluster.evacuate("rack-0");
    this->cluster.run(seconds(1));
    this->cluster.store.behaviors.erase(leader);
    this->cluster.run(seconds(8));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->runningIn(0), 0U);
}

TEST_F(Evacuation, HoldsAfterTheLeaderWasKilledBeforeItLearnedOfIt)
{
    this->offerWork(seconds(1));
    this->cluster.evacuate("rack-0");
    this->cluster.killInstance(this->cluster.leader());
    this->offerWork(seconds(10));
    this->cluster.run(seconds(10));
    EXPECT_EQ(this->runningIn(0), 0U);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(this->nextJob - 1)));
}

TEST_F(Evacuation, HoldsIfTheStoreForgetsItsHistory)
{
    this->cluster.evacuate("rack-0");
    this->cluster.store.compactHistory();
    this->offerWork(seconds(4));
    this->cluster.store.compactHistory();
    this->cluster.takeBack("rack-0");
    this->cluster.evacuate("rack-1");
    this->offerWork(seconds(8));
    EXPECT_EQ(this->runningIn(1), 0U);
}

TEST_F(Evacuation, HoldsAfterAnOutageOfTheStore)
{
    this->offerWork(seconds(1));
    this->cluster.store.failFor(seconds(4));
    this->cluster.evacuate("rack-0");
    this->cluster.run(seconds(6));
    this->offerWork(seconds(6));
    this->cluster.run(seconds(3));
    EXPECT_EQ(this->runningIn(0), 0U);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
