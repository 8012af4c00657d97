#pragma once

#include <Policy/Scheduler.h>

#include <map>

namespace Hibiscus {

/// Base class of the baseline schedulers. Jobs wait in lanes, each in arrival order, and only the
/// first job of a lane may start, on the first worker or workers that fit. There are no guarantees
/// and no reclaiming. A subclass chooses a job's lane and the order of the lanes.
class FirstFitScheduler : public Scheduler
{
public:
    void setCustomers(std::span<const CustomerEntitlement> customers, TimePoint now) override;
    void setPreset(const Preset &preset, bool dataCenterClosed, TimePoint now) override;
    void workerUp(WorkerId worker, const WorkerDescription &description, TimePoint now) override;
    void workerLeaving(WorkerId worker, TimePoint now) override;
    void workerDown(WorkerId worker, TimePoint now) override;
    Admission submit(const QueuedJob &job, TimePoint now) override;
    bool adopt(const QueuedJob &job, std::span<const Placement> placements, TimePoint now) override;
    bool cancel(JobId job, TimePoint now) override;
    void jobStarted(JobId job, TimePoint now) override;
    void jobEnded(JobId job, EndKind end, std::optional<WorkerId> faultyWorker, bool requeue,
                  TimePoint now) override;
    void decide(TimePoint now, std::vector<Decision> &decisions) override;
    std::optional<TimePoint> nextWakeup() const override { return std::nullopt; }
    SchedulerGauges gauges() const override;
    std::vector<Shortfall> shortfalls() const override { return {}; }

protected:
    virtual std::uint32_t laneOf(const QueuedJob &job) const = 0;
    /// Lanes are tried in order of ascending rank.
    virtual double rank(std::uint32_t lane) const = 0;
    /// Called when an empty lane receives a job.
    virtual void laneActivated(std::uint32_t) {}
    virtual void charge(const QueuedJob &) {}

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
        std::uint64_t sequence = 0; ///< Position in arrival order.
        std::vector<Placement> placements; ///< Empty while the job waits.
    };

    std::vector<Placement> findPlacements(const QueuedJob &job, bool whenAllFree) const;
    void occupy(std::span<const Placement> placements);
    void release(std::span<const Placement> placements);

    void enqueue(const Job &job);
    void dequeue(const Job &job);
    bool startOne(std::vector<Decision> &decisions);

    bool serving = false;
    std::size_t customers = 0;
    std::map<WorkerId, Worker> workers;
    std::map<JobId, Job> jobs;
    /// The non-empty lanes, each ordered by `Job::sequence`.
    std::map<std::uint32_t, std::map<std::uint64_t, JobId>> lanes;
    std::uint64_t lastSequence = 0;
};

} // namespace Hibiscus
