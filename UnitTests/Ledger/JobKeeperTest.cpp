#include <Ledger/JobKeeper.h>
#include <Ledger/LedgerWorld.h>
#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

TEST(JobKeeperTest, aDurableJobIsAcceptedRunOnceAndAnswered)
{
    LedgerWorld world;
    world.start("a");
    world.own("a", true);
    world.run(seconds(1));
    world.submit("1");
    world.run(seconds(1));
    ASSERT_TRUE(world.wasTold("1", JobStatus::Accepted));
    EXPECT_EQ(world.lastStatus("1"), JobStatus::Done);
    EXPECT_EQ(world.runs[LedgerWorld::key("1")], 1);
    EXPECT_TRUE(world.dispatcher.unacknowledged.empty());
}

} // namespace
} // namespace Hibiscus
