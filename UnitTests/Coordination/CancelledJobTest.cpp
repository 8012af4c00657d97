#include "ClusterTest.h"

#include <Coordination/StoreKeys.h>

// Cancellations of jobs whose acceptance is still on its way to the store, or never was. A caller
// that was told "no such job" relies on it that nothing of the job runs from then on.
namespace Hibiscus::Coordination::Test {

using Tasks::JobState;

namespace {

constexpr std::uint32_t job = 77;
/// Longer than a held-up commit is late and the job runs.
constexpr Duration settlingTime = seconds(8);
/// Longer than a leader keeps what it no longer needs in the store.
constexpr Duration retention = seconds(250);

using Reply = std::shared_ptr<std::optional<ClientReply>>;

} // namespace

class CancelledJob : public ClusterTest
{
protected:
    CancelledJob()
        : ClusterTest(3, 4)
    {}

    void SetUp() override
    {
        this->leading = this->cluster.leader();
        this->cut = this->follower();
        for (const auto &[name, instance] : this->cluster.instances) {
            if (name != this->leading && name != this->cut)
                this->healthy = name;
        }
    }

    /// Submits the job at the instance that is cut off; its acceptance is executed two seconds
    /// later, unless a condition of it has ceased to hold.
    void submitHeldUp()
    {
        this->cluster.store.behaviors[this->cut] = StoreBehavior::ExecutesCommitsLate;
        EXPECT_EQ(this->submitAt(this->cut), ReplyKind::Undecided);
        this->cluster.store.behaviors.clear();
    }

    ReplyKind submitAt(const std::string &instance)
    {
        return kindOf(this->cluster.submit(instance, jobId(job), jobBody("3000", 2, 1)));
    }

    ReplyKind cancelAt(const std::string &instance)
    {
        return kindOf(this->cluster.cancel(instance, jobId(job)));
    }

    ReplyKind callWithKey(CallVerb verb, const std::string &prefix, const std::string &key)
    {
        return kindOf(this->cluster.call(this->healthy,
                                         {.verb = verb,
                                          .path = prefix + jobId(job),
                                          .key = key,
                                          .body = jobBody("3000", 2, 1)}));
    }

    /// Makes a call without waiting for its reply.
    Reply send(const std::string &instance, CallVerb verb)
    {
        auto reply = std::make_shared<std::optional<ClientReply>>();
        const TimePoint now = this->cluster.clock.now();
        this->cluster.instances.at(instance)->jobApi->handle(
            {.verb = verb,
             .host = "jobs.example",
             .path = "/p1/" + jobId(job),
             .key = "key-1",
             .body = jobBody("3000", 2, 1),
             .deadline = now + seconds(3)},
            [reply](const ClientReply &answer) { *reply = answer; }, now);
        return reply;
    }

    void expectNothingRuns()
    {
        this->cluster.run(settlingTime);
        EXPECT_EQ(this->cluster.workers.startsOf(jobId(job)), 0U);
        const std::optional<ClientReply> state = this->cluster.state(this->healthy, jobId(job));
        EXPECT_EQ(kindOf(state), ReplyKind::NoSuchJob);
    }

    std::size_t storedJobKeys() const
    {
        return this->cluster.store.itemsWithPrefix(StoreKeys::jobs).size();
    }

    static ReplyKind kindOf(const std::optional<ClientReply> &reply)
    {
        EXPECT_TRUE(reply);
        return reply ? reply->kind : ReplyKind::Malformed;
    }

    std::string leading; ///< The leader at the start of the test.
    std::string cut; ///< A follower.
    std::string healthy; ///< Another follower.
};

// Guards against a job that runs after its cancelling: the cancelling left nothing under the job's
// key, so that an acceptance which a partition had held up was carried out.
TEST_F(CancelledJob, HeldUpAcceptanceIsNotCarriedOutAfterItsCancelling)
{
    this->submitHeldUp();
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::NoSuchJob);
    this->expectNothingRuns();
}

TEST_F(CancelledJob, AcceptanceBetweenReadAndWriteOfItsCancellingIsCancelled)
{
    // The cancelling reads the job's key after 300 ms and writes after 900 ms.
    this->cluster.store.instanceLatencies[this->cut] = milliseconds(300);
    const Reply cancelled = this->send(this->cut, CallVerb::Cancel);
    this->cluster.run(milliseconds(650));
    EXPECT_EQ(this->submitAt(this->healthy), ReplyKind::Accepted);
    this->cluster.run(settlingTime);
    EXPECT_EQ(kindOf(*cancelled), ReplyKind::Cancelled);
    const std::optional<ClientReply> state = this->cluster.state(this->healthy, jobId(job));
    ASSERT_TRUE(state);
    EXPECT_EQ(state->state, JobState::Cancelled);
}

TEST_F(CancelledJob, CancellingWhoseWriteIsUnansweredIsUndecidedAndTakesEffectLate)
{
    this->cluster.store.behaviors[this->cut] = StoreBehavior::ExecutesCommitsLate;
    EXPECT_EQ(this->cancelAt(this->cut), ReplyKind::Undecided);
    this->cluster.store.behaviors.clear();
    this->cluster.run(seconds(3));
    EXPECT_EQ(this->submitAt(this->healthy), ReplyKind::NotRun);
    this->expectNothingRuns();
}

TEST_F(CancelledJob, CancellingWhoseWriteWasStoredWithoutAnAnswerIsAcknowledged)
{
    this->submitHeldUp();
    this->cluster.store.behaviors[this->healthy] = StoreBehavior::LosesCommitAnswers;
    this->cluster.run(milliseconds(1));
    if (this->cluster.store.commits % 2 != 1)
        this->cluster.store.commits++; // The next commit is unanswered.
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::NoSuchJob);
    this->cluster.store.behaviors.clear();
    this->expectNothingRuns();
}

TEST_F(CancelledJob, CancellingThatTheStoreRefusesIsNotAcknowledged)
{
    this->cluster.store.maxValueBytes = 1;
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::Unavailable);
    this->cluster.store.maxValueBytes = 0;
    EXPECT_EQ(this->submitAt(this->healthy), ReplyKind::Accepted);
}

TEST_F(CancelledJob, TwoCancellingsAtTwoInstancesAreBothAcknowledged)
{
    this->submitHeldUp();
    const Reply first = this->send(this->healthy, CallVerb::Cancel);
    const Reply second = this->send(this->leading, CallVerb::Cancel);
    this->cluster.run(seconds(1));
    EXPECT_EQ(kindOf(*first), ReplyKind::NoSuchJob);
    EXPECT_EQ(kindOf(*second), ReplyKind::NoSuchJob);
    this->expectNothingRuns();
}

TEST_F(CancelledJob, SubmissionThatArrivesAgainAfterItsCancellingDoesNotRun)
{
    this->submitHeldUp();
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::NoSuchJob);
    EXPECT_EQ(this->submitAt(this->leading), ReplyKind::NotRun);
    this->cluster.run(seconds(3));
    EXPECT_EQ(this->submitAt(this->cut), ReplyKind::NotRun);
    this->expectNothingRuns();
}

// A refused job that is handed in again may be on its way too: it replaces the refusal.
TEST_F(CancelledJob, HeldUpResubmissionOfARefusedJobIsNotCarriedOutAfterItsCancelling)
{
    this->cluster.store.put(StoreKeys::job(jobId(job)), R"({"record":1,"refused":true})");
    this->cluster.store.instanceLatencies[this->cut] = milliseconds(50);
    const Reply submitted = this->send(this->cut, CallVerb::Submit);
    // The first commit meets the refusal, the second one, which replaces it, is held up.
    this->cluster.run(milliseconds(120));
    this->cluster.store.behaviors[this->cut] = StoreBehavior::ExecutesCommitsLate;
    this->cluster.run(milliseconds(300));
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::NoSuchJob);
    this->cluster.run(seconds(2));
    this->cluster.store.behaviors.clear();
    EXPECT_EQ(kindOf(*submitted), ReplyKind::Undecided);
    EXPECT_EQ(this->submitAt(this->leading), ReplyKind::NotRun);
    this->expectNothingRuns();
}

TEST_F(CancelledJob, CancellingHoldsForTheNextLeader)
{
    this->submitHeldUp();
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::NoSuchJob);
    this->cluster.killInstance(this->leading);
    this->expectNothingRuns();
    EXPECT_EQ(this->submitAt(this->cut), ReplyKind::NotRun);
}

TEST_F(CancelledJob, CancellingHoldsAfterAllInstancesHaveEndedAndTheHistoryIsCompacted)
{
    this->submitHeldUp();
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::NoSuchJob);
    for (const std::string &name : {this->leading, this->cut, this->healthy})
        this->cluster.killInstance(name);
    this->cluster.store.compactHistory();
    for (const std::string &name : {this->leading, this->cut, this->healthy})
        this->cluster.startInstance(name);
    this->expectNothingRuns();
    this->cluster.store.compactHistory();
    EXPECT_EQ(this->submitAt(this->cut), ReplyKind::NotRun);
    this->expectNothingRuns();
}

TEST_F(CancelledJob, CancellationsOfUnknownJobsLeaveTheStoreAfterTheRetention)
{
    for (std::uint32_t i = 0; i < 18; i++)
        this->cluster.cancel(this->healthy, jobId(i));
    EXPECT_EQ(this->storedJobKeys(), 18U);
    this->cluster.run(seconds(110));
    EXPECT_EQ(this->storedJobKeys(), 18U);
    this->cluster.run(retention);
    EXPECT_EQ(this->storedJobKeys(), 0U);
    EXPECT_EQ(this->submitAt(this->healthy), ReplyKind::Accepted);
}

TEST_F(CancelledJob, CancellingOfAnotherCustomerDoesNotKeepAJobFromRunning)
{
    EXPECT_EQ(this->callWithKey(CallVerb::Cancel, "/p1/", schoolsKey), ReplyKind::NoSuchJob);
    EXPECT_EQ(this->submitAt(this->leading), ReplyKind::Accepted);
    this->cluster.run(settlingTime);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(job)));
}

TEST_F(CancelledJob, CancellingWithoutAKeyDoesNotKeepAJobOfAnotherQueueFromRunning)
{
    EXPECT_EQ(this->callWithKey(CallVerb::Cancel, "/open/", ""), ReplyKind::NoSuchJob);
    EXPECT_EQ(this->submitAt(this->leading), ReplyKind::Accepted);
    this->cluster.run(settlingTime);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(job)));
}

TEST_F(CancelledJob, CancellingHoldsBesideThatOfAnotherCustomer)
{
    this->submitHeldUp();
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::NoSuchJob);
    EXPECT_EQ(this->callWithKey(CallVerb::Cancel, "/p1/", schoolsKey), ReplyKind::NoSuchJob);
    EXPECT_EQ(this->submitAt(this->leading), ReplyKind::NotRun);
    EXPECT_EQ(this->callWithKey(CallVerb::Submit, "/p1/", schoolsKey), ReplyKind::NotRun);
    this->expectNothingRuns();
}

// Guards against a cancellation that is carried out after its job was removed from the store: it
// stayed there for good, where the next leader would apply it to a new job with the same id.
TEST_F(CancelledJob, LateCancellationIsNotCarriedOutAfterItsJobWasRemoved)
{
    this->accept(job, jobBody("500", 1, 1));
    // The job is removed from the store 120 s after its end.
    this->cluster.run(seconds(119));
    EXPECT_EQ(this->storedJobKeys(), 1U);
    this->cluster.store.behaviors[this->cut] = StoreBehavior::ExecutesCommitsLate;
    EXPECT_EQ(this->cancelAt(this->cut), ReplyKind::Undecided);
    this->cluster.store.behaviors.clear();
    this->cluster.run(settlingTime);
    EXPECT_EQ(this->storedJobKeys(), 0U);
}

// Guards against a removal that is sent twice, since its first answer is late, and takes what was
// stored under the id in the meantime.
TEST_F(CancelledJob, NewJobIsKeptWhileTheRemovalOfAnEarlierOneWithItsIdIsUnanswered)
{
    this->accept(job, jobBody("500", 1, 1000)); // Fits on no worker.
    const Reply cancelled = this->send(this->healthy, CallVerb::Cancel);
    this->cluster.run(seconds(119));
    EXPECT_EQ(kindOf(*cancelled), ReplyKind::Cancelled);
    // Answers to the leader take longer than its ticks.
    this->cluster.store.instanceLatencies[this->leading] = milliseconds(200);
    for (int step = 0; step < 300 && this->storedJobKeys() > 0; step++)
        this->cluster.run(milliseconds(10));
    ASSERT_EQ(this->storedJobKeys(), 0U);
    EXPECT_EQ(this->submitAt(this->healthy), ReplyKind::Accepted);
    this->cluster.run(settlingTime);
    EXPECT_TRUE(this->cluster.isCompleted(jobId(job)));
}

TEST_F(CancelledJob, CustomerThatCancelsManyUnknownJobsIsTurnedAwayAndOthersAreServed)
{
    std::size_t turnedAway = 0;
    for (std::uint32_t i = 0; i < 300; i++) {
        const std::optional<ClientReply> reply = this->cluster.call(
            this->healthy,
            {.verb = CallVerb::Cancel, .path = "/p1/" + jobId(1000 + i), .key = schoolsKey});
        if (kindOf(reply) != ReplyKind::Unavailable)
            continue;
        turnedAway++;
        EXPECT_GT(reply->retryAfter, Duration{});
    }
    EXPECT_GT(turnedAway, 250U);
    EXPECT_EQ(this->storedJobKeys(), 300U - turnedAway);
    const RecordingEventLogger &logger = this->cluster.instances.at(this->healthy)->logger;
    EXPECT_GE(logger.count("limit of cancelled unknown jobs reached"), 1U);
    EXPECT_LE(logger.count("limit of cancelled unknown jobs reached"), 10U);
    // The other customer, and what is known already.
    EXPECT_EQ(this->cancelAt(this->healthy), ReplyKind::NoSuchJob);
    EXPECT_EQ(this->callWithKey(CallVerb::Cancel, "/p1/", "key-1"), ReplyKind::NoSuchJob);
    this->accept(1, jobBody("500", 1, 1));
    EXPECT_EQ(kindOf(this->cluster.cancel(this->healthy, jobId(1))), ReplyKind::Cancelled);
}

} // namespace Hibiscus::Coordination::Test
