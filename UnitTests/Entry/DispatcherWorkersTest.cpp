#include "DispatcherHarness.h"

namespace Hibiscus::EntryTest {

namespace {

/// Leaves the first Start unanswered and returns the second one, which is not answered yet.
WorkerCall repeatUnansweredStart(DispatcherHarness &harness, bool idempotent)
{
    const WorkerCall first = harness.submit(idempotent);
    harness.answer(first, WorkerStatus::NoAnswer);
    harness.tickAfter(milliseconds(500));
    WorkerCall second = harness.take(WorkerVerb::Start).value_or(WorkerCall{});
    EXPECT_EQ(second.request.task, first.request.task);
    return second;
}

// The worker leaves the list while its lease is lost, so the dispatcher forgets the session that
// held the report back. The worker keeps a report until it is acknowledged, and its result with it.
TEST(DispatcherWorkersTest, ReportOfAWorkerListedAgainIsNotAcknowledgedBeforeItsOutcomeIsStored)
{
    DispatcherHarness harness;
    harness.acquireListedWorker();
    const WorkerCall start = harness.submit(false);
    harness.answer(start, WorkerStatus::Ok, {harness.report(start, 1, TaskState::Running)});
    harness.tickAfter(milliseconds(10));
    const TaskReport done = harness.report(start, 2, TaskState::Done);
    harness.answerNext(WorkerVerb::Collect, WorkerStatus::Ok, {done});
    ASSERT_TRUE(harness.finalAnswer());
    ASSERT_LT(harness.highestAcknowledged(), 2U);
    harness.loseLease();
    harness.unlist();
    harness.list();

    harness.tickAfter(milliseconds(10));
    harness.answerNext(WorkerVerb::Acquire, WorkerStatus::Stale, {}, 2);
    harness.tickAfter(milliseconds(300));
    harness.answerNext(WorkerVerb::Acquire, WorkerStatus::Ok, {done});
    for (int i = 0; i < 10; ++i)
        harness.tickAfter(milliseconds(100));
    EXPECT_LT(harness.highestAcknowledged(), 2U);

    harness.dispatcher.handleRecorded(harness.key, harness.now, harness.out);
    harness.tickAfter(milliseconds(100));
    EXPECT_EQ(harness.highestAcknowledged(), 2U);
}

/// Answers the next call of the verb as this process of the worker.
void answerAs(DispatcherHarness &harness, const std::string &incarnation, WorkerVerb verb,
              std::vector<TaskReport> reports)
{
    const std::optional<WorkerCall> call = harness.take(verb);
    ASSERT_TRUE(call);
    WorkerReply reply;
    reply.status = WorkerStatus::Ok;
    reply.incarnation = incarnation;
    reply.epoch = call->request.epoch;
    reply.reports = std::move(reports);
    harness.dispatcher.handleWorkerReply(call->call, reply, harness.now, harness.out);
}

// The outcome of a job of the worker's former process is stored while the next process holds a
// report with the same number, whose outcome is not stored yet.
TEST(DispatcherWorkersTest, StoredOutcomeOfAFormerProcessAcknowledgesNoReportOfTheNextOne)
{
    DispatcherHarness harness;
    harness.acquireListedWorker();
    const WorkerCall first = harness.submit(true);
    harness.answer(first, WorkerStatus::Ok, {harness.report(first, 1, TaskState::Running)});
    harness.tickAfter(milliseconds(10));
    answerAs(harness, "process", WorkerVerb::Collect, {harness.report(first, 2, TaskState::Done)});
    ASSERT_TRUE(harness.finalAnswer());
    harness.loseLease();
    harness.tickAfter(milliseconds(10));
    answerAs(harness, "next", WorkerVerb::Acquire, {});
    harness.out.workerCalls.clear();

    SubmitJob message;
    message.role = JobRole::Dispatcher;
    message.dataCenter = "namur";
    message.spec.requestId = "job2";
    message.spec.customer = "customer";
    message.spec.durable = true;
    message.spec.idempotent = true;
    harness.dispatcher.submit("keeper", message, harness.now, harness.out);
    harness.tickAfter(milliseconds(10));
    const std::optional<WorkerCall> second = harness.take(WorkerVerb::Start);
    ASSERT_TRUE(second);
    harness.answer(*second, WorkerStatus::Ok, {harness.report(*second, 1, TaskState::Running)});
    harness.tickAfter(milliseconds(10));
    answerAs(harness, "next", WorkerVerb::Collect, {harness.report(*second, 2, TaskState::Done)});
    harness.tickAfter(milliseconds(100));
    ASSERT_LT(harness.highestAcknowledged(), 2U);

    harness.dispatcher.handleRecorded(harness.key, harness.now, harness.out);
    for (int i = 0; i < 5; ++i)
        harness.tickAfter(milliseconds(100));
    EXPECT_LT(harness.highestAcknowledged(), 2U);
}

// A worker that is full has not carried out the repeated Start; the first one may still reach it.
TEST(DispatcherWorkersTest, RefusalAfterAnUnansweredStartDoesNotProveThatTheTaskNeverRuns)
{
    DispatcherHarness harness;
    harness.acquireListedWorker();
    const WorkerCall start = repeatUnansweredStart(harness, false);
    harness.answer(start, WorkerStatus::Full);
    for (int i = 0; i < 10; ++i)
        harness.tickAfter(milliseconds(10));
    EXPECT_FALSE(harness.hasSentAbandonment());

    // The first Start is carried out now, before the Stop.
    const WorkerCall stop = harness.answerNext(WorkerVerb::Stop, WorkerStatus::Ok,
                                               {harness.report(start, 2, TaskState::Stopped)});
    EXPECT_EQ(stop.request.task, start.request.task);
    harness.tickAfter(milliseconds(500));
    EXPECT_FALSE(harness.hasSentAbandonment());
    EXPECT_FALSE(harness.take(WorkerVerb::Start));
    ASSERT_TRUE(harness.finalAnswer());
    EXPECT_EQ(harness.finalAnswer()->status, JobStatus::Failed);
}

TEST(DispatcherWorkersTest, JobStartsAgainOnceAStopHasProvenThatAnUnansweredStartNeverRuns)
{
    DispatcherHarness harness;
    harness.acquireListedWorker();
    const WorkerCall start = repeatUnansweredStart(harness, false);
    harness.answer(start, WorkerStatus::Full);
    harness.answerNext(WorkerVerb::Stop, WorkerStatus::NoAnswer);
    EXPECT_FALSE(harness.hasSentAbandonment());
    harness.tickAfter(milliseconds(500));
    EXPECT_FALSE(harness.hasSentAbandonment());
    harness.answerNext(WorkerVerb::Stop, WorkerStatus::Ok,
                       {harness.report(start, 1, TaskState::NeverStarted)});
    EXPECT_TRUE(harness.hasSentAbandonment());
    harness.recordAssignment(0);
    harness.tickAfter(milliseconds(10));
    harness.recordAssignment(1);
    const std::optional<WorkerCall> next = harness.take(WorkerVerb::Start);
    ASSERT_TRUE(next);
    EXPECT_NE(next->request.task, start.request.task);
}

TEST(DispatcherWorkersTest, IdempotentJobIsNotStartedAgainWhileAnUnansweredStartMayBeCarriedOut)
{
    DispatcherHarness harness;
    harness.acquireListedWorker();
    const WorkerCall start = repeatUnansweredStart(harness, true);
    harness.answer(start, WorkerStatus::Full);
    harness.tickAfter(milliseconds(10));
    EXPECT_FALSE(harness.take(WorkerVerb::Start));
    harness.answerNext(WorkerVerb::Stop, WorkerStatus::Ok,
                       {harness.report(start, 1, TaskState::NeverStarted)});
    harness.tickAfter(milliseconds(10));
    EXPECT_TRUE(harness.take(WorkerVerb::Start));
}

TEST(DispatcherWorkersTest, CancelledJobIsNotAnsweredAsNotRunWhileAnUnansweredStartMayBeCarriedOut)
{
    DispatcherHarness harness;
    harness.acquireListedWorker();
    const WorkerCall start = repeatUnansweredStart(harness, false);
    CancelJob cancel;
    cancel.role = JobRole::Dispatcher;
    cancel.key = harness.key;
    harness.dispatcher.cancel("keeper", cancel, harness.now, harness.out);
    harness.answer(start, WorkerStatus::Full);
    EXPECT_FALSE(harness.finalAnswer());

    harness.answerNext(WorkerVerb::Stop, WorkerStatus::Ok,
                       {harness.report(start, 2, TaskState::Stopped)});
    ASSERT_TRUE(harness.finalAnswer());
    EXPECT_EQ(harness.finalAnswer()->status, JobStatus::Cancelled);
}

TEST(DispatcherWorkersTest, RefusalThatArrivesAfterTheLeaseIsLostLeavesAnUnansweredStartInDoubt)
{
    DispatcherHarness harness;
    harness.acquireListedWorker();
    const WorkerCall start = repeatUnansweredStart(harness, false);
    harness.loseLease();
    harness.answer(start, WorkerStatus::Full);
    harness.tickAfter(milliseconds(10));
    EXPECT_FALSE(harness.hasSentAbandonment());
}

} // namespace

} // namespace Hibiscus::EntryTest
