#include "FakeWorkers.h"

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

using Tasks::WorkerAnswer;
using Tasks::WorkerOutcome;

/// The fake keeps what the platform's pages say about workers.
class FakeWorkersTest : public testing::Test
{
protected:
    /// Returns where the answer appears.
    std::shared_ptr<std::optional<WorkerAnswer>> poll(std::int64_t token, Duration wait)
    {
        auto answer = std::make_shared<std::optional<WorkerAnswer>>();
        Tasks::RenewOrder order;
        order.fencingToken = token;
        order.wait = wait;
        this->link.renew(this->workers.entryOf("worker-0"), order, wait + milliseconds(500),
                         [answer](const WorkerAnswer &given, TimePoint) { *answer = given; });
        return answer;
    }

    std::shared_ptr<std::optional<WorkerAnswer>> start(std::int64_t token)
    {
        auto answer = std::make_shared<std::optional<WorkerAnswer>>();
        Tasks::StartOrder order;
        order.run = {"0000000000000001", {}, 1};
        order.payload = "1000";
        order.leaseUntil = 90'000;
        order.fencingToken = token;
        this->link.start(this->workers.entryOf("worker-0"), order, milliseconds(400),
                         [answer](const WorkerAnswer &given, TimePoint) { *answer = given; });
        return answer;
    }

    void SetUp() override { this->workers.add("worker-0", "rack-0"); }

    SimClock clock;
    FakeWorkers workers{this->clock};
    FakeWorkers::View link{this->workers, "entry-0", std::make_shared<bool>(true)};
};

TEST_F(FakeWorkersTest, DelayedStartIsFencedWhenItIsExecuted)
{
    this->workers.delayedWorkers = {"worker-0"};
    this->start(5);
    this->clock.run(milliseconds(500));
    this->poll(6, Duration{});
    this->clock.run(seconds(5));
    EXPECT_EQ(this->workers.startsOf("0000000000000001"), 0U);
}

TEST_F(FakeWorkersTest, RestartedWorkerHasSeenNoFencingToken)
{
    this->poll(6, Duration{});
    this->clock.run(milliseconds(10));
    const auto fenced = this->start(5);
    this->clock.run(milliseconds(10));
    ASSERT_TRUE(*fenced);
    EXPECT_EQ((*fenced)->outcome, WorkerOutcome::Fenced);
    this->workers.restart("worker-0");
    this->start(5);
    this->clock.run(milliseconds(10));
    EXPECT_EQ(this->workers.startsOf("0000000000000001"), 1U);
}

TEST_F(FakeWorkersTest, WorkerThatRestartsAnswersNoPollOfItsEarlierProcess)
{
    // "A worker that crashes sends nothing." An answer of the new process would also show a fencing
    // token as seen that this process has not seen.
    const auto answer = this->poll(6, seconds(2));
    this->clock.run(milliseconds(500));
    this->workers.restart("worker-0");
    this->clock.run(seconds(4));
    ASSERT_TRUE(*answer);
    EXPECT_EQ((*answer)->outcome, WorkerOutcome::Unknown);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
