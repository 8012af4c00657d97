#include <Ledger/JobKeeper.h>
#include <Ledger/LedgerSimulation.h>
#include <gtest/gtest.h>

#include <random>

namespace Hibiscus {
namespace {

using Fault = FakeStore::Fault;

constexpr int jobCount = 12;

/// Batches are small, so that the log wraps around and snapshots have parts.
LedgerSimulation smallSimulation()
{
    LedgerSimulation simulation;
    simulation.settings.maxBatchBytes = 1200;
    return simulation;
}

/// Submits the jobs one after another and runs until each has a final answer.
void runJobs(LedgerSimulation &simulation, const std::function<void()> &beforeStep = {})
{
    for (int i = 0; i < jobCount; ++i) {
        simulation.submit(std::to_string(i));
        simulation.run(milliseconds(120), beforeStep);
    }
    for (int i = 0; i < 120 && !simulation.open.empty(); ++i)
        simulation.run(seconds(1), beforeStep);
    simulation.run(seconds(2), beforeStep);
}

/// Checks that every job has one final answer, that answers with NotRun are true, and that all
/// other jobs ran exactly once.
void expectExactlyOnce(LedgerSimulation &simulation, const std::string &what)
{
    EXPECT_TRUE(simulation.open.empty())
        << what << ": " << simulation.open.size() << " without an answer";
    EXPECT_TRUE(simulation.dispatcher.unacknowledged.empty()) << what;
    for (const auto &[key, answers] : simulation.answers) {
        std::optional<JobAnswer> end;
        for (const JobAnswer &answer : answers) {
            if (!isFinal(answer.status))
                continue;
            EXPECT_TRUE(!end || *end == answer) << what << ": " << key << " ended twice";
            end = answer;
        }
        ASSERT_TRUE(end) << what << ": " << key;
        // NotRun means no run. All other final answers mean exactly one run.
        const int runs = simulation.runs[key];
        EXPECT_EQ(runs, end->status == JobStatus::NotRun ? 0 : 1) << what << ": " << key;
    }
}

std::uint64_t writesWithoutFault()
{
    LedgerSimulation simulation = smallSimulation();
    simulation.start("a");
    simulation.setOwned("a", true);
    runJobs(simulation);
    expectExactlyOnce(simulation, "no fault");
    return simulation.store.writes;
}

TEST(LedgerFaultTest, aFaultOfAnyWriteNeitherLosesNorDuplicatesAJob)
{
    const std::uint64_t writes = writesWithoutFault();
    ASSERT_GT(writes, 30U);
    for (const Fault fault : {Fault::LostBefore, Fault::LostAfter, Fault::Late}) {
        for (std::uint64_t at = 1; at <= writes; ++at) {
            LedgerSimulation simulation = smallSimulation();
            simulation.store.faultsOfWrites[at] = fault;
            simulation.start("a");
            simulation.setOwned("a", true);
            runJobs(simulation, [&] {
                if (simulation.store.writes > at + 1)
                    simulation.store.applyLate();
            });
            expectExactlyOnce(simulation, "write " + std::to_string(at));
        }
    }
}

TEST(LedgerFaultTest, aRestartOfTheKeeperAtAnyStepNeitherLosesNorDuplicatesAJob)
{
    LedgerSimulation baseline = smallSimulation();
    baseline.start("a");
    baseline.setOwned("a", true);
    runJobs(baseline);
    ASSERT_GT(baseline.steps, 200U);
    for (const bool callTakesEffect : {false, true}) {
        for (std::uint64_t at = 1; at <= baseline.steps; ++at) {
            LedgerSimulation simulation = smallSimulation();
            simulation.start("a");
            simulation.setOwned("a", true);
            bool killed = false;
            runJobs(simulation, [&] {
                if (killed || simulation.steps < at)
                    return;
                killed = true;
                if (callTakesEffect)
                    simulation.makeCall(simulation.nodes.at("a"));
                simulation.start("a");
                simulation.setOwned("a", true);
            });
            expectExactlyOnce(simulation, "step " + std::to_string(at));
            ASSERT_FALSE(HasFailure());
        }
    }
}

TEST(LedgerFaultTest, aRestartOfTheDispatcherAtAnyStepNeitherLosesNorDuplicatesAJob)
{
    for (std::uint64_t at = 1; at <= 300; ++at) {
        LedgerSimulation simulation = smallSimulation();
        simulation.start("a");
        simulation.setOwned("a", true);
        bool killed = false;
        runJobs(simulation, [&] {
            if (killed || simulation.steps < at)
                return;
            killed = true;
            simulation.restartDispatcher();
        });
        expectExactlyOnce(simulation, "step " + std::to_string(at));
        ASSERT_FALSE(HasFailure());
    }
}

TEST(LedgerFaultTest, aFormerOwnerThatResumesAfterATakeoverHasNoEffect)
{
    for (const bool callTakesEffect : {false, true}) {
        for (std::uint64_t at = 10; at <= 400; ++at) {
            LedgerSimulation simulation = smallSimulation();
            simulation.start("a");
            simulation.start("b");
            simulation.setOwned("a", true);
            std::uint64_t resumeAt = 0;
            const std::uint64_t pauseFor = 1 + at * 7 % 300;
            runJobs(simulation, [&] {
                LedgerSimulation::Node &paused = simulation.nodes.at("a");
                if (resumeAt == 0 && simulation.steps >= at) {
                    resumeAt = simulation.steps + pauseFor;
                    if (callTakesEffect)
                        simulation.makeCall(paused);
                    paused.paused = true;
                    simulation.setOwned("b", true);
                } else if (paused.paused && simulation.steps >= resumeAt) {
                    paused.paused = false;
                }
            });
            expectExactlyOnce(simulation, "paused at " + std::to_string(at));
            ASSERT_FALSE(HasFailure());
        }
    }
}

TEST(LedgerFaultTest, twoInstancesThatBothClaimAShardNeverRunAJobTwice)
{
    LedgerSimulation simulation = smallSimulation();
    simulation.start("a");
    simulation.start("b");
    simulation.setOwned("a", true);
    simulation.setOwned("b", true);
    for (int i = 0; i < jobCount; ++i) {
        const std::string id = std::to_string(i);
        simulation.submit(id);
        simulation.sendSubmit("a", LedgerSimulation::spec(id));
        simulation.sendSubmit("b", LedgerSimulation::spec(id));
        simulation.run(milliseconds(700));
    }
    // The membership now names only one owner.
    simulation.setOwned("a", false);
    simulation.run(seconds(120));
    expectExactlyOnce(simulation, "two owners");
}

TEST(LedgerFaultTest, aTakeoverDuringASnapshotLosesNoRecord)
{
    // The former owner is paused before each of its writes in turn. Its successor then writes more
    // than one round of the log before the former owner resumes.
    const std::uint64_t writes = writesWithoutFault();
    for (std::uint64_t at = 2; at <= writes; ++at) {
        LedgerSimulation simulation = smallSimulation();
        simulation.start("a");
        simulation.start("b");
        simulation.setOwned("a", true);
        bool taken = false;
        runJobs(simulation, [&] {
            LedgerSimulation::Node &former = simulation.nodes.at("a");
            if (taken || simulation.store.writes + 1 < at || former.calls.empty())
                return;
            taken = true;
            former.paused = true;
            simulation.setOwned("b", true);
        });
        for (int i = 0; i < jobCount; ++i) {
            simulation.submit("later" + std::to_string(i));
            simulation.run(milliseconds(500));
        }
        simulation.nodes.at("a").paused = false;
        simulation.run(seconds(5));
        // A third keeper without state has to find every final answer in the store.
        simulation.start("c");
        simulation.nodes.at("a").paused = true;
        simulation.nodes.at("b").paused = true;
        simulation.setOwned("c", true);
        for (int i = 0; i < jobCount; ++i)
            simulation.submit(std::to_string(i));
        simulation.run(seconds(5));
        expectExactlyOnce(simulation, "write " + std::to_string(at));
        ASSERT_FALSE(HasFailure());
    }
}

TEST(LedgerFaultTest, anyTwoFaultsTogetherNeitherLoseNorDuplicateAJob)
{
    constexpr std::uint64_t pairs = 1500;
    for (std::uint64_t seed = 1; seed <= pairs; ++seed) {
        std::mt19937_64 random(seed);
        LedgerSimulation simulation = smallSimulation();
        simulation.start("a");
        simulation.start("b");
        simulation.setOwned("a", true);
        std::vector<std::uint64_t> at{1 + random() % 400, 1 + random() % 400};
        std::sort(at.begin(), at.end());
        std::size_t next = 0;
        const auto inject = [&](std::uint64_t kind) {
            const std::string other = simulation.owner == "a" ? "b" : "a";
            if (kind == 0) {
                simulation.start(simulation.owner);
                simulation.setOwned(simulation.owner, true);
            } else if (kind == 1) {
                simulation.nodes.at(simulation.owner).paused = true;
                simulation.nodes.at(other).paused = false;
                simulation.setOwned(other, true);
            } else if (kind < 5) {
                simulation.store.faultsOfWrites[simulation.store.writes + 1]
                    = static_cast<Fault>(kind - 1);
            } else if (kind == 5) {
                simulation.store.down = true;
            } else {
                simulation.restartDispatcher();
            }
        };
        runJobs(simulation, [&] {
            if (next < at.size() && simulation.steps >= at[next]) {
                ++next;
                inject(random() % 7);
            }
            const bool heal = simulation.steps % 97 == 0;
            if (heal) {
                simulation.store.down = false;
                simulation.store.applyLate();
                for (auto &[name, node] : simulation.nodes)
                    node.paused = false;
            }
        });
        expectExactlyOnce(simulation, "seed " + std::to_string(seed));
        ASSERT_FALSE(HasFailure());
    }
}

} // namespace
} // namespace Hibiscus
