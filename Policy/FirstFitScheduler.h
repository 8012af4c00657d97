#pragma once

#include <Policy/Scheduler.h>

#include <map>

namespace Hibiscus {

/// What the baselines share: lanes of waiting jobs, each in the order of arrival, of which only the
/// first may start; the first worker or workers that fit; no guarantees, no reclaiming. A baseline
/// says which lane a job waits in and which lane goes first.
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
    /// Lanes of the lowest rank are tried first.
    virtual double rank(std::uint32_t lane) const = 0;
    /// A lane that was empty gets its first job.
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
        std::uint64_t sequence = 0; ///< Place in the order of arrival.
        std::vector<Placement> placements; ///< Empty while it waits.
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
    /// Lanes that aren't empty; each by place in the order of arrival.
    std::map<std::uint32_t, std::map<std::uint64_t, JobId>> lanes;
    std::uint64_t lastSequence = 0;
};

} // namespace Hibiscus
