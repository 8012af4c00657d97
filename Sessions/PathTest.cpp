// Requests in two data centres without any failure.

#include <Sessions/SimulatedCluster.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

JobSpec makeJob(const std::string &requestId)
{
    JobSpec spec;
    spec.requestId = requestId;
    spec.customer = "parks";
    spec.caller = "key";
    spec.kind = "recalculation";
    spec.urgency = UrgencyClass::Urgent;
    spec.declaredRunTime = milliseconds(100);
    spec.payload = "{\"ticket\":\"" + requestId + "\"}";
    return spec;
}

Customer makeCustomer()
{
    Customer customer;
    customer.name = "parks";
    return customer;
}

TEST(Path, IdempotentWaitingCallReceivesItsFullResult)
{
    SimulatedCluster cluster(SimulatedCluster::twoDataCenters(1, 2));
    cluster.configure({makeCustomer()});
    const CallId call = cluster.submit("entry-a0", makeJob("r1"), true);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.answer(call).has_value(); }, seconds(5)));
    EXPECT_EQ(cluster.answer(call)->answer.status, JobStatus::Done);
    EXPECT_NE(cluster.answer(call)->answer.result.find("\\\"ticket\\\":\\\"r1\\\""),
              std::string::npos);
    EXPECT_EQ(cluster.startCount("parks/r1"), 1U);
}

TEST(Path, NonIdempotentJobRunsOnceAndEveryInstanceReturnsTheSameAnswer)
{
    SimulatedCluster cluster(SimulatedCluster::twoDataCenters(2, 2));
    cluster.configure({makeCustomer()});
    JobSpec spec = makeJob("r1");
    spec.idempotent = false;
    const CallId first = cluster.submit("entry-a0", spec, true);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.answer(first).has_value(); }, seconds(5)));
    EXPECT_EQ(cluster.answer(first)->answer.status, JobStatus::Done);
    for (const char *instance : {"entry-a0", "entry-a1", "entry-b0", "entry-b1"}) {
        const CallId again = cluster.submit(instance, spec, true);
        ASSERT_TRUE(
            cluster.runUntil([&] { return cluster.answer(again).has_value(); }, seconds(5)));
        EXPECT_EQ(cluster.answer(again)->answer, cluster.answer(first)->answer) << instance;
    }
    EXPECT_EQ(cluster.startCount("parks/r1"), 1U);
}

TEST(Path, NonWaitingCallerCanPollAnyInstance)
{
    SimulatedCluster cluster(SimulatedCluster::twoDataCenters(2, 2));
    cluster.configure({makeCustomer()});
    const CallId call = cluster.submit("entry-a0", makeJob("r1"), false);
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.answer(call).has_value(); }, seconds(5)));
    EXPECT_EQ(cluster.answer(call)->answer.status, JobStatus::Accepted);
    cluster.run(seconds(2));
    const CallId poll = cluster.poll("entry-b1", "parks", "r1");
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.answer(poll).has_value(); }, seconds(5)));
    EXPECT_EQ(cluster.answer(poll)->answer.status, JobStatus::Done);
}

} // namespace
} // namespace Hibiscus
