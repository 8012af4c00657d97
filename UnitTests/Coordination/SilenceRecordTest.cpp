#include <Coordination/SilenceRecord.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination {

namespace {

TEST(SilenceRecordTest, RecordIsReadAsItWasWritten)
{
    const std::optional<SilenceRecord> read = decodeSilence(encodeSilence({"entry-1#7", {"w-1"}}));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->leader, "entry-1#7");
    EXPECT_EQ(read->workers, std::set<std::string>{"w-1"});
}

TEST(SilenceRecordTest, RecordOfAnotherFormIsNotRead)
{
    EXPECT_FALSE(decodeSilence("[]"));
    EXPECT_FALSE(decodeSilence(R"({"leader":"entry-1#7"})"));
    EXPECT_FALSE(decodeSilence(R"({"leader":"entry-1#7","workers":"w-1"})"));
    EXPECT_FALSE(decodeSilence(R"({"leader":"entry-1#7","workers":["w-1",2]})"));
    EXPECT_FALSE(decodeSilence(R"({"leader":7,"workers":["w-1"]})"));
}

} // namespace

} // namespace Hibiscus::Coordination
