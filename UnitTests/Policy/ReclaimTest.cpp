#include "GuaranteeChecker.h"

#include <random>

namespace Hibiscus {

namespace {

constexpr std::uint64_t caseCount = 10000;
constexpr double silentBorrowerShare = 0.3;

/// One case: borrowers fill the fleet, then every customer asks for its whole guarantee at once.
class ReclaimCase
{
public:
    explicit ReclaimCase(std::uint64_t seed)
        : random(seed)
    {
        this->driver.addWorkers(9 + 3 * this->below(3), 8, 8, 3);
        std::vector<Scheduler::CustomerEntitlement> entitlements(4);
        entitlements[0].guarantee = {0, 0, 0, this->below(2), this->below(2)};
        entitlements[1].guarantee = {this->below(3), this->below(2), this->below(2), 0, 0};
        entitlements[2].guarantee = {this->below(3), 1, 0, this->below(2), 0};
        this->driver.setCustomers(entitlements);
        this->driver.scheduler.setPreset(SchedulerDriver::unlimitedPreset(), false,
                                         this->driver.now);
    }

    void run()
    {
        this->fillWithBorrowers();
        this->demandAll();
        const Duration term = this->settings.reclaim.leaseTerm;
        const TimePoint asked = this->driver.now;
        while (this->driver.now < asked + term) {
            this->applyDepartures();
            this->driver.decide();
            this->driver.now += milliseconds(250);
        }
        this->applyDepartures();
        this->driver.decide();
        for (const JobId job : this->demanded)
            EXPECT_TRUE(this->driver.running.contains(job.value)) << "job " << job.value;
    }

private:
    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(this->random() % bound);
    }

    void fillWithBorrowers()
    {
        constexpr std::array<std::uint16_t, 8> sizes{1, 1, 2, 3, 4, 8, 16, 24};
        for (int index = 0; index < 60; ++index) {
            QueuedJob spec = this->driver.job(3, sizes[this->below(sizes.size())]);
            spec.urgency = static_cast<UrgencyClass>(this->below(urgencyClassCount));
            spec.isPreemptible = this->below(6) != 0;
            spec.memoryMiB = this->below(4) == 0 ? this->below(8000) : 0;
            this->driver.submit(spec);
            if (this->below(4) == 0)
                this->driver.decide();
            if (this->below(4) == 0 && !this->driver.running.empty())
                this->driver.end({this->driver.running.begin()->first});
        }
        this->driver.decide();
        this->driver.now += seconds(5);
    }

    void demand(std::uint16_t customer, std::uint16_t accelerators, std::uint32_t count)
    {
        for (std::uint32_t index = 0; index < count; ++index) {
            QueuedJob spec = this->driver.job(customer, accelerators);
            spec.urgency = UrgencyClass::Background;
            spec.adjacency = Adjacency::Rack;
            // All of the memory that belongs to the cell.
            spec.memoryMiB = 1000U * std::min<std::uint32_t>(accelerators, 8);
            EXPECT_TRUE(this->driver.submit(spec).isAccepted());
            this->demanded.push_back(spec.job);
        }
    }

    void demandAll()
    {
        const SchedulerState &state = this->driver.scheduler.currentState();
        constexpr std::array<std::uint16_t, cellLevelCount> sizes{1, 2, 4, 8, 24};
        for (std::uint16_t customer = 0; customer < 3; ++customer) {
            const CellCounts guarantee = state.bindings.guarantee({customer});
            for (std::size_t level = 0; level < cellLevelCount; ++level)
                this->demand(customer, sizes[level], guarantee[level]);
        }
    }

    /// Ends borrowers some time after their checkpoint or stop. Silent borrowers end only when the
    /// lease of their worker's task has expired after the stop.
    void applyDepartures()
    {
        while (this->seenEvents < this->driver.history.size()) {
            const SchedulerDriver::Event &event = this->driver.history[this->seenEvents++];
            if (event.kind != DecisionKind::Checkpoint && event.kind != DecisionKind::Stop)
                continue;
            const bool isSilent = this->isSilent(event.job);
            const Duration lease
                = this->settings.reclaim.leaseTerm - this->settings.reclaim.stopDelay;
            if (isSilent && event.kind == DecisionKind::Checkpoint)
                continue;
            const Duration delay
                = isSilent ? lease - milliseconds(250) : Duration(milliseconds(this->below(2000)));
            this->departures.emplace(event.when + delay, event.job);
        }
        while (!this->departures.empty() && this->departures.begin()->first <= this->driver.now) {
            const JobId job = this->departures.begin()->second;
            this->departures.erase(this->departures.begin());
            if (this->driver.running.contains(job.value))
                this->driver.end(job, EndKind::Preempted, true);
        }
    }

    bool isSilent(JobId job)
    {
        const auto [entry, isNew] = this->silent.try_emplace(job.value, false);
        if (isNew)
            entry->second = this->below(1000) < silentBorrowerShare * 1000;
        return entry->second;
    }

    std::mt19937_64 random;
    CellScheduler::Settings settings;
    SchedulerDriver driver{this->settings};
    std::vector<JobId> demanded;
    std::multimap<TimePoint, JobId> departures;
    std::map<std::uint64_t, bool> silent;
    std::size_t seenEvents = 0;
};

} // namespace

TEST(Reclaim, everyGuaranteeIsReclaimedWithinOneLeaseTermAlsoFromSilentBorrowers)
{
    for (std::uint64_t seed = 0; seed < caseCount; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        ReclaimCase(seed).run();
        if (::testing::Test::HasFailure())
            return;
    }
}

} // namespace Hibiscus
