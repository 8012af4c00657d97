// Compares the transcripts of whole sessions between callers, operators, instances, store and
// workers byte for byte with the files in golden/. SESSIONS_REGENERATE=1 rewrites the files; review
// the difference before committing it.

#include <Sessions/SimulatedCluster.h>

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace Hibiscus {
namespace {

constexpr Duration answerLimit = seconds(30);

JobSpec makeJob(const std::string &requestId, bool idempotent, std::uint16_t accelerators = 1)
{
    JobSpec spec;
    spec.requestId = requestId;
    spec.customer = "parks";
    spec.caller = "key";
    spec.kind = "planning";
    spec.idempotent = idempotent;
    spec.accelerators = accelerators;
    spec.declaredRunTime = milliseconds(400);
    spec.payload = "{\"ticket\":\"" + requestId + "\"}";
    return spec;
}

Customer makeCustomer(const std::string &name)
{
    Customer customer;
    customer.name = name;
    return customer;
}

/// One golden session: a configured simulated cluster and its transcript since the configuration.
class Session
{
public:
    explicit Session(const SimulatedCluster::Settings &settings)
        : cluster(settings)
    {
        this->cluster.configure({makeCustomer("parks"), makeCustomer("spa")});
        this->start = this->cluster.now();
        this->cluster.messageObserver
            = [this](const std::string &from, const std::string &to, const std::string &text) {
                  const auto since
                      = std::chrono::duration_cast<milliseconds>(this->cluster.now() - this->start);
                  this->transcript << since.count() << " ms " << from << " -> " << to << ": "
                                   << text << '\n';
              };
    }

    JobAnswer submit(const std::string &instance, const JobSpec &spec, bool wait,
                     bool retry = false)
    {
        return this->await(this->cluster.submit(instance, spec, wait, retry));
    }

    JobAnswer await(CallId call)
    {
        this->cluster.runUntil([&] { return this->cluster.answer(call).has_value(); },
                               answerLimit + seconds(60));
        const auto answered = this->cluster.answer(call);
        return answered ? answered->answer : JobAnswer{};
    }

    ChangeReply change(const std::string &instance, const ConfigChange &change)
    {
        const CallId call = this->cluster.change(instance, change);
        this->cluster.runUntil([&] { return this->cluster.changeReply(call).has_value(); },
                               answerLimit);
        return this->cluster.changeReply(call).value_or(ChangeReply{});
    }

    void run(Duration duration) { this->cluster.run(duration); }

    /// Returns the instance that dispatches for a data centre.
    std::string dispatcher(const std::string &dataCenter)
    {
        for (const char *name : {"entry-a0", "entry-a1", "entry-b0", "entry-b1"}) {
            if (!this->cluster.isAlive(name))
                continue;
            for (const auto &each :
                 this->cluster.machine(name)->status(this->cluster.now()).dispatchers) {
                if (each.dataCenter == dataCenter)
                    return name;
            }
        }
        return {};
    }

    /// Returns the instance that keeps a job's shard.
    std::string keeper(const std::string &key)
    {
        const std::uint32_t shard = JobKeeper::shardOf(key, 2);
        for (const char *name : {"entry-a0", "entry-a1", "entry-b0", "entry-b1"}) {
            const auto shards = this->cluster.machine(name)->status(this->cluster.now()).shards;
            if (std::find(shards.begin(), shards.end(), shard) != shards.end())
                return name;
        }
        return {};
    }

    std::string text() const { return this->transcript.str(); }

    SimulatedCluster cluster;

private:
    TimePoint start{};
    std::ostringstream transcript;
};

void compareWithFile(const std::string &name, const std::string &text)
{
    const std::string path = std::string(SESSIONS_FOLDER) + "/golden/" + name + ".txt";
    if (std::getenv("SESSIONS_REGENERATE") != nullptr) {
        std::ofstream(path) << text;
        return;
    }
    std::ostringstream expected;
    expected << std::ifstream(path).rdbuf();
    EXPECT_EQ(text, expected.str()) << path;
}

class Golden : public ::testing::Test
{
protected:
    Golden()
        : session(SimulatedCluster::twoDataCenters(2, 2))
    {}

    void TearDown() override
    {
        const auto *info = ::testing::UnitTest::GetInstance()->current_test_info();
        compareWithFile(info->name(), this->session.text());
    }

    Session session;
};

TEST_F(Golden, WaitingCallReceivesItsFullResult)
{
    const JobAnswer answer = this->session.submit("entry-a0", makeJob("r1", true), true);
    EXPECT_EQ(answer.status, JobStatus::Done);
    EXPECT_NE(answer.result.find("r1"), std::string::npos);
}

TEST_F(Golden, NonIdempotentJobRunsOnceWhenResubmittedElsewhere)
{
    const JobSpec spec = makeJob("r1", false);
    const JobAnswer first = this->session.submit("entry-a0", spec, true);
    EXPECT_EQ(first.status, JobStatus::Done);
    EXPECT_EQ(this->session.submit("entry-b1", spec, true, true), first);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 1U);
}

TEST_F(Golden, NonWaitingSubmissionIsAcceptedAfterItIsRecorded)
{
    EXPECT_EQ(this->session.submit("entry-a0", makeJob("r1", true), false).status,
              JobStatus::Accepted);
    this->session.run(seconds(2));
    const CallId poll = this->session.cluster.poll("entry-b0", "parks", "r1");
    EXPECT_EQ(this->session.await(poll).status, JobStatus::Done);
}

TEST_F(Golden, RequestIdOfAnotherRequestIsRefused)
{
    this->session.submit("entry-a0", makeJob("r1", false), true);
    JobSpec other = makeJob("r1", false);
    other.payload = "{\"ticket\":\"other\"}";
    const JobAnswer answer = this->session.submit("entry-a1", other, true);
    EXPECT_NE(answer.status, JobStatus::Accepted);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 1U);
}

TEST_F(Golden, JobThatCannotFitIsRefusedAsNotRun)
{
    const JobAnswer answer = this->session.submit("entry-a0", makeJob("r1", false, 64), true);
    EXPECT_EQ(answer.status, JobStatus::NotRun);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 0U);
}

TEST_F(Golden, RefusedRetryIsReportedAsUnknown)
{
    const JobAnswer answer = this->session.submit("entry-a0", makeJob("r1", false, 64), true, true);
    EXPECT_EQ(answer.status, JobStatus::Unknown);
}

TEST_F(Golden, CancelledQueuedRequestDoesNotRun)
{
    for (int i = 0; i < 2; ++i)
        this->session.cluster.submit("entry-a0", makeJob("g" + std::to_string(i), false, 16),
                                     false);
    this->session.run(milliseconds(100));
    const std::string waiting = this->session.cluster.startCount("parks/g0") == 0 ? "g0" : "g1";
    const CallId cancel = this->session.cluster.cancel("entry-a1", "parks", waiting);
    EXPECT_EQ(this->session.await(cancel).status, JobStatus::NotRun);
    this->session.run(seconds(2));
    EXPECT_EQ(this->session.cluster.startCount("parks/" + waiting), 0U);
}

TEST_F(Golden, CancelledRunningRequestIsStopped)
{
    JobSpec spec = makeJob("r1", false);
    spec.declaredRunTime = seconds(20);
    this->session.submit("entry-a0", spec, false);
    this->session.run(milliseconds(500));
    const CallId cancel = this->session.cluster.cancel("entry-b0", "parks", "r1");
    EXPECT_EQ(this->session.await(cancel).status, JobStatus::Cancelled);
}

TEST_F(Golden, GangStartsOnlyWhenAllMembersAreReserved)
{
    const JobAnswer answer = this->session.submit("entry-a0", makeJob("r1", false, 16), true);
    EXPECT_EQ(answer.status, JobStatus::Done);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 2U);
}

TEST_F(Golden, LostMemberStopsTheRestOfItsGang)
{
    JobSpec spec = makeJob("r1", false, 16);
    spec.declaredRunTime = seconds(20);
    const CallId call = this->session.cluster.submit("entry-a0", spec, true);
    this->session.run(milliseconds(500));
    this->session.cluster.killWorker("worker-a0");
    EXPECT_EQ(this->session.await(call).status, JobStatus::Failed);
}

TEST_F(Golden, IdempotentJobOfADeadWorkerRunsElsewhere)
{
    const CallId call = this->session.cluster.submit("entry-a0", makeJob("r1", true), true);
    this->session.run(milliseconds(200));
    this->session.cluster.killWorker("worker-a0");
    EXPECT_EQ(this->session.await(call).status, JobStatus::Done);
}

TEST_F(Golden, NonIdempotentJobOfAReplacedWorkerEndsAsOutcomeUnknown)
{
    JobSpec spec = makeJob("r1", false);
    spec.declaredRunTime = seconds(5);
    const CallId call = this->session.cluster.submit("entry-a0", spec, true);
    this->session.run(milliseconds(500));
    this->session.cluster.killWorker("worker-a0");
    this->session.cluster.restartWorker("worker-a0");
    EXPECT_EQ(this->session.await(call).status, JobStatus::OutcomeUnknown);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 1U);
}

TEST_F(Golden, RunningJobOfADeadDispatcherIsAdopted)
{
    JobSpec spec = makeJob("r1", false);
    spec.declaredRunTime = seconds(8);
    this->session.submit("entry-b0", spec, false);
    this->session.run(milliseconds(500));
    const std::string dispatcher = this->session.dispatcher("b");
    this->session.cluster.kill(dispatcher);
    this->session.run(seconds(15));
    const CallId poll = this->session.cluster.poll("entry-a0", "parks", "r1");
    EXPECT_EQ(this->session.await(poll).status, JobStatus::Done);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 1U);
}

TEST_F(Golden, ShardOfADeadKeeperIsTakenOver)
{
    JobSpec spec = makeJob("r1", false);
    spec.declaredRunTime = seconds(3);
    this->session.submit("entry-a0", spec, false);
    const std::string keeper = this->session.keeper("parks/r1");
    this->session.cluster.kill(keeper);
    this->session.run(seconds(12));
    const std::string other = keeper == "entry-b0" ? "entry-b1" : "entry-b0";
    const CallId poll = this->session.cluster.poll(other, "parks", "r1");
    EXPECT_EQ(this->session.await(poll).status, JobStatus::Done);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 1U);
}

TEST_F(Golden, PausedKeeperWritesNothingAfterItsSuccessor)
{
    const std::string keeper = this->session.keeper("parks/r1");
    this->session.cluster.pause(keeper);
    this->session.run(seconds(4));
    const std::string other = keeper == "entry-b0" ? "entry-b1" : "entry-b0";
    const CallId call = this->session.cluster.submit(other, makeJob("r1", false), true);
    this->session.run(seconds(2));
    this->session.cluster.resume(keeper);
    EXPECT_EQ(this->session.await(call).status, JobStatus::Done);
    this->session.run(seconds(3));
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 1U);
}

TEST_F(Golden, LostStoreReplyIsResolvedByReadingBack)
{
    this->session.cluster.loseStoreAnswers(1);
    const CallId call = this->session.cluster.submit("entry-a0", makeJob("r1", false), true);
    EXPECT_EQ(this->session.await(call).status, JobStatus::Done);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 1U);
}

TEST_F(Golden, IdempotentWaitingJobRunsWhileTheStoreIsDown)
{
    this->session.cluster.setStoreDown(true);
    const JobAnswer answer = this->session.submit("entry-a0", makeJob("r1", true), true);
    EXPECT_EQ(answer.status, JobStatus::Done);
}

TEST_F(Golden, UnrecordedJobDoesNotStartWhileTheStoreIsDown)
{
    this->session.cluster.setStoreDown(true);
    this->session.run(seconds(3));
    this->session.submit("entry-a0", makeJob("r1", false), true);
    EXPECT_EQ(this->session.cluster.startCount("parks/r1"), 0U);
}

TEST_F(Golden, OneOfTwoConcurrentChangesIsRefusedWithTheWinningRevision)
{
    const std::uint64_t revision
        = this->session.cluster.machine("entry-a0")->configuration().revision;
    Preset peak;
    peak.name = "peak";
    Preset quiet;
    quiet.name = "quiet";
    const CallId first
        = this->session.cluster.change("entry-a0", {"c1", "one", revision, PutPreset{peak}});
    const CallId second
        = this->session.cluster.change("entry-b0", {"c2", "two", revision, PutPreset{quiet}});
    this->session.run(seconds(3));
    const auto one = this->session.cluster.changeReply(first);
    const auto two = this->session.cluster.changeReply(second);
    ASSERT_TRUE(one && two);
    EXPECT_NE(one->status == ChangeStatus::Accepted, two->status == ChangeStatus::Accepted);
    EXPECT_EQ(one->revision, two->revision);
}

TEST_F(Golden, PresetSwitchReachesADataCenterPartitionedFromTheStore)
{
    Preset peak;
    peak.name = "peak";
    this->session.change("entry-a0", {"c1", "one", {}, PutPreset{peak}});
    this->session.cluster.partition("entry-b0", "store");
    this->session.cluster.partition("entry-b1", "store");
    this->session.change("entry-a0", {"c2", "one", {}, SwitchPreset{"peak"}});
    this->session.run(seconds(7));
    for (const char *name : {"entry-a0", "entry-a1", "entry-b0", "entry-b1"})
        EXPECT_EQ(this->session.cluster.machine(name)->configuration().presetInForce, "peak")
            << name;
}

TEST_F(Golden, ConflictingGuaranteesAreRefused)
{
    Customer greedy = makeCustomer("spa");
    greedy.guarantees["a"] = {0, 0, 0, 3, 0};
    const ChangeReply reply
        = this->session.change("entry-a0", {"c1", "one", {}, PutCustomer{greedy}});
    EXPECT_EQ(reply.status, ChangeStatus::Invalid);
    EXPECT_FALSE(reply.findings.isEmpty());
}

TEST_F(Golden, DrainedInstanceAnswersItsHeldCalls)
{
    JobSpec spec = makeJob("r1", true);
    spec.declaredRunTime = seconds(4);
    const CallId call = this->session.cluster.submit("entry-a0", spec, true);
    this->session.run(milliseconds(300));
    this->session.cluster.drain("entry-a0");
    EXPECT_EQ(this->session.await(call).status, JobStatus::Done);
    this->session.run(seconds(3));
    EXPECT_TRUE(this->session.cluster.machine("entry-a0")->isDrained(this->session.cluster.now()));
}

TEST_F(Golden, LeavingWorkerGetsNoNewJobsAfterThreeSeconds)
{
    this->session.cluster.setWorkerLeaving("worker-a0", true);
    this->session.run(seconds(3));
    for (int i = 0; i < 4; ++i) {
        const JobAnswer answer
            = this->session.submit("entry-a0", makeJob("r" + std::to_string(i), true), true);
        EXPECT_NE(answer.result.find("worker-a1"), std::string::npos) << answer.result;
    }
}

TEST_F(Golden, PartitionedDataCentersKeepServing)
{
    for (const char *one : {"entry-a0", "entry-a1"}) {
        for (const char *other : {"entry-b0", "entry-b1"})
            this->session.cluster.partition(one, other);
    }
    this->session.run(seconds(4));
    EXPECT_EQ(this->session.submit("entry-a0", makeJob("r1", true), true).status, JobStatus::Done);
    EXPECT_EQ(this->session.submit("entry-b0", makeJob("r2", true), true).status, JobStatus::Done);
}

} // namespace
} // namespace Hibiscus
