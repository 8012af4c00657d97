#include <Coordination/TermRecord.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination {

namespace {

TEST(TermRecordTest, RecordIsReadAsItWasWritten)
{
    const std::optional<TermRecord> read = decodeTerm(encodeTerm({"entry-1#7", true, false}));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->leader, "entry-1#7");
    EXPECT_TRUE(read->ended);
    EXPECT_FALSE(read->settled);
}

// A record that can't be read must not shorten any wait.
TEST(TermRecordTest, RecordOfAnotherFormIsNotRead)
{
    EXPECT_FALSE(decodeTerm(""));
    EXPECT_FALSE(decodeTerm("[]"));
    EXPECT_FALSE(decodeTerm(R"({"leader":"entry-1#7","ended":true})"));
    EXPECT_FALSE(decodeTerm(R"({"leader":7,"ended":true,"settled":true})"));
    EXPECT_FALSE(decodeTerm(R"({"leader":"entry-1#7","ended":1,"settled":true})"));
    EXPECT_FALSE(decodeTerm("{\"leader\":\"\xff\",\"ended\":true,\"settled\":true}"));
}

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
