#include <Coordination/AnswerTimeout.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

TEST(AnswerTimeout, LostAnswerOfAFastStoreIsNoticedSoon)
{
    AnswerTimeout timeout({});
    for (int i = 0; i < 20; i++)
        timeout.recordAnswer(milliseconds(8));
    EXPECT_EQ(timeout.ofAttempt(1), milliseconds(200));
}

TEST(AnswerTimeout, EachAttemptGetsMoreTimeUpToTheLongest)
{
    const AnswerTimeout timeout({});
    EXPECT_EQ(timeout.ofAttempt(2), milliseconds(400));
    EXPECT_EQ(timeout.ofAttempt(3), milliseconds(700));
    EXPECT_EQ(timeout.ofAttempt(1000), milliseconds(700));
}

TEST(AnswerTimeout, SlowStoreGetsTheLongestTime)
{
    AnswerTimeout timeout({});
    for (int i = 0; i < 20; i++)
        timeout.recordAnswer(milliseconds(250));
    EXPECT_EQ(timeout.ofAttempt(1), milliseconds(700));
}

} // namespace

} // namespace Hibiscus::Coordination::Test
