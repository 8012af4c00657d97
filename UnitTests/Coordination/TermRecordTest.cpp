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

} // namespace

} // namespace Hibiscus::Coordination
