#include <Ledger/JobKeeper.h>
#include <Ledger/LedgerWorld.h>
#include <gtest/gtest.h>

#include <random>

namespace Hibiscus {
namespace {

using Fault = FakeStore::Fault;

constexpr int jobCount = 12;

/// Small values, so that the log's ring comes round and snapshots have parts.
LedgerWorld smallWorld()
{
    LedgerWorld world;
    world.settings.maxBatchBytes = 1200;
    return world;
}

/// Submits the jobs one after another and runs until each has its answer.
void runJobs(LedgerWorld &world, const std::function<void()> &each = {})
{
    for (int i = 0; i < jobCount; ++i) {
        world.submit(std::to_string(i));
        world.run(milliseconds(120), each);
    }
    for (int i = 0; i < 120 && !world.open.empty(); ++i)
        world.run(seconds(1), each);
    world.run(seconds(2), each);
}

/// Every accepted job ended once, ran once, and all of its final answers are the same.
void expectKept(LedgerWorld &world, const std::string &what)
{
    EXPECT_TRUE(world.open.empty()) << what << ": " << world.open.size() << " without an answer";
    EXPECT_TRUE(world.dispatcher.unacknowledged.empty()) << what;
    for (const auto &[key, answers] : world.answers) {
        std::optional<JobAnswer> end;
        for (const JobAnswer &answer : answers) {
            if (!isFinal(answer.status))
                continue;
            EXPECT_TRUE(!end || *end == answer) << what << ": " << key << " ended twice";
            end = answer;
        }
        ASSERT_TRUE(end) << what << ": " << key;
        // "Not run" is true, and whatever else ended had run once.
        const int runs = world.runs[key];
        EXPECT_EQ(runs, end->status == JobStatus::NotRun ? 0 : 1) << what << ": " << key;
    }
}

std::uint64_t writesWithoutFault()
{
    LedgerWorld world = smallWorld();
    world.start("a");
    world.own("a", true);
    runJobs(world);
    expectKept(world, "no fault");
    return world.store.writes;
}

TEST(LedgerFaultTest, aLostAnswerAtAnyWriteLosesAndDoublesNothing)
{
    const std::uint64_t writes = writesWithoutFault();
    ASSERT_GT(writes, 30U);
    for (const Fault fault : {Fault::LostBefore, Fault::LostAfter, Fault::Late}) {
        for (std::uint64_t at = 1; at <= writes; ++at) {
            LedgerWorld world = smallWorld();
            world.store.faultsOfWrites[at] = fault;
            world.start("a");
            world.own("a", true);
            runJobs(world, [&] {
                if (world.store.writes > at + 1)
                    world.store.applyLate();
            });
            expectKept(world, "write " + std::to_string(at));
        }
    }
}

TEST(LedgerFaultTest, aKeeperThatDiesAtAnyStepIsReplacedWithoutLossOrDoubling)
{
    LedgerWorld calm = smallWorld();
    calm.start("a");
    calm.own("a", true);
    runJobs(calm);
    ASSERT_GT(calm.steps, 200U);
    for (const bool callTakesEffect : {false, true}) {
        for (std::uint64_t at = 1; at <= calm.steps; ++at) {
            LedgerWorld world = smallWorld();
            world.start("a");
            world.own("a", true);
            bool killed = false;
            runJobs(world, [&] {
                if (killed || world.steps < at)
                    return;
                killed = true;
                if (callTakesEffect)
                    world.makeCall(world.nodes.at("a"));
                world.start("a");
                world.own("a", true);
            });
            expectKept(world, "step " + std::to_string(at));
            ASSERT_FALSE(HasFailure());
        }
    }
}

TEST(LedgerFaultTest, aDispatcherThatDiesAtAnyStepIsReplacedWithoutLossOrDoubling)
{
    for (std::uint64_t at = 1; at <= 300; ++at) {
        LedgerWorld world = smallWorld();
        world.start("a");
        world.own("a", true);
        bool killed = false;
        runJobs(world, [&] {
            if (killed || world.steps < at)
                return;
            killed = true;
            world.restartDispatcher();
        });
        expectKept(world, "step " + std::to_string(at));
        ASSERT_FALSE(HasFailure());
    }
}

TEST(LedgerFaultTest, aPausedOwnerThatResumesAfterATakeoverChangesNothing)
{
    for (const bool callTakesEffect : {false, true}) {
        for (std::uint64_t at = 10; at <= 400; ++at) {
            LedgerWorld world = smallWorld();
            world.start("a");
            world.start("b");
            world.own("a", true);
            std::uint64_t resumeAt = 0;
            const std::uint64_t pauseFor = 1 + at * 7 % 300;
            runJobs(world, [&] {
                LedgerWorld::Node &paused = world.nodes.at("a");
                if (resumeAt == 0 && world.steps >= at) {
                    resumeAt = world.steps + pauseFor;
                    if (callTakesEffect)
                        world.makeCall(paused);
                    paused.paused = true;
                    world.own("b", true);
                } else if (paused.paused && world.steps >= resumeAt) {
                    paused.paused = false;
                }
            });
            expectKept(world, "paused at " + std::to_string(at));
            ASSERT_FALSE(HasFailure());
        }
    }
}

TEST(LedgerFaultTest, twoInstancesThatBothMeanToOwnAShardNeverRunAJobTwice)
{
    LedgerWorld world = smallWorld();
    world.start("a");
    world.start("b");
    world.own("a", true);
    world.own("b", true);
    for (int i = 0; i < jobCount; ++i) {
        const std::string id = std::to_string(i);
        world.submit(id);
        world.sendSubmit("a", LedgerWorld::spec(id));
        world.sendSubmit("b", LedgerWorld::spec(id));
        world.run(milliseconds(700));
    }
    // The list has settled on one of them.
    world.own("a", false);
    world.run(seconds(120));
    expectKept(world, "two owners");
}

TEST(LedgerFaultTest, aSnapshotBeingWrittenWhileAnotherTakesOverLosesNoRecord)
{
    // The former owner is paused before each of its writes in turn; its successor then writes on
    // for more than a round of the log before it resumes.
    const std::uint64_t writes = writesWithoutFault();
    for (std::uint64_t at = 2; at <= writes; ++at) {
        LedgerWorld world = smallWorld();
        world.start("a");
        world.start("b");
        world.own("a", true);
        bool taken = false;
        runJobs(world, [&] {
            LedgerWorld::Node &former = world.nodes.at("a");
            if (taken || world.store.writes + 1 < at || former.calls.empty())
                return;
            taken = true;
            former.paused = true;
            world.own("b", true);
        });
        for (int i = 0; i < jobCount; ++i) {
            world.submit("later" + std::to_string(i));
            world.run(milliseconds(500));
        }
        world.nodes.at("a").paused = false;
        world.run(seconds(5));
        // A third that knows nothing finds every end in the store.
        world.start("c");
        world.nodes.at("a").paused = true;
        world.nodes.at("b").paused = true;
        world.own("c", true);
        for (int i = 0; i < jobCount; ++i)
            world.submit(std::to_string(i));
        world.run(seconds(5));
        expectKept(world, "write " + std::to_string(at));
        ASSERT_FALSE(HasFailure());
    }
}

TEST(LedgerFaultTest, anyTwoFaultsTogetherLoseAndDoubleNothing)
{
    constexpr std::uint64_t pairs = 1500;
    for (std::uint64_t seed = 1; seed <= pairs; ++seed) {
        std::mt19937_64 random(seed);
        LedgerWorld world = smallWorld();
        world.start("a");
        world.start("b");
        world.own("a", true);
        std::vector<std::uint64_t> at{1 + random() % 400, 1 + random() % 400};
        std::sort(at.begin(), at.end());
        std::size_t next = 0;
        const auto inject = [&](std::uint64_t kind) {
            const std::string other = world.owner == "a" ? "b" : "a";
            if (kind == 0) {
                world.start(world.owner);
                world.own(world.owner, true);
            } else if (kind == 1) {
                world.nodes.at(world.owner).paused = true;
                world.nodes.at(other).paused = false;
                world.own(other, true);
            } else if (kind < 5) {
                world.store.faultsOfWrites[world.store.writes + 1] = static_cast<Fault>(kind - 1);
            } else if (kind == 5) {
                world.store.down = true;
            } else {
                world.restartDispatcher();
            }
        };
        runJobs(world, [&] {
            if (next < at.size() && world.steps >= at[next]) {
                ++next;
                inject(random() % 7);
            }
            const bool heal = world.steps % 97 == 0;
            if (heal) {
                world.store.down = false;
                world.store.applyLate();
                for (auto &[name, node] : world.nodes)
                    node.paused = false;
            }
        });
        expectKept(world, "seed " + std::to_string(seed));
        ASSERT_FALSE(HasFailure());
    }
}

} // namespace
} // namespace Hibiscus
