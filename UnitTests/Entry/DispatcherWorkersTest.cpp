#include "DispatcherHarness.h"

namespace Hibiscus::EntryTest {

namespace {

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

} // namespace

} // namespace Hibiscus::EntryTest
