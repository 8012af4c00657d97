#include <Coordination/TombstoneBudget.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

using Verdict = TombstoneBudget::Verdict;

constexpr TimePoint begin{seconds(1000)};
constexpr TombstoneBudget::Settings settings{.customer = {3.0, 1.0}, .instance = {5.0, 2.0}};

} // namespace

TEST(TombstoneBudget, CustomerBeyondItsLimitIsRefusedUntilItsBucketRefills)
{
    TombstoneBudget budget(settings);
    for (int i = 0; i < 3; i++)
        EXPECT_EQ(budget.take("parks", begin), Verdict::Granted);
    EXPECT_EQ(budget.take("parks", begin), Verdict::FirstRefused);
    EXPECT_EQ(budget.take("parks", begin + milliseconds(900)), Verdict::Refused);
    EXPECT_EQ(budget.take("parks", begin + milliseconds(1000)), Verdict::Granted);
    EXPECT_EQ(budget.take("parks", begin + milliseconds(1000)), Verdict::FirstRefused);
}

TEST(TombstoneBudget, CustomerBeyondItsLimitTakesNothingFromOthers)
{
    TombstoneBudget budget(settings);
    for (int i = 0; i < 100; i++)
        budget.take("parks", begin);
    EXPECT_EQ(budget.take("schools", begin), Verdict::Granted);
    EXPECT_EQ(budget.take("schools", begin), Verdict::Granted);
}

TEST(TombstoneBudget, ManyCustomersStayWithinTheInstancesLimit)
{
    TombstoneBudget budget(settings);
    int granted = 0;
    for (int second = 0; second < 100; second++) {
        for (int customer = 0; customer < 20; customer++) {
            const Verdict verdict
                = budget.take("customer-" + std::to_string(customer), begin + seconds(second));
            granted += verdict == Verdict::Granted ? 1 : 0;
        }
    }
    EXPECT_GE(granted, 5 + 99 * 2 - 2);
    EXPECT_LE(granted, 5 + 99 * 2);
}

} // namespace Hibiscus::Coordination::Test
