#pragma once

#include <Policy/Scheduler.h>

#include <deque>
#include <map>
#include <set>

namespace Hibiscus {

/// Baseline: one queue in the order of arrival, first worker or workers that fit, no guarantees,
/// no reclaiming. Use it to compare against, and where a test needs a scheduler that is easy to
/// foresee.
class FifoScheduler : public Scheduler
{
public:
    void setCustomers(std::span<const CustomerShape> customers, TimePoint now) override;
    void setPreset(const Preset &preset, bool dataCenterClosed, TimePoint now) override;
    void workerUp(WorkerId worker, const WorkerDescription &description, TimePoint now) override;
    void workerLeaving(WorkerId worker, TimePoint now) override;
    void workerDown(WorkerId worker, TimePoint now) override;
    Admission submit(const QueuedJob &job, TimePoint now) override;
    bool adopt(const QueuedJob &job, std::span<const Placement> placements, TimePoint now) override;
    bool cancel(JobId job, TimePoint now) override;
    void started(JobId job, TimePoint now) override;
    void ended(JobId job, EndKind end, std::optional<WorkerId> faultyWorker, bool requeue,
               TimePoint now) override;
    void decide(TimePoint now, std::vector<Decision> &decisions) override;
    std::optional<TimePoint> nextWakeup() const override { return std::nullopt; }
    SchedulerGauges gauges() const override;
    std::vector<Shortfall> shortfalls() const override { return {}; }

private:
    struct Worker
    {
        std::uint16_t slots = 0;
        bool accelerated = false;
        bool usable = false;
        SlotMask free = 0;
    };
    struct Job
    {
        QueuedJob spec;
        std::vector<Placement> placements; ///< Empty while it waits.
    };

    std::vector<Placement> find(const QueuedJob &job, bool whenAllFree) const;
    void take(std::span<const Placement> placements);
    void give(std::span<const Placement> placements);

    bool serving = false;
    std::size_t customers = 0;
    std::map<WorkerId, Worker> workers;
    std::map<JobId, Job> jobs;
    std::deque<JobId> waiting; ///< May name jobs that were cancelled.
};

} // namespace Hibiscus
