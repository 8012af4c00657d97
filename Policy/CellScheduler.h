#pragma once

#include <Policy/AdmissionControl.h>
#include <Policy/Reservations.h>
#include <Policy/StartPass.h>

namespace Hibiscus {

/// The production scheduler. Guarantees are multisets of cells that are lent while idle and
/// reclaimed in bounded time. Jobs outside guarantees start in fair-share order within urgency
/// classes, and gangs start all or none. Deterministic: the same calls give the same decisions.
class CellScheduler : public Scheduler
{
public:
    using Settings = SchedulerSettings;

    explicit CellScheduler(const Settings &settings);

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
    std::optional<TimePoint> nextWakeup() const override { return this->wakeup; }
    SchedulerGauges gauges() const override;
    std::vector<Shortfall> shortfalls() const override;

    /// The scheduler's internal state, for checks and measurements.
    const SchedulerState &currentState() const { return this->state; }
    const Reservations &currentReservations() const { return this->reservations; }

private:
    void scheduleFitRecheck(TimePoint now);
    void setPresence(WorkerId worker, Presence presence);
    /// Sets the worker's service level from its presence and health.
    void updateService(WorkerId worker);
    void recordHealth(std::uint32_t job, EndKind end, std::optional<WorkerId> faultyWorker,
                      TimePoint now);
    void learnRunTime(const JobRow &row, EndKind end, TimePoint now);
    void unbindExcessCells();
    void expireUnfittableJobs(std::vector<Decision> &decisions);
    void expire(std::uint32_t job, RefusalReason reason, std::vector<Decision> &decisions);
    /// With lending off, preempts borrowers until unbound guarantees fit into idle slots.
    void reclaimLentCells(TimePoint now);
    void enqueue(std::uint32_t job);
    void updateWakeup(TimePoint now);

    SchedulerState state;
    JobLifecycle lifecycle;
    Reservations reservations;
    StartPass startPass;
    AdmissionControl admission;
    std::optional<TimePoint> fitRecheckAt;
    bool isLendingCheckDue = false;
    std::optional<TimePoint> wakeup;
};

} // namespace Hibiscus
