#include <Tasks/RackWait.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

constexpr UnixMs now = 1'700'000'000'000;

class RackWaitTest : public testing::Test
{
protected:
    /// Whether a request with tasks of ten seconds waits no longer after `waitedMs`.
    bool isOverAfter(UnixMs waitedMs, std::int32_t priority, bool serviceMostlyIdle) const
    {
        StartRequest request;
        request.step = &this->step;
        request.runTime = seconds(10);
        request.priority = priority;
        request.readySince = now - waitedMs;
        return RackWait(this->settings).isOver(request, serviceMostlyIdle, now);
    }

    Step step;
    StartPlanner::Settings settings;
};

TEST_F(RackWaitTest, LastsForHalfOfTheTimeThatTasksLoseElsewhere)
{
    // With a factor of 3 a task of 10 s takes 20 s more elsewhere.
    EXPECT_FALSE(this->isOverAfter(9999, 1, false));
    EXPECT_TRUE(this->isOverAfter(10'000, 1, false));
}

TEST_F(RackWaitTest, IsShortForUrgentRequests)
{
    EXPECT_FALSE(this->isOverAfter(1199, 0, false));
    EXPECT_TRUE(this->isOverAfter(1200, 0, false));
}

TEST_F(RackWaitTest, IsShortInAMostlyIdleService)
{
    EXPECT_FALSE(this->isOverAfter(2499, 2, true));
    EXPECT_TRUE(this->isOverAfter(2500, 2, true));
    EXPECT_FALSE(this->isOverAfter(2500, 2, false));
}

} // namespace

} // namespace Hibiscus::Tasks
