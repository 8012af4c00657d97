#include "ClusterTest.h"

#include <Coordination/StoreKeys.h>

#include <tuple>

// How long the state of a finished job can be read. The instances' times of day may be off by any
// amount, and differently at the job's end and when it is forgotten.
namespace Hibiscus::Coordination::Test {

namespace {

constexpr std::uint32_t job = 51;
constexpr Duration retention = seconds(120); ///< TaskDispatcher's default.
/// Ends before the job has been readable for the retention.
constexpr Duration withinRetention = retention - milliseconds(500);
/// Longer than a change of leaders takes, with the term time that is not handed on.
constexpr Duration changeTime = seconds(15);

/// What happens between the end of the job and its removal.
enum class Change : std::uint8_t {
    None,
    LeaderKilled,
    AllReplaced,
    AllReplacedAndHistoryGone,
};

/// Errors of the instances' clocks at the job's end and after it, and the change in between.
using Scene = std::tuple<Duration, Duration, Change>;

} // namespace

class JobRetention : public ClusterTest
{
protected:
    JobRetention()
        : ClusterTest(3, 4)
    {}

    void setClocks(Duration error)
    {
        for (const auto &[name, instance] : this->cluster.instances)
            this->cluster.clockErrors[name] = error;
    }

    void finishJob()
    {
        this->accept(job, jobBody("1000", 1, 1));
        while (!this->cluster.isCompleted(jobId(job)))
            this->cluster.run(milliseconds(10));
        this->readableSince = this->cluster.clock.now();
    }

    void replaceAll()
    {
        const std::vector<std::string> names{"entry-0", "entry-1", "entry-2"};
        for (const std::string &name : names)
            this->cluster.killInstance(name);
        this->cluster.run(seconds(3));
        for (const std::string &name : names)
            this->cluster.startInstance(name);
        this->cluster.run(seconds(2));
    }

    void killLeader()
    {
        const std::string name = this->cluster.leader();
        this->cluster.killInstance(name);
        this->cluster.run(seconds(3));
        this->cluster.startInstance(name);
        this->cluster.run(seconds(1));
    }

    void carryOut(Change change)
    {
        if (change == Change::LeaderKilled)
            this->killLeader();
        if (change == Change::AllReplacedAndHistoryGone)
            this->cluster.store.compactHistory();
        if (change == Change::AllReplaced || change == Change::AllReplacedAndHistoryGone)
            this->replaceAll();
    }

    Duration readableFor() const { return this->cluster.clock.now() - this->readableSince; }

    void expectReadableUntil(Duration age)
    {
        while (this->readableFor() < age) {
            ASSERT_TRUE(this->cluster.isCompleted(jobId(job)))
                << toMs(this->readableFor()) << " ms";
            this->cluster.run(std::min<Duration>(seconds(1), age - this->readableFor()));
        }
    }

    /// Runs until the job is forgotten, for `limit` at most. Returns how long it was readable.
    Duration runUntilForgotten(Duration limit)
    {
        while (this->cluster.isCompleted(jobId(job)) && this->readableFor() < limit)
            this->cluster.run(milliseconds(100));
        return this->readableFor();
    }

    std::string recordKey() const { return StoreKeys::progressOf(jobId(job)); }

    TimePoint readableSince{};
};

class JobRetentionByClocks : public JobRetention, public testing::WithParamInterface<Scene>
{};

// Guards against the LOST of an independent review: a leader that had started while its machine's
// time of day was behind stamped the end of a job, which the next one forgot too early.
TEST_P(JobRetentionByClocks, FinishedJobIsReadableForItsRetentionWhateverTheTimeOfDay)
{
    const auto &[errorAtEnd, errorAfterwards, change] = GetParam();
    this->setClocks(errorAtEnd);
    this->finishJob();
    this->cluster.run(seconds(2));
    this->setClocks(errorAfterwards);
    this->carryOut(change);
    this->expectReadableUntil(withinRetention);
    EXPECT_LT(this->runUntilForgotten(retention + 2 * changeTime), retention + changeTime);
}

INSTANTIATE_TEST_SUITE_P(
    Errors, JobRetentionByClocks,
    testing::Combine(testing::Values<Duration>(-std::chrono::hours(1), -milliseconds(2400),
                                               Duration{}, milliseconds(2400),
                                               std::chrono::hours(1)),
                     testing::Values<Duration>(-std::chrono::hours(1), -milliseconds(2400),
                                               Duration{}, milliseconds(2400),
                                               std::chrono::hours(1)),
                     testing::Values(Change::None, Change::LeaderKilled, Change::AllReplaced,
                                     Change::AllReplacedAndHistoryGone)));

TEST_F(JobRetention, LeadersThatChangeOftenForgetFinishedJobsAllTheSame)
{
    this->finishJob();
    while (this->readableFor() < withinRetention) {
        this->expectReadableUntil(std::min(withinRetention, this->readableFor() + seconds(20)));
        this->killLeader();
    }
    while (this->cluster.isCompleted(jobId(job)) && this->readableFor() < 3 * retention) {
        this->cluster.run(seconds(20));
        this->killLeader();
    }
    EXPECT_LT(this->readableFor(), 2 * retention);
}

// Guards against a job that is forgotten before its final state was ever stored, since the store
// was down for longer than the retention.
TEST_F(JobRetention, JobThatEndedWhileTheStoreWasDownIsReadableAfterwards)
{
    this->accept(job, jobBody("1000", 1, 1));
    this->cluster.run(milliseconds(500));
    this->cluster.store.failFor(retention + seconds(10));
    this->cluster.run(retention + seconds(20));
    ASSERT_TRUE(this->cluster.isCompleted(jobId(job)));
    this->readableSince = this->cluster.clock.now();
    this->expectReadableUntil(retention - seconds(20));
}

TEST_F(JobRetention, RecordOfAnEarlierVersionIsKeptForItsRetention)
{
    this->finishJob();
    nlohmann::json record
        = nlohmann::json::parse(this->cluster.store.find(this->recordKey())->value);
    ASSERT_EQ(record.erase("finalSince"), 1U);
    record["endedAt"] = 1; // As by a leader whose clock had just begun in 1970.
    this->replaceAll();
    const std::string leading = this->cluster.leader();
    this->cluster.store.put(this->recordKey(), record.dump());
    this->cluster.killInstance(leading);
    this->cluster.run(seconds(3));
    this->readableSince = this->cluster.clock.now();
    this->expectReadableUntil(withinRetention - seconds(3));
    EXPECT_LT(this->runUntilForgotten(2 * retention), retention + seconds(1));
}

TEST_F(JobRetention, UnreadableTermTimeKeepsJobsForLonger)
{
    this->finishJob();
    this->cluster.run(seconds(60));
    this->cluster.store.put(StoreKeys::termTime, "damaged");
    this->killLeader();
    const RecordingEventLogger &log = this->cluster.instances.at(this->cluster.leader())->logger;
    EXPECT_EQ(log.count("term time can't be read"), 1U);
    this->expectReadableUntil(withinRetention);
    EXPECT_LT(this->runUntilForgotten(3 * retention), 2 * retention);
    EXPECT_NE(this->cluster.store.find(StoreKeys::termTime)->value, "damaged");
}

TEST_F(JobRetention, RemovalIsLoggedOnceWithTheTimeThatTheJobWasKept)
{
    this->finishJob();
    this->runUntilForgotten(2 * retention);
    this->cluster.run(seconds(1));
    const RecordingEventLogger &log = this->cluster.instances.at(this->cluster.leader())->logger;
    EXPECT_EQ(log.count("finished job forgotten"), 1U);
}

} // namespace Hibiscus::Coordination::Test
