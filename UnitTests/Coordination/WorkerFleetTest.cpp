#include "Cluster.h"

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

constexpr TimePoint start{seconds(100)};

/// Keeps the calls to workers until the test answers them.
class ManualLink final : public Tasks::WorkerLink
{
public:
    struct Renewal
    {
        Tasks::RenewOrder order;
        Tasks::WorkerHandler handler;
    };

    void start(const Tasks::WorkerEntry &, const Tasks::StartOrder &, Duration,
               Tasks::WorkerHandler handler) override
    {
        this->starts.push_back(std::move(handler));
    }
    void stop(const Tasks::WorkerEntry &, const Tasks::StopOrder &, Duration,
              Tasks::WorkerHandler handler) override
    {
        this->stops.push_back(std::move(handler));
    }
    void setPace(const Tasks::WorkerEntry &, const Tasks::PaceOrder &, Duration,
                 Tasks::WorkerHandler) override
    {}
    void renew(const Tasks::WorkerEntry &, const Tasks::RenewOrder &order, Duration,
               Tasks::WorkerHandler handler) override
    {
        this->renewals.push_back({order, std::move(handler)});
    }

    std::vector<Renewal> renewals;
    std::vector<Tasks::WorkerHandler> starts;
    std::vector<Tasks::WorkerHandler> stops;
};

class RecordingListener final : public FleetListener
{
public:
    void runConfirmed(const Tasks::RunRef &, TimePoint) override {}
    void runProgressed(const RunProgress &, TimePoint) override {}
    void runEnded(const RunEnd &end, TimePoint) override { this->ends.push_back(end); }
    void runLost(const RunEnd &end, const char *, TimePoint) override { this->lost.push_back(end); }
    void permitRejected(const Tasks::RunRef &, std::string_view) override {}
    void fenced(TimePoint) override {}
    void fleetChanged(TimePoint) override {}
    void silenceEnded(TimePoint) override {}

    std::vector<RunEnd> ends;
    std::vector<RunEnd> lost;
};

class IgnoredTimers final : public TimerService
{
public:
    void after(Duration, std::function<void(TimePoint)>) override {}
};

Tasks::WorkerAnswer answerOf(Tasks::WorkerOutcome outcome, std::int64_t incarnation)
{
    Tasks::WorkerAnswer answer;
    answer.outcome = outcome;
    answer.incarnation = incarnation;
    return answer;
}

class WorkerFleetTest : public testing::Test
{
protected:
    WorkerFleetTest()
    {
        this->fleet.begin(7, false);
        this->list(1000);
        this->fleet.openSessions(start);
    }

    void list(std::int64_t incarnation)
    {
        Tasks::WorkerEntry entry;
        entry.id = "worker-0";
        entry.address = "worker-0:1";
        entry.incarnation = incarnation;
        this->fleet.workerListed(entry, start);
    }

    /// Answers the newest poll with one end, which has the number 1.
    void answerWithFirstEnd(std::int64_t incarnation, const std::string &job)
    {
        Tasks::WorkerAnswer answer;
        answer.outcome = Tasks::WorkerOutcome::Done;
        answer.incarnation = incarnation;
        answer.ended.push_back({1, {job, {}, 1}, Tasks::EndCause::Done, ""});
        this->link.renewals.back().handler(answer, start);
    }

    void assignAndStart(const Tasks::RunRef &ref, TimePoint now = start)
    {
        WorkerFleet::Run run;
        run.ref = ref;
        this->fleet.assign("worker-0", run, now);
        this->fleet.start("worker-0", ref, now);
    }

    /// Starts a run on the worker, whose answer names no process.
    void startRun(const Tasks::RunRef &ref)
    {
        this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000), start);
        this->assignAndStart(ref);
        this->link.starts.at(0)(answerOf(Tasks::WorkerOutcome::Done, 0), start);
    }

    /// Answers the newest poll with a list of one run.
    void answerWithRun(std::int64_t incarnation, const Tasks::RunRef &ref)
    {
        Tasks::WorkerAnswer answer = answerOf(Tasks::WorkerOutcome::Done, incarnation);
        answer.running.push_back({ref, "", 0, 0.0});
        this->link.renewals.back().handler(answer, start + seconds(1));
    }

    /// Sends start orders that time out, and a stop order that the worker accepts; then the worker
    /// lists nothing.
    void giveUpRun(const Tasks::RunRef &ref)
    {
        this->assignAndStart(ref);
        TimePoint now = start;
        for (std::size_t i = 0; i < this->link.starts.size(); i++) {
            now += WorkerFleet::Settings{}.orderTimeout;
            this->link.starts.at(i)({}, now);
        }
        ASSERT_FALSE(this->link.stops.empty());
        this->link.stops.back()(answerOf(Tasks::WorkerOutcome::Done, 1000), start);
        this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000), start);
    }

    ManualLink link;
    RecordingListener listener;
    IgnoredTimers timers;
    RecordingEventLogger logger;
    WorkerFleet fleet{this->link, this->timers,   this->logger,
                      {},         this->listener, [] { return start + seconds(60); }};
};

TEST_F(WorkerFleetTest, RecordedEndOfAFormerProcessAcknowledgesNoEndOfTheNewOne)
{
    this->answerWithFirstEnd(1000, "a");
    this->list(2000);
    this->answerWithFirstEnd(2000, "b");
    ASSERT_EQ(this->listener.ends.size(), 2U);
    const std::size_t polls = this->link.renewals.size();
    this->fleet.endRecorded(this->listener.ends[0], start);
    for (const ManualLink::Renewal &renewal : this->link.renewals)
        EXPECT_EQ(renewal.order.endsRecorded, 0);
    this->fleet.endRecorded(this->listener.ends[1], start);
    ASSERT_EQ(this->link.renewals.size(), polls + 1);
    EXPECT_EQ(this->link.renewals.back().order.endsRecorded, 1);
}

TEST_F(WorkerFleetTest, TaskWaitsUntilALateStartIsRevokedInTheNewProcess)
{
    using Tasks::WorkerOutcome;
    this->link.renewals.back().handler(answerOf(WorkerOutcome::Done, 1000), start);
    this->giveUpRun({"a", {}, 1});
    ASSERT_EQ(this->listener.lost.size(), 1U);
    EXPECT_FALSE(this->fleet.isRevoking("a", {}));
    this->list(2000);
    EXPECT_TRUE(this->fleet.isRevoking("a", {}));
    this->link.renewals.back().handler(answerOf(WorkerOutcome::Done, 2000), start);
    EXPECT_TRUE(this->fleet.isRevoking("a", {}));
    ASSERT_EQ(this->link.stops.size(), 2U);
    this->link.stops.back()(answerOf(WorkerOutcome::Done, 2000), start);
    this->link.renewals.back().handler(answerOf(WorkerOutcome::Done, 2000), start);
    EXPECT_FALSE(this->fleet.isRevoking("a", {}));
}

TEST_F(WorkerFleetTest, StartInFlightAtARestartIsNotGivenUpWhileItMayBeExecuted)
{
    // The first attempt is unanswered when the registry shows the restart; the new process does not
    // answer.
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000), start);
    this->assignAndStart({"a", {}, 1});
    this->list(2000);
    this->link.starts.at(0)({}, start + milliseconds(300));
    EXPECT_EQ(this->link.starts.size(), 1U);
    for (Duration passed{}; passed < seconds(19); passed += seconds(1))
        this->link.renewals.back().handler({}, start + passed);
    EXPECT_TRUE(this->listener.lost.empty());
    this->link.renewals.back().handler({}, start + seconds(21));
    EXPECT_EQ(this->listener.lost.size(), 1U);
}

// Guards against a second run of a task that the worker's new process runs: the list that shows the
// restart shows the run too.
TEST_F(WorkerFleetTest, RunThatTheNewProcessListsIsNotLostByTheRestart)
{
    this->startRun({"a", {}, 1});
    this->answerWithRun(2000, {"a", {}, 1});
    EXPECT_TRUE(this->listener.lost.empty());
    EXPECT_TRUE(this->link.stops.empty());
}

// Guards against the same when the registry shows the restart first.
TEST_F(WorkerFleetTest, RunThatNoProcessHasListedWaitsForTheListOfTheNewProcess)
{
    this->startRun({"a", {}, 1});
    this->list(2000);
    EXPECT_TRUE(this->listener.lost.empty());
    this->answerWithRun(2000, {"a", {}, 1});
    EXPECT_TRUE(this->listener.lost.empty());
    this->list(3000);
    EXPECT_EQ(this->listener.lost.size(), 1U);
}

TEST_F(WorkerFleetTest, RunOfTheFormerProcessIsLostOnceTheNewOneDoesNotListIt)
{
    this->startRun({"a", {}, 1});
    this->list(2000);
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 2000),
                                       start + seconds(1));
    EXPECT_EQ(this->listener.lost.size(), 1U);
}

// Guards against a second run while the first one holds a lease that a process with another clock
// has granted.
TEST_F(WorkerFleetTest, LeaseOfAProcessWithAnotherClockCountsAsTheLongestOne)
{
    Tasks::WorkerAnswer first = answerOf(Tasks::WorkerOutcome::Done, 1000);
    first.clock = 50'000;
    this->link.renewals.back().handler(first, start);
    this->assignAndStart({"a", {}, 1});
    Tasks::WorkerAnswer started = answerOf(Tasks::WorkerOutcome::Done, 0);
    started.clock = 50'002;
    this->link.starts.at(0)(started, start + milliseconds(2));
    const std::size_t polls = this->link.renewals.size();
    this->assignAndStart({"b", {}, 1}, start + milliseconds(1900));
    started.clock = 500;
    this->link.starts.at(1)(started, start + milliseconds(1902));
    EXPECT_EQ(this->link.renewals.size(), polls + 1);
    this->link.renewals.back().handler({}, start + seconds(7));
    EXPECT_TRUE(this->listener.lost.empty());
    this->link.renewals.back().handler({}, start + seconds(9));
    EXPECT_EQ(this->listener.lost.size(), 2U);
}

TEST_F(WorkerFleetTest, RunMissingFromAListWithOnePageOfEndsIsNotLost)
{
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000), start);
    this->assignAndStart({"a", {}, 1});
    this->link.starts.at(0)(answerOf(Tasks::WorkerOutcome::Done, 1000), start);
    Tasks::WorkerAnswer page = answerOf(Tasks::WorkerOutcome::Done, 1000);
    page.hasAllEnds = false;
    this->link.renewals.back().handler(page, start + seconds(1));
    EXPECT_TRUE(this->listener.lost.empty());
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000),
                                       start + seconds(2));
    EXPECT_EQ(this->listener.lost.size(), 1U);
}

TEST_F(WorkerFleetTest, StoppedRunThatWasNeverSeenIsSettledWithoutALongPoll)
{
    using Tasks::WorkerOutcome;
    this->link.renewals.back().handler(answerOf(WorkerOutcome::Done, 1000), start);
    WorkerFleet::Run run;
    run.ref = {"a", {}, 1};
    this->fleet.assign("worker-0", run, start);
    this->fleet.start("worker-0", run.ref, start);
    const TimePoint now = start + WorkerFleet::Settings{}.orderTimeout;
    this->link.starts.at(0)({}, now);
    this->link.starts.at(1)(answerOf(WorkerOutcome::Unhealthy, 1000), now);
    const std::size_t polls = this->link.renewals.size();
    this->link.stops.at(0)(answerOf(WorkerOutcome::Done, 1000), now);
    ASSERT_EQ(this->link.renewals.size(), polls + 1);
    EXPECT_EQ(this->link.renewals.back().order.wait, Duration{});
}

} // namespace

} // namespace Hibiscus::Coordination::Test
