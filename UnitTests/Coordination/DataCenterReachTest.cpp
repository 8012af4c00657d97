#include "Cluster.h"

#include <Coordination/DataCenterReach.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

const std::string dataCenter = "attica-1";
constexpr TimePoint start{seconds(100)};

TEST(DataCenterReach, SilenceOfOneWorkerAmongAnswersOfOthersSaysNothing)
{
    DataCenterReach reach;
    reach.noteAnswer(dataCenter, start + milliseconds(200));
    EXPECT_FALSE(reach.noteSilence(dataCenter, start));
    EXPECT_FALSE(reach.isOutOfReach(dataCenter));
}

TEST(DataCenterReach, DataCenterWithoutAnyAnswerIsOutOfReachUntilTheNextOne)
{
    DataCenterReach reach;
    reach.noteAnswer(dataCenter, start);
    EXPECT_TRUE(reach.noteSilence(dataCenter, start + milliseconds(1)));
    EXPECT_FALSE(reach.noteSilence(dataCenter, start + milliseconds(2)));
    EXPECT_TRUE(reach.isOutOfReach(dataCenter));
    EXPECT_FALSE(reach.isOutOfReach("attica-2"));
    EXPECT_TRUE(reach.noteAnswer(dataCenter, start + seconds(1)));
    EXPECT_FALSE(reach.isOutOfReach(dataCenter));
}

TEST(DataCenterReach, WorkersOfAnUnknownDataCenterSayNothingAboutEachOther)
{
    DataCenterReach reach;
    EXPECT_FALSE(reach.noteSilence("", start));
    EXPECT_FALSE(reach.isOutOfReach(""));
}

TEST(DataCenterReach, UrgentJobsAvoidADataCenterThatIsCutOff)
{
    // Both instances lose the first data centre, whose workers would be chosen first. One job meets
    // the cut; those that follow must not lose their time there one after the other.
    Cluster cluster(2, 8);
    std::set<std::string> lost;
    for (int i = 0; i < 4; i++)
        lost.insert("worker-" + std::to_string(i));
    for (const auto &[name, instance] : cluster.instances)
        cluster.workers.unreachableWorkers[name] = lost;
    const std::string body = withFields(jobBody("200", 1, 8), {{"priority", 0}});
    ASSERT_TRUE(cluster.submit("entry-0", jobId(1), body));
    cluster.run(milliseconds(500));
    for (std::uint32_t number = 2; number <= 5; number++) {
        ASSERT_TRUE(cluster.submit("entry-0", jobId(number), body));
        cluster.run(milliseconds(100));
        EXPECT_EQ(cluster.workers.startsOf(jobId(number)), 1U) << number;
    }
    cluster.workers.unreachableWorkers.clear();
    cluster.run(seconds(4));
    // The workers are used again.
    ASSERT_TRUE(cluster.submit("entry-0", jobId(6), jobBody("1000", 8, 8)));
    cluster.run(milliseconds(500));
    EXPECT_EQ(cluster.workers.startsOf(jobId(6)), 8U);
    EXPECT_EQ(cluster.workers.violations, Violations{});
}

TEST(DataCenterReach, DataCenterIsUsedAgainAfterALongCut)
{
    // The cut lasts until each worker of the data centre has been probed without an answer. The one
    // that was to run a task leaves meanwhile and the others are idle, so that nothing but a probe
    // can show the end of the cut.
    Cluster cluster(2, 8);
    for (const auto &[name, instance] : cluster.instances)
        cluster.workers.unreachableWorkers[name] = {"worker-0", "worker-1", "worker-2", "worker-3"};
    ASSERT_TRUE(cluster.submit("entry-0", jobId(1), jobBody("200", 1, 8)));
    cluster.run(seconds(10));
    cluster.removeWorkerEntry("worker-0");
    cluster.run(seconds(10));
    cluster.workers.unreachableWorkers.clear();
    cluster.run(seconds(3));
    ASSERT_TRUE(cluster.submit("entry-0", jobId(2), jobBody("1000", 7, 8)));
    cluster.run(milliseconds(500));
    EXPECT_EQ(cluster.workers.startsOf(jobId(2)), 7U);
    EXPECT_EQ(cluster.workers.violations, Violations{});
}

TEST(DataCenterReach, RefusedConnectionsOfOneWorkerDoNotStopWorkInItsDataCenter)
{
    // Calls to one worker fail at once. The others answer all the while, since small jobs start and
    // end there.
    Cluster cluster(2, 4);
    ASSERT_TRUE(cluster.submit("entry-0", jobId(1), jobBody("20000", 3, 7)));
    cluster.run(milliseconds(500));
    cluster.workers.closedWorkers = {"worker-0", "worker-1", "worker-2", "worker-3"};
    for (int i = 0; i < 4; i++) {
        const std::string worker = "worker-" + std::to_string(i);
        if (cluster.workers.runningOn(worker) > 0)
            cluster.workers.closedWorkers.erase(worker);
    }
    ASSERT_EQ(cluster.workers.closedWorkers.size(), 1U);
    for (std::uint32_t number = 2; number <= 41; number++) {
        if (number == 20) {
            ASSERT_TRUE(cluster.submit("entry-0", jobId(99), jobBody("20000", 1, 8)));
        }
        ASSERT_TRUE(cluster.submit("entry-0", jobId(number),
                                   withFields(jobBody("1", 1, 1), {{"priority", 0}})));
        cluster.run(milliseconds(50));
    }
    EXPECT_GT(cluster.workers.refusedConnections, 0U);
    for (const auto &[name, instance] : cluster.instances)
        EXPECT_EQ(instance->logger.count("data centre does not answer"), 0U) << name;
}

} // namespace

} // namespace Hibiscus::Coordination::Test
