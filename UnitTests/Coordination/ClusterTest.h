#pragma once

#include "Cluster.h"

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

/// Base of the tests that run a whole cluster. A test fails if a worker has seen a broken promise;
/// a failed test prints the log of each instance.
class ClusterTest : public testing::Test
{
protected:
    ClusterTest(std::size_t instances, std::size_t workers)
        : workerCount(workers)
        , cluster(instances, workers)
    {}

    void TearDown() override;

    /// Submits a job, which must be accepted, at the first instance by name.
    void accept(std::uint32_t number, const std::string &body);
    void acceptAt(const std::string &instance, std::uint32_t number, const std::string &body);
    /// The first instance by name that does not lead.
    std::string follower() const;
    /// The first worker that runs a task; empty if there is none.
    std::string busyWorker() const;

    std::size_t workerCount;
    Cluster cluster;
};

} // namespace Hibiscus::Coordination::Test
