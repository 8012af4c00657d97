#include "Cluster.h"

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

TEST(LeaderElection, ExactlyOneInstanceLeads)
{
    Cluster cluster(6, 2);
    std::size_t leaders = 0;
    for (const auto &[name, instance] : cluster.instances)
        leaders += instance->election->isLeading(cluster.clock.now()) ? 1 : 0;
    EXPECT_EQ(leaders, 1U);
}

TEST(LeaderElection, TokenIncreasesWithEachLeader)
{
    Cluster cluster(3, 2);
    std::int64_t last = 0;
    for (int round = 0; round < 4; round++) {
        const std::string leader = cluster.leader();
        ASSERT_NE(leader, "");
        const std::int64_t token = cluster.instances.at(leader)->election->token();
        EXPECT_GT(token, last);
        last = token;
        cluster.killInstance(leader);
        cluster.startInstance(leader);
        cluster.run(seconds(4));
    }
}

TEST(LeaderElection, TermThatEndsEarlyIsFollowedByOneWithAHigherToken)
{
    Cluster cluster(3, 2);
    const std::string former = cluster.leader();
    LeaderElection &election = *cluster.instances.at(former)->election;
    const std::int64_t token = election.token();
    election.endTermEarly("test", cluster.clock.now());
    EXPECT_FALSE(election.isLeading(cluster.clock.now()));
    cluster.run(milliseconds(500));
    ASSERT_NE(cluster.leader(), "");
    EXPECT_GT(cluster.instances.at(cluster.leader())->election->token(), token);
    EXPECT_LE(cluster.instances.at(former)->logger.count("elected"), 2U);
}

TEST(LeaderElection, LeaderStepsDownBeforeAnotherIsElected)
{
    Cluster cluster(3, 2);
    const std::string former = cluster.leader();
    cluster.store.behaviors[former] = StoreBehavior::Unresponsive;
    for (int step = 0; step < 500; step++) {
        cluster.run(milliseconds(10));
        std::size_t leaders = 0;
        for (const auto &[name, instance] : cluster.instances)
            leaders += instance->election->isLeading(cluster.clock.now()) ? 1 : 0;
        ASSERT_LE(leaders, 1U);
    }
    EXPECT_NE(cluster.leader(), former);
}

TEST(LeaderElection, CandidateWhoseAnswerWasLostBecomesLeader)
{
    Cluster cluster(1, 2);
    cluster.killInstance("entry-0");
    cluster.run(seconds(4));
    cluster.startInstance("entry-0");
    cluster.store.defaultBehavior = StoreBehavior::LosesAnswers;
    cluster.run(milliseconds(300));
    cluster.store.defaultBehavior = StoreBehavior::Normal;
    cluster.run(seconds(6));
    EXPECT_EQ(cluster.leader(), "entry-0");
}

TEST(LeaderElection, LeaderRefusedByTheStoreIsReplacedWithinTwoSeconds)
{
    Cluster cluster(3, 2);
    const std::string former = cluster.leader();
    cluster.store.behaviors[former] = StoreBehavior::Rejecting;
    cluster.run(seconds(2));
    EXPECT_NE(cluster.leader(), "");
    EXPECT_NE(cluster.leader(), former);
}

TEST(LeaderElection, SlowStoreDoesNotDeposeTheLeader)
{
    Cluster cluster(3, 2);
    const std::string leader = cluster.leader();
    cluster.store.latency = milliseconds(150);
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.leader(), leader);
}

TEST(LeaderElection, AnswersThatTakeHalfTheLeaseDoNotDeposeTheLeader)
{
    // Renewals would come too late if each waited for the answer to the one before.
    Cluster cluster(3, 2);
    const std::string leader = cluster.leader();
    cluster.store.latency = milliseconds(270);
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.leader(), leader);
}

TEST(LeaderElection, LeaderRefusedByTheStoreIsReplacedWithin1300Milliseconds)
{
    Cluster cluster(3, 2);
    const std::string former = cluster.leader();
    cluster.store.behaviors[former] = StoreBehavior::Rejecting;
    cluster.run(milliseconds(1300));
    EXPECT_NE(cluster.leader(), "");
    EXPECT_NE(cluster.leader(), former);
}

TEST(LeaderElection, RestartedProcessOfTheLeaderDoesNotWaitForItsFormerLease)
{
    Cluster cluster(3, 2);
    const std::string former = cluster.leader();
    cluster.killInstance(former);
    cluster.run(milliseconds(100));
    cluster.startInstance(former);
    cluster.run(milliseconds(300));
    EXPECT_NE(cluster.leader(), "");
}

TEST(LeaderElection, LeaderGoesOnAfterAnOutageThatItsLeaseSurvives)
{
    // The store is down for all and its leases do not run meanwhile, so no other instance can have
    // been elected.
    Cluster cluster(3, 2);
    const std::string leader = cluster.leader();
    const std::int64_t token = cluster.instances.at(leader)->election->token();
    cluster.store.failFor(seconds(7));
    cluster.run(seconds(2));
    EXPECT_EQ(cluster.leader(), "");
    cluster.run(milliseconds(5400));
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.instances.at(leader)->election->token(), token);
}

TEST(LeaderElection, LeaderIsReplacedAfterAnOutageThatItsLeaseDoesNotSurvive)
{
    Cluster cluster(3, 2);
    const std::string leader = cluster.leader();
    const std::int64_t token = cluster.instances.at(leader)->election->token();
    cluster.store.defaultBehavior = StoreBehavior::Unresponsive;
    cluster.run(seconds(7));
    cluster.store.defaultBehavior = StoreBehavior::Normal;
    cluster.run(seconds(2));
    ASSERT_NE(cluster.leader(), "");
    EXPECT_GT(cluster.instances.at(cluster.leader())->election->token(), token);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
