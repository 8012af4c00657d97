#pragma once

#include <Policy/CellScheduler.h>

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hibiscus {

/// Drives a scheduler step by step: keeps the time, applies the decisions to a model of the fleet,
/// and checks after each decision that no slot has two jobs and that a job starts with all slots
/// that it requested.
class SchedulerDriver
{
public:
    struct Running
    {
        QueuedJob spec;
        std::vector<Placement> placements;
        TimePoint since;
    };

    struct Event
    {
        TimePoint when;
        DecisionKind kind;
        JobId job;
        RefusalReason reason;
    };

    explicit SchedulerDriver(const CellScheduler::Settings &settings = {})
        : scheduler(settings)
    {}

    static Preset unlimitedPreset()
    {
        Preset preset{.name = "ordinary"};
        for (ClassLimits &limits : preset.classes)
            limits.queuedPerCustomer = 1000000;
        return preset;
    }

    void addWorkers(std::uint32_t count, std::uint16_t slots = 8, std::uint16_t accelerators = 8,
                    std::uint32_t perRack = 6)
    {
        for (std::uint32_t index = 0; index < count; ++index) {
            const WorkerId worker{static_cast<std::uint32_t>(this->descriptions.size())};
            WorkerDescription description{.name = "w" + std::to_string(worker.value)};
            description.rack = this->firstRack + index / perRack;
            description.slots = slots;
            description.accelerators = accelerators;
            description.memoryMiB = 1000U * slots;
            this->descriptions.push_back(description);
            this->scheduler.workerUp(worker, description, this->now);
        }
        this->firstRack += (count + perRack - 1) / perRack;
    }

    void setCustomers(const std::vector<Scheduler::CustomerEntitlement> &entitlements)
    {
        this->scheduler.setCustomers(entitlements, this->now);
    }

    QueuedJob job(std::uint16_t customer, std::uint16_t accelerators)
    {
        QueuedJob spec;
        spec.job = {++this->lastJob};
        spec.customer = {customer};
        spec.caller = {customer};
        spec.kind = {1};
        spec.accelerators = accelerators;
        spec.declaredRunTime = seconds(60);
        return spec;
    }

    Admission submit(const QueuedJob &spec)
    {
        const Admission answer = this->scheduler.submit(spec, this->now);
        if (answer.isAccepted())
            this->waiting.emplace(spec.job.value, spec);
        return answer;
    }

    /// Calls `decide`, applies the decisions to the model and returns them.
    std::vector<Event> decide()
    {
        this->decisions.clear();
        this->scheduler.decide(this->now, this->decisions);
        std::vector<Event> events;
        for (const Decision &decision : this->decisions) {
            events.push_back({this->now, decision.kind, decision.job, decision.reason});
            if (decision.kind == DecisionKind::Start) {
                this->applyStart(decision);
            } else if (decision.kind == DecisionKind::Expire) {
                EXPECT_EQ(this->waiting.erase(decision.job.value), 1U);
            } else {
                EXPECT_EQ(this->running.count(decision.job.value), 1U);
            }
        }
        this->history.insert(this->history.end(), events.begin(), events.end());
        return events;
    }

    void end(JobId job, EndKind end = EndKind::Finished, bool requeue = false,
             std::optional<WorkerId> faulty = std::nullopt)
    {
        const auto found = this->running.find(job.value);
        ASSERT_NE(found, this->running.end());
        for (const Placement &part : found->second.placements)
            this->used[part.worker.value] &= ~part.slots;
        if (requeue)
            this->waiting.emplace(job.value, found->second.spec);
        this->running.erase(found);
        this->scheduler.jobEnded(job, end, faulty, requeue, this->now);
    }

    /// Advances the time through the scheduler's wakeups up to `until` and decides at each.
    void runUntil(TimePoint until)
    {
        while (true) {
            const auto wakeup = this->scheduler.nextWakeup();
            if (!wakeup || *wakeup > until)
                break;
            this->now = std::max(this->now, *wakeup);
            this->decide();
            if (this->scheduler.nextWakeup() == wakeup)
                break;
        }
        this->now = until;
        this->decide();
    }

    std::uint32_t usedSlots() const
    {
        std::uint32_t sum = 0;
        for (const auto &[worker, slots] : this->used)
            sum += std::popcount(slots);
        return sum;
    }

    CellScheduler scheduler;
    TimePoint now{seconds(1000)};
    std::map<std::uint64_t, QueuedJob> waiting;
    std::map<std::uint64_t, Running> running;
    std::map<std::uint32_t, SlotMask> used;
    std::vector<WorkerDescription> descriptions;
    std::vector<Event> history;
    std::vector<Decision> decisions;
    std::uint64_t lastJob = 0;

private:
    void applyStart(const Decision &decision)
    {
        const auto found = this->waiting.find(decision.job.value);
        ASSERT_NE(found, this->waiting.end());
        const QueuedJob spec = found->second;
        std::uint32_t slots = 0;
        std::set<std::uint32_t> workers;
        for (const Placement &part : decision.placements) {
            const WorkerDescription &worker = this->descriptions[part.worker.value];
            EXPECT_EQ(part.slots & ~lowSlots(worker.slots), 0U);
            EXPECT_EQ(this->used[part.worker.value] & part.slots, 0U)
                << "the slot already has a job";
            this->used[part.worker.value] |= part.slots;
            const unsigned low = std::countr_zero(part.slots);
            EXPECT_EQ(part.slots >> low, lowSlots(std::popcount(part.slots)))
                << "slots are not adjacent";
            EXPECT_TRUE(workers.insert(part.worker.value).second);
            EXPECT_TRUE(spec.accelerators == 0 || worker.accelerators != 0);
            slots += std::popcount(part.slots);
        }
        EXPECT_EQ(slots, std::max<std::uint32_t>(spec.accelerators, 1))
            << "the job has fewer or more slots than requested";
        const std::span<const Placement> parts = decision.placements;
        this->running[spec.job.value] = {spec, {parts.begin(), parts.end()}, this->now};
        this->waiting.erase(found);
        this->scheduler.jobStarted(spec.job, this->now);
    }

    std::uint32_t firstRack = 0;
};

} // namespace Hibiscus
