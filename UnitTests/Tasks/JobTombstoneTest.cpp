#include <Tasks/JobRecord.h>
#include <Tasks/JobTombstone.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks::Test {

namespace {

const JobClaim parks{"batch", "parks"};
const JobClaim schools{"batch", "schools"};

} // namespace

TEST(JobTombstone, IsReadAsItWasWritten)
{
    JobTombstone tombstone;
    for (const bool isRefused : {false, true}) {
        tombstone.isRefused = isRefused;
        tombstone.addCancellation({R"(queue "1")", "parks"});
        EXPECT_EQ(decodeTombstone(encodeTombstone(tombstone)), tombstone);
    }
    EXPECT_EQ(decodeTombstone(encodeTombstone({.isRefused = true})),
              JobTombstone{.isRefused = true});
}

TEST(JobTombstone, RefusalOfEarlierVersionsIsRead)
{
    EXPECT_EQ(decodeTombstone(R"({"record":1,"refused":true})"), JobTombstone{.isRefused = true});
}

TEST(JobTombstone, JobsAndDamagedTextsAreNoTombstones)
{
    Job job;
    job.id = "0000000000000001";
    job.steps.emplace_back().count = 1;
    for (const std::string &text :
         {encodeJob(job), std::string(), std::string(R"({"cancelled":[["a","b"]],)"),
          std::string(R"({"cancelled":7,"record":1})"),
          std::string(R"({"cancelled":[["a"]],"record":1})")})
        EXPECT_FALSE(decodeTombstone(text)) << text;
}

TEST(JobTombstone, CancellationCoversTheClaimOfItsCallerOnly)
{
    JobTombstone tombstone;
    tombstone.addCancellation(parks);
    EXPECT_TRUE(tombstone.isCancelledFor(parks));
    EXPECT_FALSE(tombstone.isCancelledFor(schools));
    EXPECT_FALSE(tombstone.isCancelledFor({"urgent", "parks"}));
    EXPECT_FALSE(tombstone.isCancelledFor({"batch", ""}));
}

TEST(JobTombstone, CancellationWithoutAKeyCoversItsQueue)
{
    JobTombstone tombstone;
    tombstone.addCancellation({"open", ""});
    EXPECT_TRUE(tombstone.isCancelledFor({"open", ""}));
    EXPECT_TRUE(tombstone.isCancelledFor({"open", "parks"}));
    EXPECT_FALSE(tombstone.isCancelledFor(parks));
}

TEST(JobTombstone, NumberOfCancellationsIsBounded)
{
    JobTombstone tombstone;
    std::size_t added = 0;
    for (std::size_t i = 0; i < 100; i++)
        added += tombstone.addCancellation({"batch", "customer-" + std::to_string(i)}) ? 1 : 0;
    EXPECT_LT(added, 10U);
    EXPECT_EQ(tombstone.cancellations.size(), added);
}

} // namespace Hibiscus::Tasks::Test
