#include "Cluster.h"

#include <Coordination/PrefixWatch.h>
#include <Coordination/StoreKeys.h>
#include <Tasks/JobRecord.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

class OddEntry : public testing::Test
{
protected:
    void TearDown() override
    {
        for (const std::string &violation : this->cluster.workers.violations)
            ADD_FAILURE() << violation;
    }

    /// Runs a gang that needs all four workers at once.
    void expectWorkIsDone(std::uint32_t number)
    {
        const auto reply
            = this->cluster.submit("entry-0", jobId(number), jobBody("500", 4, 8, true));
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->kind, ReplyKind::Accepted) << reply->error;
        this->cluster.run(seconds(10));
        EXPECT_TRUE(this->cluster.isCompleted(jobId(number)));
    }

    const RecordingEventLogger &logger() const
    {
        return this->cluster.instances.at("entry-0")->logger;
    }

    Cluster cluster{1, 4};
};

TEST_F(OddEntry, EntriesThatCanNotBeReadAreLoggedAndTheOthersHold)
{
    int number = 0;
    for (const char *value : {"", "[]", "no json", "\xff\xfe"})
        this->cluster.store.put("registry/odd-" + std::to_string(number++), value);
    this->cluster.store.put("registry/", "[]");
    this->expectWorkIsDone(1);
    EXPECT_GE(this->logger().count("worker entry can't be used"), 4U);
}

TEST_F(OddEntry, RunsOnAWorkerOutliveAnEntryThatCanNotBeRead)
{
    const auto reply = this->cluster.submit("entry-0", jobId(1), jobBody("4000", 4, 8, true));
    ASSERT_TRUE(reply);
    this->cluster.run(seconds(1));
    this->cluster.store.put("registry/worker-0", std::string(1000, '['));
    this->cluster.run(seconds(10));
    EXPECT_TRUE(this->cluster.isCompleted(jobId(1)));
    EXPECT_EQ(this->cluster.workers.startsOf(jobId(1)), 4U);
}

TEST_F(OddEntry, EntryOfAnotherWriterThatIsBornInTheFutureDoesNotSilenceItsWorker)
{
    Tasks::WorkerEntry odd;
    odd.id = "worker-0";
    odd.labels = {"kind-a", "rack-0"};
    odd.incarnation = 9'000'000'000'000'000'000;
    this->cluster.putWorker(odd);
    this->cluster.run(seconds(1));
    EXPECT_EQ(this->logger().count("worker entry can't be used"), 1U);
    odd.incarnation = 1000;
    this->cluster.putWorker(odd);
    this->expectWorkIsDone(1);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
