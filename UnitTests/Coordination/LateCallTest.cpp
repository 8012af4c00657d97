#include "Cluster.h"

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

using Tasks::JobState;

/// Tests with calls that are carried out late, lost or answered by an earlier process.
class LateCall : public testing::Test
{
protected:
    void TearDown() override
    {
        for (const std::string &violation : this->cluster.workers.violations)
            ADD_FAILURE() << violation;
        if (!HasFailure())
            return;
        for (const auto &[name, instance] : this->cluster.instances) {
            for (const std::string &event : instance->logger.events)
                std::cout << name << " " << event << "\n";
        }
    }

    void accept(std::uint32_t number, const std::string &body)
    {
        const std::optional<ClientReply> reply
            = this->cluster.submit(this->follower(), jobId(number), body);
        ASSERT_TRUE(reply);
        ASSERT_EQ(reply->kind, ReplyKind::Accepted) << reply->error;
    }

    /// An instance that is not the leader.
    std::string follower() const
    {
        return this->cluster.leader() == "entry-0" ? "entry-1" : "entry-0";
    }

    Cluster cluster{2, 4};
};

TEST_F(LateCall, LateReportOfTheLoadDoesNotReplaceANewerOne)
{
    // All workers are busy. The report of one waiting job is carried out late, after the report of
    // seven, which stays true for a long time.
    this->accept(1, jobBody("60000", 4, 8));
    this->cluster.run(seconds(2));
    const std::string leader = this->cluster.leader();
    this->cluster.store.behaviors[leader] = StoreBehavior::ExecutesCommitsLate;
    this->accept(2, jobBody("60000", 1, 8));
    this->cluster.run(milliseconds(800));
    this->cluster.store.behaviors.clear();
    for (std::uint32_t i = 3; i <= 8; i++)
        this->accept(i, jobBody("60000", 1, 8));
    this->cluster.run(seconds(10));
    const std::optional<ClientReply> reply = this->cluster.call(
        this->follower(), {.verb = CallVerb::Status, .path = "/p1/", .key = "key-1"});
    ASSERT_TRUE(reply);
    ASSERT_EQ(reply->kind, ReplyKind::Pending);
    EXPECT_EQ(reply->pending, 7);
}

} // namespace

} // namespace Hibiscus::Coordination::Test
