// The ordinary way of a request through two data centres, without any failure.

#include <Sessions/World.h>

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

TEST(Path, AHeldIdempotentCallGetsItsWholeAnswer)
{
    World world(World::small(1, 2));
    world.configure({makeCustomer()});
    const CallId call = world.submit("entry-a0", makeJob("r1"), true);
    ASSERT_TRUE(world.runUntil([&] { return world.answer(call).has_value(); }, seconds(5)));
    EXPECT_EQ(world.answer(call)->answer.status, JobStatus::Done);
    EXPECT_NE(world.answer(call)->answer.result.find("\\\"ticket\\\":\\\"r1\\\""),
              std::string::npos);
    EXPECT_EQ(world.starts("parks/r1"), 1U);
}

TEST(Path, ANonIdempotentCallRunsOnceAndAnswersTheSameAgainEverywhere)
{
    World world(World::small(2, 2));
    world.configure({makeCustomer()});
    JobSpec spec = makeJob("r1");
    spec.idempotent = false;
    const CallId first = world.submit("entry-a0", spec, true);
    ASSERT_TRUE(world.runUntil([&] { return world.answer(first).has_value(); }, seconds(5)));
    EXPECT_EQ(world.answer(first)->answer.status, JobStatus::Done);
    for (const char *instance : {"entry-a0", "entry-a1", "entry-b0", "entry-b1"}) {
        const CallId again = world.submit(instance, spec, true);
        ASSERT_TRUE(world.runUntil([&] { return world.answer(again).has_value(); }, seconds(5)));
        EXPECT_EQ(world.answer(again)->answer, world.answer(first)->answer) << instance;
    }
    EXPECT_EQ(world.starts("parks/r1"), 1U);
}

TEST(Path, ACallerThatDoesNotWaitPollsFromAnyInstance)
{
    World world(World::small(2, 2));
    world.configure({makeCustomer()});
    const CallId call = world.submit("entry-a0", makeJob("r1"), false);
    ASSERT_TRUE(world.runUntil([&] { return world.answer(call).has_value(); }, seconds(5)));
    EXPECT_EQ(world.answer(call)->answer.status, JobStatus::Accepted);
    world.run(seconds(2));
    const CallId poll = world.poll("entry-b1", "parks", "r1");
    ASSERT_TRUE(world.runUntil([&] { return world.answer(poll).has_value(); }, seconds(5)));
    EXPECT_EQ(world.answer(poll)->answer.status, JobStatus::Done);
}

} // namespace
} // namespace Hibiscus
