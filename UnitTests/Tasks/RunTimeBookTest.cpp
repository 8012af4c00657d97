#include <Tasks/RunTimeBook.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

TEST(RunTimeBook, EstimateCountsUntilRunsAreKnown)
{
    RunTimeBook book;
    for (int i = 0; i < 4; i++)
        book.note("photo", seconds(8));
    EXPECT_EQ(book.expected("photo", seconds(2)), seconds(2));
    book.note("photo", seconds(8));
    EXPECT_EQ(book.expected("photo", seconds(2)), seconds(4));
    EXPECT_EQ(book.expected("other", seconds(2)), seconds(2));
}

TEST(RunTimeBook, ChainIsThatOfExpectedTimes)
{
    RunTimeBook book;
    for (int i = 0; i < 100; i++)
        book.note("photo", seconds(9));
    Job job;
    job.queue = "photo";
    Step first;
    first.estimate = seconds(1);
    Step second = first;
    second.after = {0};
    job.steps = {first, second};
    EXPECT_EQ(book.expectedChain(job), seconds(6));
}

} // namespace

} // namespace Hibiscus::Tasks
