#include <Coordination/TaskDispatcher.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

// The plans of TaskDispatcher and the orders that follow from them: assignments, starts and stops.
namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::RunRef;
using Tasks::TaskProgress;
using Tasks::TaskRef;
using Tasks::TaskState;

namespace {

/// A run that resumed shows a share of the work that it has not done in its own time.
Tasks::DepartureDecision::RunOutlook outlookOf(const WorkerFleet::Run &run, TimePoint now)
{
    const TimePoint startedAt = run.startConfirmedAt.value_or(now);
    const std::int32_t percent = run.resumed ? 0 : run.percent;
    Tasks::DepartureDecision::RunOutlook outlook;
    outlook.elapsed = run.elapsed(now);
    outlook.expectedLeft = run.perpetual
        ? maxDuration
        : Tasks::expectedTimeLeft(outlook.elapsed, run.percentReadAt - startedAt, percent,
                                  run.estimate);
    outlook.keepsWork = run.checkpoints || run.perpetual;
    // The start of a run that was taken over is unknown: it may have done much already.
    if (run.resumed && !run.checkpoints)
        outlook.elapsed = maxDuration;
    return outlook;
}

/// Expected ratio of each started run's time to that on a typical worker. A gang ends with its
/// slowest member.
std::vector<double> slownessOfStarts(const Tasks::StartPlan &plan,
                                     std::span<const Tasks::StartRequest> requests,
                                     std::span<const Tasks::WorkerView> workers)
{
    std::map<std::size_t, double> gangs;
    for (const Tasks::StartChoice &choice : plan.starts) {
        double &slowest = gangs[choice.request];
        slowest = std::max(slowest, workers[choice.worker].slowness);
    }
    std::vector<double> slowness;
    for (const Tasks::StartChoice &choice : plan.starts)
        slowness.push_back(requests[choice.request].step->gang ? gangs[choice.request]
                                                               : workers[choice.worker].slowness);
    return slowness;
}

} // namespace

/// Fills in the properties of a run that come from its job. The caller sets the run's reference.
WorkerFleet::Run TaskDispatcher::describeRun(const TrackedJob &job, const TaskRef &ref)
{
    const Tasks::Step &step = job.stepOf(ref);
    WorkerFleet::Run run;
    run.need = step.allocatedResources();
    run.priority = job.job.priority;
    run.estimate = step.estimate;
    run.members = step.gang ? step.count : 1;
    run.checkpoints = step.checkpoints;
    run.perpetual = step.perpetual;
    run.bestEffort = step.bestEffortCpu;
    run.responseTarget = step.responseTarget;
    run.payload = job.job.payload;
    run.checkpoint = job.progress.task(ref).checkpoint;
    run.resumed = !run.checkpoint.empty();
    return run;
}

void TaskDispatcher::schedulePlan()
{
    if (this->planPending || this->phase != Phase::Leading)
        return;
    this->planPending = true;
    const auto workers = static_cast<Duration::rep>(this->fleet.all().size());
    const Duration delay = this->settings.planDelay + this->settings.planDelayPerWorker * workers;
    this->timers.after(delay, [this, generation = this->generation](TimePoint now) {
        if (generation != this->generation)
            return;
        this->planPending = false;
        this->plan(now);
    });
}

void TaskDispatcher::plan(TimePoint now)
{
    if (!this->isLeading(now))
        return;
    this->carryOutKeptOrders(now);
    if (!this->evacuations.isCurrent(now))
        return;
    this->observeWorkers(now);
    const Tasks::UnixMs ageTime = this->ageClock.at(now);
    if (!this->inputs.collect({this->wallClock.nowMs(), ageTime, now}))
        return;
    const Tasks::StartPlan plan
        = this->planner.plan(this->inputs.startRequests(), this->inputs.workerViews(), ageTime);
    this->inputs.keepClaims(plan);
    this->reportShortages(plan, now);
    this->executePlan(plan, now);
}

void TaskDispatcher::observeWorkers(TimePoint now)
{
    for (const auto &[id, worker] : this->fleet.all())
        this->risks.observeProcess(id, worker.entry.incarnation, now);
}

/// A plan is made many times a second, so a shortage is reported once in a while as long as it
/// stays.
void TaskDispatcher::reportShortages(const Tasks::StartPlan &plan, TimePoint now)
{
    constexpr Duration interval = seconds(5);
    for (const Tasks::Shortage &shortage : plan.shortages) {
        const auto [reported, isNew]
            = this->shortagesReportedAt.try_emplace(std::string(shortage.service), now);
        if (!isNew && now < reported->second + interval)
            continue;
        reported->second = now;
        this->logger.logEvent(LogKind::Task, "room is short",
                              {{"service", shortage.service},
                               {"customers", shortage.customers},
                               {"largestCustomer", shortage.largestCustomer},
                               {"largestShare", shortage.largestShare}},
                              now);
    }
}

void TaskDispatcher::executePlan(const Tasks::StartPlan &plan, TimePoint now)
{
    const std::span<const Tasks::StartRequest> requests = this->inputs.startRequests();
    const std::span<const Tasks::WorkerView> workers = this->inputs.workerViews();
    // The views refer to the fleet's tables, which the starts below change, so the victims are
    // copied first.
    std::vector<RunRef> victims;
    for (const Tasks::PreemptionChoice &choice : plan.preemptions) {
        const auto worker = this->fleet.all().find(workers[choice.worker].id);
        auto run = worker->second.runs.begin();
        std::advance(run, choice.occupant);
        victims.push_back(run->second.ref);
    }
    const std::vector<double> slowness = slownessOfStarts(plan, requests, workers);
    std::size_t started = 0;
    for (const Tasks::StartChoice &choice : plan.starts)
        this->assign(requests[choice.request], choice, std::string(workers[choice.worker].id),
                     slowness[started++], now);
    for (const RunRef &victim : victims)
        this->preempt(victim, now);
}

void TaskDispatcher::assign(const Tasks::StartRequest &request, const Tasks::StartChoice &choice,
                            const std::string &worker, double slowness, TimePoint now)
{
    TrackedJob &job = *this->jobs.find(request.job);
    const TaskRef ref{request.occurrence, request.stepNumber, choice.index};
    const std::int64_t incarnation = this->fleet.all().find(worker)->second.entry.incarnation;
    WorkerFleet::Run run = describeRun(job, ref);
    const std::chrono::duration<double> estimate(toSeconds(request.runTime) * slowness);
    run.estimate = std::chrono::duration_cast<Duration>(estimate);
    run.slowness = slowness;
    run.ref = TrackedJobTable::assign(job, ref, worker, incarnation);
    if (job.job.permits.required())
        run.permit = this->permits.permitOf({job.job.id, ref.occurrence, ref.step}, worker, now);
    const RunRef runRef = run.ref;
    this->logger.logEvent(LogKind::Task, "run assigned",
                          {{"request", job.job.id},
                           {"task", Tasks::textOf(ref)},
                           {"run", runRef.run},
                           {"worker", worker},
                           {"waitedMs", this->ageClock.at(now) - request.readySince},
                           {"slowness", slowness},
                           {"rank", StartPlanner::rankOf(request, this->ageClock.at(now))}},
                          now);
    this->fleet.assign(worker, std::move(run), now);
    this->writer.scheduleWrite(job.job.id, [this, runRef, worker](TimePoint at) {
        this->startAssigned(runRef, worker, at);
    });
}

void TaskDispatcher::startAssigned(const RunRef &run, const std::string &worker, TimePoint now)
{
    TrackedJob *job = this->jobs.find(run.job);
    if (!job || this->phase != Phase::Leading)
        return;
    if (!this->mayStart(now)) {
        this->keptOrders.push_back({run, worker});
        return;
    }
    if (job->isFinished()) {
        this->stopRuns({&run, 1}, now);
        return;
    }
    if (this->fleet.isEvacuated(worker) && this->fleet.find(worker, run)) {
        this->stopGang(*job, run, "run given up in an evacuated data centre", now);
        return;
    }
    this->fleet.start(worker, run, now);
}

void TaskDispatcher::preempt(const RunRef &run, TimePoint now)
{
    if (const TrackedJob *job = this->jobs.find(run.job))
        this->stopGang(*job, run, "run gives way to urgent work", now);
}

void TaskDispatcher::stopGang(const TrackedJob &job, const RunRef &run, const char *event,
                              TimePoint now)
{
    std::vector<RunRef> runs;
    for (const TaskRef &member : job.gangMembers(run.task)) {
        const TaskProgress &task = job.progress.task(member);
        if (task.isOnWorker())
            runs.push_back({run.job, member, task.run});
    }
    this->logger.logEvent(LogKind::Task, event,
                          {{"request", run.job},
                           {"task", Tasks::textOf(run.task)},
                           {"run", run.run},
                           {"runsToStop", runs.size()}},
                          now);
    this->stopRuns(runs, now);
}

void TaskDispatcher::stopDoomedRuns(TimePoint now)
{
    for (const auto &[id, worker] : this->fleet.all()) {
        const std::optional<Duration> left = WorkerFleet::timeUntilDeparture(worker, now);
        if (left && !worker.runs.empty())
            this->stopDoomedRuns(worker, *left, now);
    }
}

void TaskDispatcher::stopDoomedRuns(const WorkerFleet::Worker &worker, Duration untilDeparture,
                                    TimePoint now)
{
    std::vector<RunRef> doomed;
    for (const auto &[key, run] : worker.runs) {
        if (!run.stopWanted && this->departures.stopsNow(outlookOf(run, now), untilDeparture))
            doomed.push_back(run.ref);
    }
    for (const RunRef &run : doomed) {
        // The whole gang is stopped for the first of its members.
        const WorkerFleet::Run *left = this->fleet.find(worker.entry.id, run);
        const TrackedJob *job = this->jobs.find(run.job);
        if (job && left && !left->stopWanted)
            this->stopGang(*job, run, "run given up on a worker that leaves", now);
    }
}

void TaskDispatcher::stopRuns(std::span<const RunRef> runs, TimePoint now)
{
    if (this->phase != Phase::Leading)
        return;
    const bool inDoubt = !this->isLeading(now);
    for (const RunRef &run : runs) {
        if (inDoubt)
            this->keptOrders.push_back({run, {}});
        else
            this->stopRun(run, now);
    }
}

void TaskDispatcher::stopRun(const RunRef &ref, TimePoint now)
{
    TrackedJob *job = this->jobs.find(ref.job);
    if (!job)
        return;
    const std::string worker = job->progress.task(ref.task).worker;
    const WorkerFleet::Run *run = this->fleet.find(worker, ref);
    if (!run)
        return;
    const bool neverSent = run->startAttempts == 0 && !run->adopted && !run->startConfirmedAt;
    if (!neverSent) {
        this->fleet.requestStop(worker, ref, now);
        return;
    }
    this->fleet.withdraw(worker, ref, now);
    TaskProgress &task = job->progress.task(ref.task);
    if (task.isOnWorker())
        task.state = TaskState::Waiting;
    this->writer.scheduleWrite(ref.job, nullptr);
}

/// The bound of the leader's lease by its own clock may pass before the answer to a renewal
/// arrives. After the answer the term goes on, and so do the orders that were due in between.
/// Starts also wait while it is not known which data centres are evacuated.
void TaskDispatcher::carryOutKeptOrders(TimePoint now)
{
    std::vector<KeptOrder> orders = std::exchange(this->keptOrders, {});
    // A run that was to be stopped meanwhile does not start first.
    const auto firstStart = std::stable_partition(
        orders.begin(), orders.end(), [](const KeptOrder &order) { return order.worker.empty(); });
    if (!this->mayStart(now)) {
        this->keptOrders.assign(firstStart, orders.end());
        orders.erase(firstStart, orders.end());
    }
    if (orders.empty())
        return;
    this->logger.logEvent(LogKind::Leadership, "orders kept during a renewal are carried out",
                          {{"orders", orders.size()}, {"token", this->election.token()}}, now);
    for (const KeptOrder &order : orders) {
        if (order.worker.empty())
            this->stopRuns({&order.run, 1}, now);
        else
            this->startAssigned(order.run, order.worker, now);
    }
}

} // namespace Hibiscus::Coordination
