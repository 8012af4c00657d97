#include "GuaranteeChecker.h"

#include <random>

namespace Hibiscus {

namespace {

constexpr std::uint64_t seedCount = 200;
constexpr std::uint32_t stepsPerSeed = 5000;

/// Events that may occur in addition to submissions, ends, cancellations and the passing of time.
struct Disturbances
{
    bool workersFail = false;
    bool configurationChanges = false;
};

/// One sequence of random steps, with the invariants checked after each step.
class RandomHistory
{
public:
    RandomHistory(std::uint64_t seed, const Disturbances &disturbances)
        : random(seed)
        , driver(settingsFor(disturbances))
        , checker(this->driver)
        , disturbances(disturbances)
    {
        this->driver.addWorkers(this->below(3) * 3 + 9, 8, 8, 3);
        if (this->below(2) == 0)
            this->driver.addWorkers(2, 4, 4, 2);
        if (this->below(2) == 0)
            this->driver.addWorkers(3, 8, 0, 3);
        this->chooseCustomers();
        this->preset = SchedulerDriver::unlimitedPreset();
        this->preset.classes[0].keptShare = 0.1;
        this->preset.classes[2].largestShare = 0.9;
        this->driver.scheduler.setPreset(this->preset, false, this->driver.now);
        this->presence.assign(this->driver.descriptions.size(), true);
    }

    void run(std::uint32_t steps)
    {
        CellCounts before = this->checker.deficit();
        for (std::uint32_t step = 0; step < steps && !::testing::Test::HasFailure(); ++step) {
            const bool mayGrowDeficit = this->takeStep();
            const CellCounts afterStep = this->checker.deficit();
            EXPECT_TRUE(mayGrowDeficit || !this->hasLargerSlotDeficit(afterStep, before))
                << "step " << step;
            this->driver.decide();
            const CellCounts after = this->checker.deficit();
            EXPECT_FALSE(hasLargerDeficit(after, afterStep)) << "decide in step " << step;
            const bool isUndisturbed
                = !this->disturbances.workersFail && !this->disturbances.configurationChanges;
            EXPECT_TRUE(!isUndisturbed || isAllZero(after)) << "step " << step;
            EXPECT_EQ(after, this->driver.scheduler.currentState().bindings.deficit())
                << "step " << step;
            this->checker.checkCells();
            before = after;
        }
    }

    const std::vector<SchedulerDriver::Event> &history() const { return this->driver.history; }

private:
    static CellScheduler::Settings settingsFor(const Disturbances &disturbances)
    {
        CellScheduler::Settings settings;
        if (!disturbances.workersFail)
            settings.health.maxEjectedShare = 0;
        return settings;
    }

    /// During a shortfall the end of a job may make a rack whole at the cost of a missing slot
    /// cell, so the deficit is compared in slots rather than by level.
    bool hasLargerSlotDeficit(const CellCounts &after, const CellCounts &before) const
    {
        const CellShape &shape = this->driver.scheduler.currentState().fleet.shape();
        const std::array<std::uint32_t, cellLevelCount> sizes{
            1, 2, 4, shape.workerSlots, shape.workerSlots * shape.rackWorkers};
        std::uint32_t slotsAfter = 0;
        std::uint32_t slotsBefore = 0;
        for (std::size_t level = 0; level < cellLevelCount; ++level) {
            slotsAfter += after[level] * sizes[level];
            slotsBefore += before[level] * sizes[level];
        }
        return slotsAfter > slotsBefore;
    }

    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(this->random() % bound);
    }

    void chooseCustomers()
    {
        // The guarantees always fit the smallest fleet: nine workers with eight slots in three
        // racks.
        std::vector<Scheduler::CustomerEntitlement> entitlements(4);
        entitlements[0].guarantee = {0, 0, 0, 0, this->below(2)};
        entitlements[1].guarantee = {0, 1, 1, 1, 0};
        entitlements[2].guarantee = {this->below(4), this->below(3), this->below(2), 1, 0};
        entitlements[3].share = 2.0;
        this->driver.setCustomers(entitlements);
    }

    QueuedJob randomJob()
    {
        constexpr std::array<std::uint16_t, 14> sizes{0, 0, 1, 1, 1, 2, 2, 3, 4, 5, 8, 8, 16, 24};
        constexpr std::array<Adjacency, 4> adjacencies{
            Adjacency::Any, Adjacency::Any, Adjacency::Rack, Adjacency::NeighboringRacks};
        QueuedJob spec = this->driver.job(static_cast<std::uint16_t>(this->below(4)),
                                          sizes[this->below(sizes.size())]);
        spec.adjacency = adjacencies[this->below(adjacencies.size())];
        spec.urgency = static_cast<UrgencyClass>(this->below(urgencyClassCount));
        spec.isPreemptible = this->below(5) != 0;
        spec.caller = {spec.customer.value * 8 + this->below(3)};
        spec.kind = {this->below(3)};
        spec.memoryMiB = this->below(3) == 0 ? this->below(3000) : 0;
        spec.declaredRunTime = seconds(1 + this->below(300));
        if (this->below(4) == 0)
            spec.deadline = this->driver.now + seconds(this->below(2000));
        return spec;
    }

    JobId anyRunning()
    {
        auto place = this->driver.running.begin();
        std::advance(place, this->below(static_cast<std::uint32_t>(this->driver.running.size())));
        return {place->first};
    }

    void endAny()
    {
        if (this->driver.running.empty())
            return;
        const JobId job = this->anyRunning();
        const std::uint32_t how = this->below(10);
        if (how < 7)
            this->driver.end(job);
        else if (how == 7)
            this->driver.end(job, EndKind::Preempted, true);
        else if (how == 8)
            this->driver.end(job, EndKind::WorkerFault, true,
                             this->driver.running.at(job.value).placements.front().worker);
        else
            this->driver.end(job, EndKind::Failed);
    }

    void cancelAny()
    {
        if (this->driver.waiting.empty())
            return;
        auto place = this->driver.waiting.begin();
        std::advance(place, this->below(static_cast<std::uint32_t>(this->driver.waiting.size())));
        EXPECT_TRUE(this->driver.scheduler.cancel({place->first}, this->driver.now));
        this->driver.waiting.erase(place);
    }

    void changeWorker()
    {
        const std::uint32_t index = this->below(static_cast<std::uint32_t>(this->presence.size()));
        const WorkerId worker{index};
        if (!this->presence[index]) {
            this->driver.scheduler.workerUp(worker, this->driver.descriptions[index],
                                            this->driver.now);
        } else if (this->below(2) == 0) {
            this->driver.scheduler.workerLeaving(worker, this->driver.now);
        } else {
            this->driver.scheduler.workerDown(worker, this->driver.now);
            std::vector<JobId> lost;
            for (const auto &[job, running] : this->driver.running) {
                for (const Placement &part : running.placements) {
                    if (part.worker == worker)
                        lost.push_back({job});
                }
            }
            for (const JobId job : lost)
                this->driver.end(job, EndKind::WorkerFault, true, worker);
        }
        this->presence[index] = !this->presence[index];
    }

    /// Returns true if the deficit of the guarantees may grow in this step.
    bool takeStep()
    {
        this->driver.now += milliseconds(this->below(5000));
        const std::uint32_t choice = this->below(100);
        if (choice < 45) {
            this->driver.submit(this->randomJob());
            return false;
        }
        if (choice < 85) {
            this->endAny();
            // Consecutive faults eject a worker, and a rack that lost a worker is no longer whole
            // once it is unused.
            return this->disturbances.workersFail;
        }
        if (choice < 93) {
            this->cancelAny();
            return this->disturbances.workersFail;
        }
        if (choice < 96 && this->disturbances.workersFail) {
            this->changeWorker();
            return true;
        }
        if (choice < 98 && this->disturbances.configurationChanges) {
            if (this->below(2) == 0) {
                this->preset.lending = !this->preset.lending;
                this->driver.scheduler.setPreset(this->preset, false, this->driver.now);
                return false;
            }
            this->chooseCustomers();
            return true;
        }
        return false;
    }

    std::mt19937_64 random;
    SchedulerDriver driver;
    GuaranteeChecker checker;
    Disturbances disturbances;
    Preset preset;
    std::vector<bool> presence;
};

/// Runs all seeds of one combination of disturbances. A failing seed is in the trace.
void runSeeds(std::uint64_t first, const Disturbances &disturbances)
{
    for (std::uint64_t seed = first; seed < first + seedCount / 4; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomHistory(seed, disturbances).run(stepsPerSeed);
        if (::testing::Test::HasFailure())
            return;
    }
}

} // namespace

TEST(RandomSteps, guaranteesHoldAndNoGangIsPartial)
{
    runSeeds(0, {});
}

TEST(RandomSteps, decisionsNeverGrowTheDeficitWhenWorkersFail)
{
    runSeeds(1000, {.workersFail = true});
}

TEST(RandomSteps, decisionsNeverGrowTheDeficitWhenTheConfigurationChanges)
{
    runSeeds(2000, {.configurationChanges = true});
}

TEST(RandomSteps, decisionsNeverGrowTheDeficitWhenWorkersFailAndTheConfigurationChanges)
{
    runSeeds(3000, {.workersFail = true, .configurationChanges = true});
}

TEST(RandomSteps, theSameCallsGiveTheSameDecisions)
{
    RandomHistory first(42, {.workersFail = true, .configurationChanges = true});
    RandomHistory second(42, {.workersFail = true, .configurationChanges = true});
    first.run(stepsPerSeed);
    second.run(stepsPerSeed);
    ASSERT_EQ(first.history().size(), second.history().size());
    EXPECT_GT(first.history().size(), 1000U);
    for (std::size_t index = 0; index < first.history().size(); ++index) {
        EXPECT_EQ(first.history()[index].kind, second.history()[index].kind);
        EXPECT_EQ(first.history()[index].job, second.history()[index].job);
    }
}

} // namespace Hibiscus
