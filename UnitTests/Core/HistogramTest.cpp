#include <Core/Histogram.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

TEST(Histogram, QuantileIsTheUpperBoundOfTheBucketThatHoldsIt)
{
    Histogram histogram;
    for (int i = 0; i < 99; ++i)
        histogram.add(milliseconds(3));
    histogram.add(seconds(60));
    EXPECT_EQ(histogram.count(), 100U);
    EXPECT_EQ(histogram.quantile(0.5), milliseconds(4));
    EXPECT_EQ(histogram.quantile(0.99), milliseconds(4));
    EXPECT_EQ(histogram.quantile(1.0), milliseconds(65536));
}

TEST(Histogram, ValuesBeyondTheLastBoundAreStillCounted)
{
    Histogram histogram;
    histogram.add(std::chrono::hours(1000));
    EXPECT_EQ(histogram.bucket(Histogram::bucketCount - 1), 1U);
    EXPECT_EQ(histogram.quantile(0.5), Duration::max());
}

} // namespace
} // namespace Hibiscus
