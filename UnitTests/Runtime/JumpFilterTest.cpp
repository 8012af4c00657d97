#include <Runtime/JumpFilter.h>

#include <gtest/gtest.h>

namespace Hibiscus::Runtime {

namespace {

constexpr std::int64_t wallStartMs = 1'700'000'000'000;
constexpr TimePoint start{seconds(1000)};

class JumpFilterTest : public testing::Test
{
protected:
    /// Reads the filter after `elapsed`, with a clock that is off by `error`; returns the error
    /// that is left.
    Duration errorAfter(Duration elapsed, Duration error)
    {
        const std::int64_t trueMs = wallStartMs + toMs(elapsed);
        return milliseconds(this->filter.filter(trueMs + toMs(error), start + elapsed) - trueMs);
    }

    JumpFilter filter{{}};
};

TEST_F(JumpFilterTest, ClockThatJumpsAndReturnsIsNotFollowed)
{
    EXPECT_EQ(this->errorAfter(seconds(0), {}), Duration{});
    EXPECT_EQ(this->errorAfter(seconds(1), seconds(5)), Duration{});
    EXPECT_EQ(this->errorAfter(seconds(5), seconds(5)), Duration{});
    EXPECT_EQ(this->errorAfter(seconds(6), {}), Duration{});
    EXPECT_EQ(this->errorAfter(seconds(7), -seconds(3)), Duration{});
    EXPECT_EQ(this->errorAfter(seconds(12), {}), Duration{});
}

TEST_F(JumpFilterTest, EachJumpIsReportedOnce)
{
    this->errorAfter(seconds(0), {});
    EXPECT_FALSE(this->filter.newJump());
    this->errorAfter(seconds(1), seconds(5));
    EXPECT_EQ(this->filter.newJump(), Duration(seconds(5)));
    this->errorAfter(seconds(2), seconds(5));
    EXPECT_FALSE(this->filter.newJump());
    this->errorAfter(seconds(3), -seconds(2));
    EXPECT_EQ(this->filter.newJump(), Duration(-seconds(2)));
}

TEST_F(JumpFilterTest, CorrectionThatLastsIsFollowed)
{
    this->errorAfter(seconds(0), seconds(60));
    EXPECT_EQ(this->errorAfter(seconds(1), {}), Duration(seconds(60)));
    EXPECT_EQ(this->errorAfter(seconds(20), {}), Duration(seconds(60)));
    EXPECT_EQ(this->errorAfter(seconds(21), {}), Duration{});
}

TEST_F(JumpFilterTest, SlowDriftIsFollowedAtOnce)
{
    for (int i = 0; i < 100; i++)
        EXPECT_EQ(this->errorAfter(seconds(i), milliseconds(10 * i)), milliseconds(10 * i));
    EXPECT_FALSE(this->filter.newJump());
}

} // namespace

} // namespace Hibiscus::Runtime
