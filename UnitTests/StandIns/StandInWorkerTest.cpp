#include <StandIns/StandInWorker.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

constexpr TimePoint start{seconds(1000)};

/// Sends the requests of one owner. Leases are long enough that they expire only when a test passes
/// a later time.
class StandInWorkerTest : public testing::Test
{
protected:
    StandInWorkerTest()
        : worker({.name = "w", .incarnation = "i", .slots = 4, .memoryMiB = 100})
    {
        this->acquire("owner", 1);
    }

    WorkerReply acquire(const std::string &owner, std::uint64_t epoch, TimePoint now = start)
    {
        return this->worker.execute(
            {.verb = WorkerVerb::Acquire, .owner = owner, .epoch = epoch, .ownerTerm = seconds(10)},
            now);
    }

    WorkerReply send(WorkerVerb verb, const std::string &task, SlotMask slots = 0,
                     TimePoint now = start)
    {
        WorkerRequest request = this->defaultRequest;
        request.verb = verb;
        request.task = task;
        request.slots = slots;
        return this->worker.execute(request, now);
    }

    std::vector<TaskReport> collect(std::uint64_t sequence, TimePoint now = start)
    {
        WorkerRequest request = this->defaultRequest;
        request.verb = WorkerVerb::Collect;
        request.sequence = sequence;
        return this->worker.execute(request, now).reports;
    }

    std::uint32_t startCount(const std::string &job)
    {
        const auto &counters = this->worker.runLog().jobCounters();
        const auto found = counters.find(job);
        return found == counters.end() ? 0 : found->second.starts;
    }

    StandInWorker worker;
    WorkerRequest defaultRequest{.owner = "owner",
                                 .epoch = 1,
                                 .memoryMiB = 10,
                                 .payload = "payload",
                                 .job = "job",
                                 .declaredRunTime = seconds(5),
                                 .ownerTerm = seconds(10),
                                 .taskTerm = seconds(20),
                                 .reserveTerm = seconds(3)};
};

TEST_F(StandInWorkerTest, AcquireNeedsAHigherEpochAndNoValidLeaseOfAnotherOwner)
{
    EXPECT_EQ(this->acquire("owner", 1).status, WorkerStatus::Stale);
    const WorkerReply early = this->acquire("other", 2, start + seconds(4));
    EXPECT_EQ(early.status, WorkerStatus::Stale);
    EXPECT_EQ(early.epoch, 1U);
    EXPECT_EQ(early.ownerLeaseLeft, seconds(6));
    EXPECT_EQ(this->acquire("owner", 2, start + seconds(4)).status, WorkerStatus::Ok);
    EXPECT_EQ(this->acquire("other", 3, start + seconds(13)).status, WorkerStatus::Stale);
    EXPECT_EQ(this->acquire("other", 2, start + seconds(14)).status, WorkerStatus::Stale);
    EXPECT_EQ(this->acquire("other", 3, start + seconds(14)).status, WorkerStatus::Ok);
}

TEST_F(StandInWorkerTest, OwnerIsRefusedOnceAnotherOwnerHasAcquired)
{
    this->send(WorkerVerb::Start, "t", 1);
    EXPECT_EQ(this->send(WorkerVerb::Renew, "", 0, start + seconds(11)).status, WorkerStatus::Ok);
    ASSERT_EQ(this->acquire("other", 2, start + seconds(21)).status, WorkerStatus::Ok);
    for (int verb = 1; verb < 10; ++verb)
        EXPECT_EQ(this->send(static_cast<WorkerVerb>(verb), "t2", 2, start + seconds(21)).status,
                  WorkerStatus::Stale)
            << verb;
    EXPECT_EQ(this->startCount("job"), 1U);
}

TEST_F(StandInWorkerTest, ReleasedWorkerCanBeAcquiredAtOnceAndItsTasksContinue)
{
    this->send(WorkerVerb::Start, "t", 1);
    EXPECT_EQ(this->send(WorkerVerb::Release, "").status, WorkerStatus::Ok);
    EXPECT_EQ(this->send(WorkerVerb::Start, "t2", 2).status, WorkerStatus::Stale);
    const WorkerReply acquired = this->acquire("other", 2);
    ASSERT_EQ(acquired.status, WorkerStatus::Ok);
    ASSERT_EQ(acquired.reports.size(), 1U);
    EXPECT_EQ(acquired.reports[0].state, TaskState::Running);
}

TEST_F(StandInWorkerTest, NoTaskIdStartsTwiceInAnyState)
{
    this->send(WorkerVerb::Start, "running", 1);
    this->send(WorkerVerb::Start, "stopped", 2);
    this->send(WorkerVerb::Stop, "stopped");
    for (const char *const task : {"running", "stopped"}) {
        const WorkerReply again = this->send(WorkerVerb::Start, task, 4);
        EXPECT_EQ(again.status, WorkerStatus::Seen);
        EXPECT_EQ(again.reports.at(0).task, task);
        EXPECT_EQ(this->send(WorkerVerb::Reserve, task, 4).status, WorkerStatus::Seen);
    }
    const TimePoint done = start + seconds(5);
    EXPECT_EQ(this->send(WorkerVerb::Start, "running", 4, done).reports.at(0).state,
              TaskState::Done);
    WorkerRequest acknowledge = this->defaultRequest;
    acknowledge.verb = WorkerVerb::Acknowledge;
    acknowledge.sequence = 100;
    this->worker.execute(acknowledge, done);
    EXPECT_EQ(this->send(WorkerVerb::Start, "running", 4, done).status, WorkerStatus::Seen);
    EXPECT_EQ(this->startCount("job"), 2U);
}

TEST_F(StandInWorkerTest, TaskThatIsStoppedBeforeItsStartNeverRuns)
{
    const WorkerReply unknown = this->send(WorkerVerb::Stop, "late");
    EXPECT_EQ(unknown.status, WorkerStatus::Ok);
    EXPECT_EQ(unknown.reports.at(0).state, TaskState::NeverStarted);
    this->send(WorkerVerb::Reserve, "reserved", 1);
    EXPECT_EQ(this->send(WorkerVerb::Stop, "reserved").reports.at(0).state,
              TaskState::NeverStarted);
    for (const char *const task : {"late", "reserved"}) {
        const WorkerReply reply = this->send(WorkerVerb::Start, task, 1);
        EXPECT_EQ(reply.status, WorkerStatus::Seen);
        EXPECT_EQ(reply.reports.at(0).state, TaskState::NeverStarted);
    }
    EXPECT_EQ(this->startCount("job"), 0U);
}

TEST_F(StandInWorkerTest, ReservationHoldsItsSlotsUntilItIsStartedOrExpires)
{
    EXPECT_EQ(this->send(WorkerVerb::Reserve, "a", 0b0011).status, WorkerStatus::Ok);
    EXPECT_EQ(this->send(WorkerVerb::Start, "b", 0b0010).status, WorkerStatus::Full);
    EXPECT_EQ(this->send(WorkerVerb::Start, "a", 0b0011).status, WorkerStatus::Ok);
    this->send(WorkerVerb::Reserve, "c", 0b1100);
    // Renew extends the leases of running tasks, not those of reservations.
    this->send(WorkerVerb::Renew, "", 0, start + seconds(2));
    const WorkerReply lapsed = this->send(WorkerVerb::Start, "c", 0b1100, start + seconds(3));
    EXPECT_EQ(lapsed.status, WorkerStatus::Seen);
    EXPECT_EQ(lapsed.reports.at(0).state, TaskState::NeverStarted);
    EXPECT_EQ(this->send(WorkerVerb::Start, "b", 0b1100, start + seconds(3)).status,
              WorkerStatus::Ok);
}

TEST_F(StandInWorkerTest, RequestThatDoesNotFitIsRefusedWithoutEffect)
{
    EXPECT_EQ(this->send(WorkerVerb::Start, "a", 0b10000).status, WorkerStatus::Full);
    EXPECT_EQ(this->send(WorkerVerb::Start, "a", 0).status, WorkerStatus::Full);
    this->defaultRequest.memoryMiB = 60;
    EXPECT_EQ(this->send(WorkerVerb::Start, "b", 1).status, WorkerStatus::Ok);
    EXPECT_EQ(this->send(WorkerVerb::Reserve, "a", 2).status, WorkerStatus::Full);
    this->defaultRequest.memoryMiB = 40;
    EXPECT_EQ(this->send(WorkerVerb::Start, "a", 2).status, WorkerStatus::Ok);
}

TEST_F(StandInWorkerTest, TaskWhoseLeaseExpiresIsStopped)
{
    this->defaultRequest.declaredRunTime = seconds(100);
    this->send(WorkerVerb::Start, "kept", 1);
    this->send(WorkerVerb::Renew, "", 0, start + seconds(19));
    this->send(WorkerVerb::Start, "left", 2, start + seconds(30));
    const auto reports = this->collect(0, start + seconds(39));
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_EQ(reports[0].task, "left");
    EXPECT_EQ(reports[0].state, TaskState::Running);
    EXPECT_EQ(reports[1].task, "kept");
    EXPECT_EQ(reports[1].state, TaskState::Stopped);
}

TEST_F(StandInWorkerTest, PayloadSetsRunTimeAndFailureAndIsReturnedInTheResult)
{
    this->defaultRequest.payload = R"({"runMs":7,"fail":true})";
    this->send(WorkerVerb::Start, "t", 1);
    EXPECT_EQ(this->collect(0, start + milliseconds(6)).at(0).state, TaskState::Running);
    const TaskReport report = this->collect(0, start + milliseconds(7)).at(0);
    EXPECT_EQ(report.state, TaskState::Failed);
    EXPECT_EQ(report.result,
              R"({"echo":"{\"runMs\":7,\"fail\":true}",)"
              R"("error":"failed as ordered","task":"t","worker":"w"})");
}

TEST_F(StandInWorkerTest, ResultsAreKeptUntilAcknowledged)
{
    this->send(WorkerVerb::Start, "done", 1);
    const TimePoint later = start + seconds(5);
    const TaskReport report = this->collect(1, later).at(0);
    EXPECT_FALSE(report.result.empty());
    EXPECT_EQ(this->collect(1, later), std::vector{report});
    EXPECT_TRUE(this->collect(report.sequence, later).empty());
    this->send(WorkerVerb::Start, "running", 1, later);

    WorkerRequest acknowledge = this->defaultRequest;
    acknowledge.verb = WorkerVerb::Acknowledge;
    acknowledge.sequence = report.sequence + 1;
    this->worker.execute(acknowledge, later);
    // The running task is still reported to the next owner.
    const auto reports = this->acquire("owner", 2, later).reports;
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].task, "running");
}

TEST_F(StandInWorkerTest, CheckpointEndsATaskAndThrottleSlowsATaskOnce)
{
    this->send(WorkerVerb::Start, "saved", 1);
    this->send(WorkerVerb::Start, "slow", 2);
    EXPECT_EQ(this->send(WorkerVerb::Checkpoint, "saved").reports.at(0).state,
              TaskState::Checkpointed);
    this->send(WorkerVerb::Throttle, "slow");
    this->send(WorkerVerb::Throttle, "slow", 0, start + seconds(5));
    EXPECT_EQ(this->collect(3, start + seconds(19)).size(), 0U);
    EXPECT_EQ(this->collect(3, start + seconds(20)).at(0).state, TaskState::Done);
    EXPECT_EQ(this->send(WorkerVerb::Checkpoint, "none").status, WorkerStatus::UnknownTask);
}

TEST_F(StandInWorkerTest, RunsOfAJobAreCountedOverAllItsTasks)
{
    this->defaultRequest.job = R"({"key":"htns/7","part":0})";
    this->send(WorkerVerb::Start, "a", 0b0011);
    this->defaultRequest.job = R"({"key":"htns/7","part":1})";
    this->send(WorkerVerb::Start, "b", 0b0100);
    this->send(WorkerVerb::Stop, "a");
    const JobRunCounters &counters = this->worker.runLog().jobCounters().at("htns/7");
    EXPECT_EQ(counters.starts, 2U);
    EXPECT_EQ(counters.runningSlots, 1U);
    EXPECT_EQ(counters.mostTasks, 2U);
    EXPECT_EQ(counters.mostSlots, 3U);
    EXPECT_EQ(this->worker.runLog().takeLines().size(), 3U);
    EXPECT_TRUE(this->worker.runLog().takeLines().empty());
}

TEST_F(StandInWorkerTest, LoadIsReportedOneSampleLate)
{
    this->send(WorkerVerb::Start, "a", 0b0011, start);
    const auto loadAt
        = [&](Duration after) { return this->send(WorkerVerb::Renew, "", 0, start + after).load; };
    EXPECT_EQ(loadAt(milliseconds(900)), 0.0);
    EXPECT_EQ(loadAt(milliseconds(1000)), 0.0);
    EXPECT_EQ(loadAt(milliseconds(2000)), 0.5);
}

TEST_F(StandInWorkerTest, FailEverythingFailsEachTaskAtItsStart)
{
    this->worker.setFaults({.failEverything = true});
    EXPECT_EQ(this->send(WorkerVerb::Start, "t", 1).status, WorkerStatus::Ok);
    EXPECT_EQ(this->collect(0).at(0).state, TaskState::Failed);
}

TEST_F(StandInWorkerTest, HangingTaskEndsOnlyWhenItsLeaseExpires)
{
    this->worker.setFaults({.hang = true});
    this->send(WorkerVerb::Start, "t", 1);
    EXPECT_EQ(this->collect(0, start + seconds(19)).at(0).state, TaskState::Running);
    EXPECT_EQ(this->collect(0, start + seconds(20)).at(0).state, TaskState::Stopped);
}

TEST_F(StandInWorkerTest, RequestWhoseReplyIsLostTakesEffect)
{
    this->worker.setFaults({.loseAnswers = 1});
    EXPECT_EQ(this->collect(0).size(), 0U);
    EXPECT_EQ(this->send(WorkerVerb::Start, "t", 1), WorkerReply{});
    EXPECT_EQ(this->send(WorkerVerb::Start, "t", 1).status, WorkerStatus::Seen);
}

TEST_F(StandInWorkerTest, DelayedReportsDelayLaterReportsToo)
{
    this->worker.setFaults({.lateMs = 1000});
    this->send(WorkerVerb::Start, "a", 1);
    this->worker.setFaults({});
    this->send(WorkerVerb::Start, "b", 2);
    EXPECT_TRUE(this->collect(0, start + milliseconds(999)).empty());
    EXPECT_EQ(this->worker.nextEvent(start), start + seconds(1));
    EXPECT_EQ(this->collect(0, start + seconds(1)).size(), 2U);
}

TEST_F(StandInWorkerTest, CrossedReportsAreReturnedLatestFirst)
{
    this->send(WorkerVerb::Start, "a", 1);
    this->send(WorkerVerb::Start, "b", 2);
    this->worker.setFaults({.crossed = true});
    const auto reports = this->collect(0);
    ASSERT_EQ(reports.size(), 2U);
    EXPECT_EQ(reports[0].task, "b");
    EXPECT_EQ(reports[1].task, "a");
}

TEST_F(StandInWorkerTest, LeavingWorkerStartsReservedTasksAndAcceptsNoNewOnes)
{
    this->send(WorkerVerb::Reserve, "reserved", 1);
    this->worker.setFaults({.leaving = true});
    EXPECT_EQ(this->send(WorkerVerb::Start, "new", 2).status, WorkerStatus::Leaving);
    EXPECT_EQ(this->send(WorkerVerb::Reserve, "new", 2).status, WorkerStatus::Leaving);
    EXPECT_EQ(this->send(WorkerVerb::Start, "reserved", 1).status, WorkerStatus::Ok);
}

} // namespace
} // namespace Hibiscus
