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

    void start(const Tasks::WorkerEntry &, const Tasks::StartOrder &order, Duration,
               Tasks::WorkerHandler handler) override
    {
        this->starts.push_back(std::move(handler));
        this->startTokens.push_back(order.fencingToken);
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
    std::vector<std::int64_t> startTokens;
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
    void fenced(TimePoint) override { this->fencedCount++; }
    void fleetChanged(TimePoint) override {}
    void silenceEnded(TimePoint) override {}
    void tokensUsedUp(TimePoint) override { this->usedUpCount++; }

    std::vector<RunEnd> ends;
    std::vector<RunEnd> lost;
    std::size_t fencedCount = 0;
    std::size_t usedUpCount = 0;
};

/// Runs no timer but those without a delay, when the test asks for it.
class ManualTimers final : public TimerService
{
public:
    void after(Duration delay, std::function<void(TimePoint)> handler) override
    {
        if (delay == Duration{})
            this->due.push_back(std::move(handler));
    }

    std::vector<std::function<void(TimePoint)>> due;
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

    /// The worker lists one end, which is recorded then.
    void recordFirstEnd(const std::string &job)
    {
        this->answerWithFirstEnd(1000, job);
        this->fleet.endRecorded(this->listener.ends.back(), start);
    }

    /// The worker lists a full page of ends, which are recorded then.
    void recordFullPage()
    {
        Tasks::WorkerAnswer page = answerOf(Tasks::WorkerOutcome::Done, 1000);
        page.hasAllEnds = false;
        for (std::int64_t i = 1; i <= 500; i++)
            page.ended.push_back({i, {"b" + std::to_string(i), {}, 1}, Tasks::EndCause::Done, ""});
        this->link.renewals.back().handler(page, start + milliseconds(10));
        const std::vector<RunEnd> ends = this->listener.ends;
        for (const RunEnd &end : ends)
            this->fleet.endRecorded(end, start + milliseconds(20));
    }

    const Tasks::RenewOrder &newestPoll() const { return this->link.renewals.back().order; }

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

    /// Starts two runs. The answer to the second one comes from a process with another clock, after
    /// 1.9 s; a poll that extends the lease is on its way then unless an end keeps it waiting.
    void startOnAProcessWithAnotherClock(bool keepsAnEnd)
    {
        Tasks::WorkerAnswer first = answerOf(Tasks::WorkerOutcome::Done, 1000);
        first.clock = 50'000;
        if (keepsAnEnd)
            first.ended.push_back({1, {"former", {}, 1}, Tasks::EndCause::Done, ""});
        this->link.renewals.back().handler(first, start + milliseconds(700));
        this->assignAndStart({"a", {}, 1}, start + milliseconds(700));
        Tasks::WorkerAnswer started = answerOf(Tasks::WorkerOutcome::Done, 0);
        started.clock = 50'002;
        this->link.starts.at(0)(started, start + milliseconds(702));
        const std::size_t polls = this->link.renewals.size();
        this->assignAndStart({"b", {}, 1}, start + milliseconds(1900));
        started.clock = 500;
        this->link.starts.at(1)(started, start + milliseconds(1902));
        ASSERT_EQ(this->link.renewals.size(), polls + 1);
    }

    ManualLink link;
    RecordingListener listener;
    ManualTimers timers;
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
    this->startOnAProcessWithAnotherClock(true);
    this->link.renewals.back().handler({}, start + seconds(7));
    EXPECT_TRUE(this->listener.lost.empty());
    this->link.renewals.back().handler({}, start + seconds(9));
    EXPECT_EQ(this->listener.lost.size(), 2U);
}

// Guards against the same by a poll in flight, which the new process may execute up to 13 s later.
TEST_F(WorkerFleetTest, RenewalInFlightAtARestartMayExtendTheLeaseOfTheNewProcess)
{
    this->startOnAProcessWithAnotherClock(false);
    this->link.renewals.back().handler({}, start + seconds(20));
    EXPECT_TRUE(this->listener.lost.empty());
    this->link.renewals.back().handler({}, start + seconds(22));
    EXPECT_EQ(this->listener.lost.size(), 2U);
}

// Guards against tasks that wait for leases which no call can extend any more.
TEST_F(WorkerFleetTest, LeaseIsShortAgainOnceTheNewProcessHasAnswered)
{
    this->startOnAProcessWithAnotherClock(false);
    Tasks::WorkerAnswer answer = answerOf(Tasks::WorkerOutcome::Done, 2000);
    answer.clock = 600;
    answer.running.push_back({{"b", {}, 1}, "", 0, 0.0});
    this->link.renewals.back().handler(answer, start + seconds(2));
    ASSERT_EQ(this->listener.lost.size(), 1U);
    // The answer to the next poll shows that the new process knows the new token.
    EXPECT_EQ(this->newestPoll().wait, Duration{});
    this->link.renewals.back().handler(answer, start + milliseconds(2005));
    this->link.renewals.back().handler({}, start + seconds(8));
    EXPECT_EQ(this->listener.lost.size(), 1U);
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

// Guards against ends that a worker's next process discards unseen: only a call that waits for
// nothing acknowledges, and each number is acknowledged once.
TEST_F(WorkerFleetTest, AcknowledgementIsSentOnceAndDoesNotWait)
{
    this->startRun({"a", {}, 1});
    this->answerWithRun(1000, {"a", {}, 1});
    EXPECT_GT(this->newestPoll().wait, Duration{});
    Tasks::WorkerAnswer answer = answerOf(Tasks::WorkerOutcome::Done, 1000);
    answer.running.push_back({{"a", {}, 1}, "", 0, 0.0});
    answer.ended.push_back({1, {"b", {}, 1}, Tasks::EndCause::Done, ""});
    this->link.renewals.back().handler(answer, start + seconds(1));
    this->fleet.endRecorded(this->listener.ends.at(0), start + seconds(1));
    EXPECT_EQ(this->newestPoll().endsRecorded, 1);
    EXPECT_EQ(this->newestPoll().wait, Duration{});
    this->answerWithRun(1000, {"a", {}, 1});
    EXPECT_EQ(this->newestPoll().endsRecorded, 0);
    EXPECT_GT(this->newestPoll().wait, Duration{});
}

// Guards against the same by a start order that another process may have executed than the one that
// listed the end.
TEST_F(WorkerFleetTest, AcknowledgementWaitsForTheListOfAStartedRun)
{
    this->answerWithFirstEnd(1000, "b");
    this->assignAndStart({"a", {}, 1});
    this->fleet.endRecorded(this->listener.ends.at(0), start);
    const std::size_t polls = this->link.renewals.size();
    EXPECT_EQ(this->newestPoll().endsRecorded, 0);
    this->link.starts.at(0)(answerOf(Tasks::WorkerOutcome::Done, 0), start + milliseconds(2));
    ASSERT_EQ(this->link.renewals.size(), polls + 1);
    EXPECT_EQ(this->newestPoll().endsRecorded, 0);
    this->answerWithRun(1000, {"a", {}, 1});
    ASSERT_EQ(this->link.renewals.size(), polls + 2);
    EXPECT_EQ(this->newestPoll().endsRecorded, 1);
}

TEST_F(WorkerFleetTest, PollAfterOneWithoutAnAnswerAcknowledgesNothing)
{
    this->recordFirstEnd("b");
    ASSERT_EQ(this->newestPoll().endsRecorded, 1);
    this->link.renewals.back().handler({}, start + seconds(1));
    this->fleet.resumePolls(start + seconds(2));
    EXPECT_EQ(this->newestPoll().endsRecorded, 0);
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000),
                                       start + seconds(2));
    EXPECT_EQ(this->newestPoll().endsRecorded, 1);
}

TEST_F(WorkerFleetTest, PollOfAProcessThatMayBeNewAcknowledgesNothing)
{
    this->startOnAProcessWithAnotherClock(true);
    this->fleet.endRecorded(this->listener.ends.at(0), start + milliseconds(1950));
    EXPECT_EQ(this->newestPoll().endsRecorded, 0);
}

// Guards against an acknowledgement that is executed, in a new process, after a later start order.
TEST_F(WorkerFleetTest, StartFencesOffAnAcknowledgementThatIsOnItsWay)
{
    this->recordFirstEnd("b");
    ASSERT_EQ(this->newestPoll().endsRecorded, 1);
    this->assignAndStart({"a", {}, 1});
    EXPECT_GT(this->link.startTokens.at(0), this->newestPoll().fencingToken);
}

TEST_F(WorkerFleetTest, StartFencesOffAnAcknowledgementWithoutAnAnswer)
{
    this->recordFirstEnd("b");
    const std::int64_t token = this->newestPoll().fencingToken;
    this->link.renewals.back().handler({}, start + seconds(1));
    this->assignAndStart({"a", {}, 1});
    EXPECT_GT(this->link.startTokens.at(0), token);
}

TEST_F(WorkerFleetTest, NewProcessFencesOffCallsThatWereMeantForTheFormerOne)
{
    const std::int64_t token = this->newestPoll().fencingToken;
    this->list(2000);
    EXPECT_GT(this->newestPoll().fencingToken, token);
}

TEST_F(WorkerFleetTest, CallsThatALaterOneHasOvertakenAreRepeated)
{
    this->recordFirstEnd("b");
    const ManualLink::Renewal acknowledgement = this->link.renewals.back();
    this->assignAndStart({"a", {}, 1});
    acknowledgement.handler(answerOf(Tasks::WorkerOutcome::Fenced, 0), start + milliseconds(5));
    this->link.starts.at(0)(answerOf(Tasks::WorkerOutcome::Done, 0), start + milliseconds(6));
    this->answerWithRun(1000, {"a", {}, 1});
    EXPECT_EQ(this->newestPoll().endsRecorded, 1);
    EXPECT_EQ(this->listener.fencedCount, 0U);
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Fenced, 0),
                                       start + seconds(2));
    EXPECT_EQ(this->listener.fencedCount, 1U);
}

TEST_F(WorkerFleetTest, StartThatAnotherLeaderHasFencedOffDeposesThisOne)
{
    this->recordFirstEnd("b");
    this->assignAndStart({"a", {}, 1});
    this->assignAndStart({"c", {}, 1});
    this->link.renewals.back().handler({}, start + milliseconds(5));
    ASSERT_EQ(this->link.starts.size(), 2U);
    this->link.starts.at(0)(answerOf(Tasks::WorkerOutcome::Fenced, 0), start + milliseconds(6));
    // No token was raised after the start, so another leader has one.
    EXPECT_EQ(this->listener.fencedCount, 1U);
}

TEST_F(WorkerFleetTest, StartBeforeARaisedTokenIsRepeatedUnderIt)
{
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000), start);
    this->assignAndStart({"a", {}, 1});
    Tasks::WorkerAnswer answer = answerOf(Tasks::WorkerOutcome::Done, 1000);
    answer.ended.push_back({1, {"b", {}, 1}, Tasks::EndCause::Done, ""});
    this->fleet.resumePolls(start);
    this->link.renewals.back().handler(answer, start);
    this->fleet.endRecorded(this->listener.ends.at(0), start);
    this->list(1001);
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1001), start);
    const std::size_t starts = this->link.starts.size();
    this->link.starts.at(0)(answerOf(Tasks::WorkerOutcome::Fenced, 0), start + milliseconds(5));
    EXPECT_EQ(this->listener.fencedCount, 0U);
    ASSERT_EQ(this->link.starts.size(), starts + 1);
    EXPECT_GT(this->link.startTokens.back(), this->link.startTokens.front());
    EXPECT_TRUE(this->listener.lost.empty());
}

// Guards against ends that are never acknowledged: a run that has ended beyond the first page of
// ends is in no list.
TEST_F(WorkerFleetTest, FullPageOfEndsIsAcknowledgedBesideAStartedRun)
{
    Tasks::WorkerAnswer first = answerOf(Tasks::WorkerOutcome::Done, 1000);
    first.clock = 50'000;
    this->link.renewals.back().handler(first, start);
    this->assignAndStart({"a", {}, 1});
    Tasks::WorkerAnswer started = answerOf(Tasks::WorkerOutcome::Done, 0);
    started.clock = 50'002;
    this->link.starts.at(0)(started, start + milliseconds(2));
    this->recordFullPage();
    EXPECT_EQ(this->newestPoll().endsRecorded, 500);
}

TEST_F(WorkerFleetTest, FullPageOfEndsIsAcknowledgedBesideAnAdoptedRun)
{
    WorkerFleet::Run run;
    run.ref = {"a", {}, 1};
    this->fleet.adopt("worker-0", 1000, run, start);
    this->recordFullPage();
    EXPECT_EQ(this->newestPoll().endsRecorded, 500);
}

// Guards against a start that is sent under the token of the acknowledgement that it has to fence
// off.
TEST_F(WorkerFleetTest, StartWithoutATokenLeftIsNotSentBesideAnAcknowledgement)
{
    for (std::int64_t i = 1; i < FencingToken::stepsOfTerm; i++)
        this->list(1000 + i);
    Tasks::WorkerAnswer answer
        = answerOf(Tasks::WorkerOutcome::Done, 999 + FencingToken::stepsOfTerm);
    answer.ended.push_back({1, {"b", {}, 1}, Tasks::EndCause::Done, ""});
    this->link.renewals.back().handler(answer, start);
    this->fleet.endRecorded(this->listener.ends.back(), start);
    ASSERT_EQ(this->newestPoll().endsRecorded, 1);
    this->assignAndStart({"a", {}, 1});
    EXPECT_TRUE(this->link.starts.empty());
    EXPECT_EQ(this->timers.due.size(), 1U);
}

TEST_F(WorkerFleetTest, AcknowledgementFollowsAPollIfTheLastAnswerIsOld)
{
    this->answerWithFirstEnd(1000, "b");
    this->fleet.endRecorded(this->listener.ends.at(0), start + milliseconds(300));
    EXPECT_EQ(this->newestPoll().endsRecorded, 0);
    EXPECT_EQ(this->newestPoll().wait, Duration{});
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000),
                                       start + milliseconds(302));
    EXPECT_EQ(this->newestPoll().endsRecorded, 1);
}

// Guards against an acknowledgement that counts although another process than the one that listed
// the ends has answered it.
TEST_F(WorkerFleetTest, AcknowledgementAnsweredByAnotherProcessCountsForNone)
{
    this->recordFirstEnd("b");
    ASSERT_EQ(this->newestPoll().endsRecorded, 1);
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 2000), start);
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 2000), start);
    EXPECT_EQ(this->fleet.all().at("worker-0").acknowledgedEnd, 0);
}

TEST_F(WorkerFleetTest, EndThatIsListedAgainIsAcknowledgedAgain)
{
    this->recordFirstEnd("b");
    this->answerWithFirstEnd(1000, "b");
    EXPECT_EQ(this->listener.ends.size(), 1U);
    EXPECT_EQ(this->newestPoll().endsRecorded, 1);
}

// Guards against a second run beside one whose lease a new process has extended by a renewal that
// the leader had given up.
TEST_F(WorkerFleetTest, RenewalThatWasGivenUpMayExtendTheLeaseOfTheNewProcess)
{
    this->startRun({"a", {}, 1});
    this->link.renewals.back().handler({}, start + seconds(3));
    this->list(2000);
    this->link.renewals.back().handler({}, start + seconds(20));
    EXPECT_TRUE(this->listener.lost.empty());
    this->link.renewals.back().handler({}, start + seconds(23));
    EXPECT_EQ(this->listener.lost.size(), 1U);
}

TEST_F(WorkerFleetTest, TokenOfAForgottenWorkerIsNotUsedAgain)
{
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 1000), start);
    this->list(2000);
    const std::int64_t token = this->newestPoll().fencingToken;
    this->link.renewals.back().handler(answerOf(Tasks::WorkerOutcome::Done, 2000), start);
    this->fleet.workerUnlisted("worker-0", start);
    this->fleet.forgetUnlisted(start + seconds(30));
    ASSERT_TRUE(this->fleet.all().empty());
    this->list(2000);
    EXPECT_GE(this->newestPoll().fencingToken, token);
}

TEST_F(WorkerFleetTest, TermWithoutTokensLeftEnds)
{
    for (std::int64_t i = 1; i < FencingToken::stepsOfTerm; i++)
        this->list(1000 + i);
    EXPECT_TRUE(this->timers.due.empty());
    this->list(1000 + FencingToken::stepsOfTerm);
    ASSERT_EQ(this->timers.due.size(), 1U);
    this->timers.due.at(0)(start);
    EXPECT_EQ(this->listener.usedUpCount, 1U);
    EXPECT_LT(this->newestPoll().fencingToken, FencingToken(8).value());
}

// Guards against ends that are kept for as long as the record of an earlier one is not stored.
TEST_F(WorkerFleetTest, RecordedEndIsAcknowledgedBesideOneThatIsNotRecorded)
{
    Tasks::WorkerAnswer answer = answerOf(Tasks::WorkerOutcome::Done, 1000);
    answer.ended.push_back({1, {"a", {}, 1}, Tasks::EndCause::Done, ""});
    answer.ended.push_back({2, {"b", {}, 1}, Tasks::EndCause::Done, ""});
    this->link.renewals.back().handler(answer, start);
    this->fleet.endRecorded(this->listener.ends.at(0), start + milliseconds(10));
    EXPECT_EQ(this->newestPoll().endsRecorded, 0);
    this->fleet.resumePolls(start + seconds(2));
    this->link.renewals.back().handler(answer, start + milliseconds(2002));
    EXPECT_EQ(this->newestPoll().endsRecorded, 1);
    const std::size_t polls = this->link.renewals.size();
    answer.ended.erase(answer.ended.begin());
    this->link.renewals.back().handler(answer, start + milliseconds(2004));
    EXPECT_EQ(this->link.renewals.size(), polls);
}

// Guards against a clock of the former process that counts as that of the new one.
TEST_F(WorkerFleetTest, LateAnswerOfTheFormerProcessTellsNothingOfTheNewOne)
{
    Tasks::WorkerAnswer first = answerOf(Tasks::WorkerOutcome::Done, 1000);
    first.clock = 50'000;
    this->link.renewals.back().handler(first, start);
    this->assignAndStart({"a", {}, 1});
    this->list(2000);
    Tasks::WorkerAnswer next = answerOf(Tasks::WorkerOutcome::Done, 2000);
    next.clock = 100;
    this->link.renewals.back().handler(next, start + milliseconds(50));
    this->link.renewals.back().handler(next, start + milliseconds(60));
    Tasks::WorkerAnswer started = answerOf(Tasks::WorkerOutcome::Done, 0);
    started.clock = 50'002;
    this->link.starts.at(0)(started, start + milliseconds(100));
    const WorkerFleet::Worker &worker = this->fleet.all().at("worker-0");
    EXPECT_TRUE(worker.hasSession);
    EXPECT_LT(worker.clock, 50'000);
    ASSERT_EQ(worker.runs.size(), 1U);
    EXPECT_FALSE(worker.runs.begin()->second.answeredByProcess);
}

TEST_F(WorkerFleetTest, StartWithoutATokenLeftIsNotSentAfterAnUnansweredAcknowledgement)
{
    for (std::int64_t i = 1; i < FencingToken::stepsOfTerm; i++)
        this->list(1000 + i);
    Tasks::WorkerAnswer answer
        = answerOf(Tasks::WorkerOutcome::Done, 999 + FencingToken::stepsOfTerm);
    answer.ended.push_back({1, {"b", {}, 1}, Tasks::EndCause::Done, ""});
    this->link.renewals.back().handler(answer, start);
    this->fleet.endRecorded(this->listener.ends.back(), start);
    ASSERT_EQ(this->newestPoll().endsRecorded, 1);
    this->link.renewals.back().handler({}, start + milliseconds(500));
    this->assignAndStart({"a", {}, 1}, start + milliseconds(500));
    EXPECT_TRUE(this->link.starts.empty());
}

} // namespace

} // namespace Hibiscus::Coordination::Test
