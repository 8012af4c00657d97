#include "ClusterTest.h"

namespace Hibiscus::Coordination::Test {

void ClusterTest::TearDown()
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

void ClusterTest::accept(std::uint32_t number, const std::string &body)
{
    this->acceptAt(this->cluster.instances.begin()->first, number, body);
}

void ClusterTest::acceptAt(const std::string &instance, std::uint32_t number,
                           const std::string &body)
{
    const std::optional<ClientReply> reply = this->cluster.submit(instance, jobId(number), body);
    ASSERT_TRUE(reply);
    ASSERT_EQ(reply->kind, ReplyKind::Accepted) << reply->error;
}

std::string ClusterTest::follower() const
{
    const std::string leader = this->cluster.leader();
    for (const auto &[name, instance] : this->cluster.instances) {
        if (name != leader)
            return name;
    }
    return {};
}

std::string ClusterTest::busyWorker() const
{
    for (std::size_t i = 0; i < this->workerCount; i++) {
        std::string id = "worker-" + std::to_string(i);
        if (this->cluster.workers.runningOn(id) > 0)
            return id;
    }
    return {};
}

} // namespace Hibiscus::Coordination::Test
