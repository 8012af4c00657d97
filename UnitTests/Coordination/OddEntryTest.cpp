#include "Cluster.h"

#include <Coordination/PrefixWatch.h>
#include <Coordination/StoreKeys.h>
#include <Tasks/JobRecord.h>

#include <algorithm>
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
    Tasks::WorkerEntry odd = this->cluster.workers.entryOf("worker-0");
    odd.incarnation = 9'000'000'000'000'000'000;
    this->cluster.putWorker(odd);
    this->cluster.run(seconds(1));
    EXPECT_EQ(this->logger().count("worker entry can't be used"), 1U);
    odd.incarnation = 1000;
    this->cluster.putWorker(odd);
    this->expectWorkIsDone(1);
}

TEST_F(OddEntry, RecordWithMoreTasksThanAnInstanceCanTrackIsLoggedAndTheOthersHold)
{
    Tasks::Job job;
    job.id = jobId(7);
    job.queue = "queue-1";
    job.service = "blend";
    job.customer = "parks";
    job.steps.resize(1);
    job.repetition.count = 2'000'000'000;
    this->cluster.store.put(StoreKeys::job(job.id), Tasks::encodeJob(job));
    this->cluster.run(seconds(1));
    EXPECT_EQ(this->logger().count("job record can't be read"), 1U);
    this->expectWorkIsDone(1);
}

TEST_F(OddEntry, PendingCountOfAnotherTypeIsTakenAsZero)
{
    this->cluster.store.put(StoreKeys::load, R"({"queue-1":"many"})");
    const auto reply
        = this->cluster.call("entry-0", {.verb = CallVerb::Status, .path = "/p1/", .key = "key-1"});
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->kind, ReplyKind::Pending);
    EXPECT_EQ(reply->pending, 0);
}

TEST(OddRecord, JobWhoseProgressCanNotBeReadStartsNothingAndStaysKnown)
{
    // The next leader finds progress records that it can't read: of a job whose tasks are done and
    // of one with a running task.
    Cluster cluster(2, 4);
    const std::string former = cluster.leader();
    const std::string next = former == "entry-0" ? "entry-1" : "entry-0";
    const auto accept = [&](std::uint32_t number, const std::string &body) {
        const std::optional<ClientReply> reply = cluster.submit(next, jobId(number), body);
        ASSERT_TRUE(reply);
        ASSERT_EQ(reply->kind, ReplyKind::Accepted) << reply->error;
    };
    accept(1, jobBody("300", 2, 1));
    accept(2, jobBody("20000", 1, 1));
    cluster.run(seconds(2));
    ASSERT_TRUE(cluster.isCompleted(jobId(1)));
    ASSERT_EQ(cluster.workers.startsOf(jobId(2)), 1U);
    cluster.killInstance(former);
    cluster.store.put(StoreKeys::progressOf(jobId(1)), "garbage");
    cluster.store.put(StoreKeys::progressOf(jobId(2)), R"({"record":1,"tasks":[7]})");
    cluster.run(seconds(10));
    ASSERT_EQ(cluster.leader(), next);
    EXPECT_EQ(cluster.workers.startsOf(jobId(1)), 2U);
    EXPECT_EQ(cluster.workers.startsOf(jobId(2)), 1U);
    for (const std::uint32_t number : {1U, 2U}) {
        const std::optional<ClientReply> reply = cluster.state(next, jobId(number));
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->kind, ReplyKind::Unavailable);
        EXPECT_NE(cluster.instances.at(next)->dispatcher->jobTable().find(jobId(number)), nullptr);
    }
    const std::vector<std::string> &events = cluster.instances.at(next)->logger.events;
    const auto saysThatNothingStarts = [](const std::string &event) {
        return event.starts_with("progress record can't be read")
            && event.find("no task of the job starts") != std::string::npos;
    };
    EXPECT_EQ(std::count_if(events.begin(), events.end(), saysThatNothingStarts), 2);

    // Other jobs run, and the job can be cancelled.
    accept(3, jobBody("1000", 1, 1));
    cluster.cancel(next, jobId(2));
    cluster.run(seconds(3));
    EXPECT_TRUE(cluster.isCompleted(jobId(3)));
    const std::optional<ClientReply> reply = cluster.state(next, jobId(2));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->kind, ReplyKind::State);
    EXPECT_EQ(reply->state, Tasks::JobState::Cancelled);
    EXPECT_EQ(cluster.workers.startsOf(jobId(2)), 1U);
    EXPECT_EQ(cluster.workers.violations, Violations{});
}

/// A store that answers a list with what the test sets.
class ListingStore final : public Tasks::MetadataStore
{
public:
    void read(const std::string &, Duration, Tasks::StoreHandler) override {}
    void list(const std::string &, const std::string &, Duration,
              Tasks::StoreHandler handler) override
    {
        handler(this->answer, TimePoint{seconds(1)});
    }
    void watch(const std::string &, std::int64_t, Duration, Tasks::StoreHandler handler) override
    {
        this->watches++;
        this->watchHandler = std::move(handler);
    }
    void commit(const Tasks::StoreCommit &, Duration, Tasks::StoreHandler) override {}
    void grantLease(Duration, Duration, Tasks::StoreHandler) override {}
    void renewLease(std::int64_t, Duration, Tasks::StoreHandler) override {}
    void revokeLease(std::int64_t, Duration, Tasks::StoreHandler) override {}

    Tasks::StoreAnswer answer;
    Tasks::StoreHandler watchHandler;
    int watches = 0;
};

class NoTimers final : public TimerService
{
public:
    void after(Duration, std::function<void(TimePoint)>) override {}
};

TEST(OddKey, KeysOutsideThePrefixAreNotReported)
{
    ListingStore store;
    NoTimers timers;
    std::vector<std::string> reported;
    bool listed = false;
    PrefixWatch watch(
        store, timers, {.prefix = "servers/"},
        {[&](const Tasks::StoredItem &item, TimePoint) { reported.push_back(item.key); },
         [&](TimePoint) { listed = true; }, [](bool, TimePoint) {}});
    store.answer.outcome = Tasks::StoreOutcome::Done;
    store.answer.revision = 9;
    store.answer.items = {{.key = "", .revision = 4},
                          {.key = "s", .revision = 5},
                          {.key = "servers/a", .revision = 6},
                          {.key = "other/a", .revision = 7}};
    watch.start(TimePoint{});
    EXPECT_TRUE(listed);
    EXPECT_EQ(store.watches, 1);
    EXPECT_EQ(reported, std::vector<std::string>{"servers/a"});
    store.watchHandler(store.answer, TimePoint{seconds(2)});
    EXPECT_EQ(reported.size(), 1U);
    EXPECT_EQ(store.watches, 2);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
