#include <Coordination/FencingToken.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

TEST(FencingTokenTest, TokenOfALaterTermIsHigherThanAllOfAnEarlierOne)
{
    FencingToken token(7);
    while (!token.isHighestOfTerm()) {
        const FencingToken raised = token.next();
        EXPECT_GT(raised, token);
        token = raised;
    }
    EXPECT_GT(FencingToken(8), token);
    EXPECT_GT(FencingToken(8).value(), token.value());
}

TEST(FencingTokenTest, ValueStaysInTheRangeOfWholeNumbersInJson)
{
    constexpr std::int64_t maxRevision = (std::int64_t{1} << 39) - 1;
    constexpr std::int64_t maxWholeNumber = std::int64_t{1} << 53;
    EXPECT_LT(FencingToken(maxRevision).value() + FencingToken::stepsOfTerm, maxWholeNumber + 1);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
