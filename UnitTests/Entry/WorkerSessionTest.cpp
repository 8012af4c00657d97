#include <Entry/WorkerSession.h>

#include <gtest/gtest.h>

namespace Hibiscus::EntryTest {

namespace {

constexpr TimePoint start{seconds(100)};

/// An owned session that has collected one final report, which is not held.
class WorkerSessionTest : public testing::Test
{
protected:
    WorkerSessionTest()
        : session(this->settings, {}, WorkerId{0})
    {
        this->reply(this->poll(WorkerVerb::Acquire, start), WorkerStatus::Ok, start);
        const std::vector<WorkerRequest> collect = this->poll(WorkerVerb::Collect, start);
        this->reply(collect, WorkerStatus::Ok, start, {{.sequence = 1, .state = TaskState::Done}});
    }

    /// Returns the requests with the verb.
    std::vector<WorkerRequest> poll(WorkerVerb verb, TimePoint now)
    {
        std::vector<WorkerRequest> requests;
        WorkerSession::Update update;
        this->session.poll(true, now, requests, update);
        std::erase_if(requests, [verb](const auto &request) { return request.verb != verb; });
        return requests;
    }

    void reply(const std::vector<WorkerRequest> &requests, WorkerStatus status, TimePoint now,
               std::vector<TaskReport> reports = {})
    {
        ASSERT_EQ(requests.size(), 1U);
        WorkerReply reply;
        reply.status = status;
        reply.incarnation = "process";
        reply.reports = std::move(reports);
        this->session.handleReply(requests.front(), reply, now);
    }

    WorkerSession::Settings settings;
    WorkerSession session;
};

TEST_F(WorkerSessionTest, LostAcknowledgeIsRepeatedUntilTheWorkerConfirmsIt)
{
    TimePoint now = start;
    for (const WorkerStatus lost : {WorkerStatus::NoAnswer, WorkerStatus::NotDelivered}) {
        this->reply(this->poll(WorkerVerb::Acknowledge, now), lost, now);
        EXPECT_TRUE(this->poll(WorkerVerb::Acknowledge, now).empty()) << "repeated without a pause";
        now += this->settings.retryInterval;
    }
    const std::vector<WorkerRequest> repeated = this->poll(WorkerVerb::Acknowledge, now);
    ASSERT_EQ(repeated.size(), 1U);
    EXPECT_EQ(repeated.front().sequence, 1U);
    EXPECT_TRUE(this->poll(WorkerVerb::Acknowledge, now).empty()) << "sent twice at a time";
    this->reply(repeated, WorkerStatus::Ok, now);
    now += this->settings.retryInterval;
    EXPECT_TRUE(this->poll(WorkerVerb::Acknowledge, now).empty()) << "repeated after its reply";
}

TEST_F(WorkerSessionTest, AcknowledgeThatWasUnansweredWhenTheLeaseWasLostIsSentUnderTheNextLease)
{
    ASSERT_EQ(this->poll(WorkerVerb::Acknowledge, start).size(), 1U);
    WorkerReply stale;
    stale.status = WorkerStatus::Stale;
    stale.epoch = 2;
    ASSERT_TRUE(this->session.loseLeaseIfStale(stale, start));
    this->reply(this->poll(WorkerVerb::Acquire, start), WorkerStatus::Ok, start);
    EXPECT_EQ(this->poll(WorkerVerb::Acknowledge, start).size(), 1U);
}

} // namespace

} // namespace Hibiscus::EntryTest
