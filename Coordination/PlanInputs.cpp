#include <Coordination/PlanInputs.h>

#include <algorithm>
#include <limits>
#include <set>

namespace Hibiscus::Coordination {

using Tasks::OccupantView;
using Tasks::StartRequest;
using Tasks::StepRef;
using Tasks::TaskProgress;
using Tasks::TaskRef;
using Tasks::UnixMs;
using Tasks::WorkerView;

namespace {

/// Expected end of perpetual runs, and the time at which a restart of perpetual tasks loses its
/// value.
constexpr UnixMs never = std::numeric_limits<UnixMs>::max();

/// A job that ends later than this multiple of its objective is of no use to the customer.
constexpr int worthlessAfterObjectives = 3;

StepRef stepOf(const StartRequest &request)
{
    return {std::string(request.job), request.occurrence, request.stepNumber};
}

/// Since when the occurrence could have started, by the JobAgeClock.
UnixMs readySince(const Tasks::Job &job, std::int32_t occurrence, const PlanInputs::Time &time)
{
    if (job.repetition.count == 0)
        return job.acceptedAt;
    const UnixMs overdueMs = std::max<UnixMs>(0, time.timeOfDay - job.dueAt(occurrence));
    return std::max(job.acceptedAt, time.ageTime - overdueMs);
}

/// Whether the task is at work: its worker reports the run at 100 percent and no stop is requested.
bool isFullyRunning(const WorkerFleet &fleet, const TrackedJob &job, const TaskRef &ref)
{
    const TaskProgress &task = job.progress.task(ref);
    if (!task.isOnWorker())
        return false;
    const WorkerFleet::Run *run = fleet.find(task.worker, {job.job.id, ref, task.run});
    return run && !run->stopWanted && run->percent >= Tasks::completePercent;
}

/// Adds the runs of the step that must not be displaced, in all occurrences of the job.
void collectFixedTasks(const WorkerFleet &fleet, const TrackedJob &job, std::int32_t step,
                       std::int32_t mostAway, std::set<Tasks::RunRef> &fixed)
{
    const std::int32_t count = job.job.steps[static_cast<std::size_t>(step)].count;
    for (std::int32_t occurrence = 0; occurrence < job.job.occurrences(); occurrence++) {
        std::vector<Tasks::RunRef> fullyRunning;
        for (std::int32_t index = 0; index < count; index++) {
            const TaskRef ref{occurrence, step, index};
            if (isFullyRunning(fleet, job, ref))
                fullyRunning.push_back({job.job.id, ref, job.progress.task(ref).run});
        }
        const std::int32_t away = count - static_cast<std::int32_t>(fullyRunning.size());
        const std::int32_t displaceable = std::clamp(mostAway - away, 0, count - away);
        fixed.insert(fullyRunning.begin() + displaceable, fullyRunning.end());
    }
}

} // namespace

PlanInputs::PlanInputs(const TrackedJobTable &jobs, const WorkerFleet &fleet,
                       const Tasks::RunTimeEstimator &runTimes, const Tasks::WorkerSpeeds &speeds,
                       const Tasks::WorkerRisks &risks, PermitCache &permits,
                       GuaranteeLookup guarantees, const Settings &settings)
    : jobs(jobs)
    , fleet(fleet)
    , runTimes(runTimes)
    , risks(risks)
    , speeds(speeds)
    , permits(permits)
    , guarantees(std::move(guarantees))
    , settings(settings)
{}

void PlanInputs::clear()
{
    this->requests.clear();
    this->workers.clear();
    this->claims.clear();
}

bool PlanInputs::collect(const Time &time)
{
    this->collectRequests(time);
    if (this->requests.empty())
        return false;
    this->collectWorkers(time);
    this->nameOwners();
    this->markFixedOccupants();
    this->markGuaranteed();
    for (StartRequest &request : this->requests) {
        this->findSiblings(request);
        this->restoreClaims(request);
    }
    this->restrictToPermits(time);
    return true;
}

void PlanInputs::collectRequests(const Time &time)
{
    this->requests.clear();
    for (const auto &[id, job] : this->jobs.all()) {
        if (job.isFinished())
            continue;
        const bool repeated = job.job.repetition.count > 0;
        for (std::int32_t i = 0; i < job.job.occurrences(); i++) {
            if (repeated && time.timeOfDay < job.job.dueAt(i))
                break;
            this->addRequests(job, i, time);
        }
    }
}

/// Fills in what earlier runs of a gang ended as failed.
void PlanInputs::addFailures(StartRequest &request, const TrackedJob &job, const Time &time) const
{
    if (!request.step->gang)
        return;
    const TaskRef first{request.occurrence, request.stepNumber, 0};
    request.attemptsLeft = job.job.maxAttempts - job.progress.task(first).failures;
    const std::optional<TimePoint> failedAt
        = this->risks.lastFailureOf({job.job.id, request.occurrence, request.stepNumber});
    if (failedAt)
        request.failedAt = time.ageTime - toMs(time.now - *failedAt);
}

void PlanInputs::addRequests(const TrackedJob &job, std::int32_t occurrence, const Time &time)
{
    const UnixMs span = toMs(job.job.objective(this->runTimes.expectedCriticalPath(job.job)));
    for (std::size_t i = 0; i < job.job.steps.size(); i++) {
        const auto number = static_cast<std::int32_t>(i);
        const Tasks::Step &step = job.job.steps[i];
        std::vector<std::int32_t> indexes
            = TrackedJobTable::startableTasks(job, occurrence, number);
        const std::size_t revoked = std::erase_if(indexes, [&](std::int32_t index) {
            return this->fleet.isRevoking(job.job.id, {occurrence, number, index});
        });
        if (indexes.empty() || (step.gang && revoked > 0))
            continue;
        StartRequest request;
        request.job = job.job.id;
        request.occurrence = occurrence;
        request.stepNumber = number;
        request.step = &step;
        request.service = job.job.service;
        request.customer = job.job.customer;
        request.priority = job.job.priority;
        request.runTime = this->runTimes.expectedRunTime(job.job.queue, step.estimate);
        request.readySince = readySince(job.job, occurrence, time);
        request.objectiveAt = step.perpetual ? time.ageTime : request.readySince + span;
        request.usefulUntil
            = step.perpetual ? never : request.readySince + worthlessAfterObjectives * span;
        request.indexes = std::move(indexes);
        this->addFailures(request, job, time);
        this->requests.push_back(std::move(request));
    }
}

void PlanInputs::collectWorkers(const Time &time)
{
    this->workers.clear();
    this->workers.reserve(this->fleet.all().size());
    for (const auto &[id, worker] : this->fleet.all()) {
        WorkerView view;
        view.id = id;
        view.service = worker.entry.service;
        view.incarnation = worker.entry.incarnation;
        view.labels = worker.entry.labels;
        view.free = worker.entry.capacity;
        view.free -= worker.used;
        view.usable = this->fleet.isUsable(worker, time.now);
        view.evacuated = this->fleet.isEvacuated(worker);
        view.failureRisk = this->risks.riskOf(id, view.service, time.now);
        const Tasks::WorkerSpeeds::Speed speed = this->speeds.speedOf(worker.entry);
        view.slowness = speed.slowness;
        view.speedKnown = speed.known;
        view.slownessDeviation = speed.deviation;
        view.occupants.reserve(worker.runs.size());
        for (const auto &[key, run] : worker.runs)
            view.occupants.push_back(this->viewOf(run, time));
        this->workers.push_back(std::move(view));
    }
}

OccupantView PlanInputs::viewOf(const WorkerFleet::Run &run, const Time &time) const
{
    const Duration elapsed = run.elapsed(time.now);
    OccupantView view;
    view.need = run.need;
    view.stopping = run.stopWanted;
    view.priority = run.priority;
    const std::int64_t leftMs = std::max<std::int64_t>(0, toMs(run.estimate - elapsed));
    view.expectedEnd = run.perpetual ? never : time.ageTime + leftMs;
    const double done = toSeconds(elapsed);
    // A perpetual task accumulates no work that a stop could lose.
    const double lost = run.perpetual ? 0.0
        : run.checkpoints             ? std::min(done, this->settings.checkpointLoss)
                                      : done;
    view.preemptionCost = lost * run.members * Tasks::coreEquivalents(run.need);
    return view;
}

/// Fills in the customer of each occupant, and the group of those that are members of a gang.
/// Groups are numbered from 1.
void PlanInputs::nameOwners()
{
    std::map<StepRef, std::size_t> groups;
    for (WorkerView &view : this->workers) {
        auto occupant = view.occupants.begin();
        for (const auto &[key, run] : this->fleet.all().find(view.id)->second.runs) {
            if (const TrackedJob *job = this->jobs.find(run.ref.job))
                occupant->customer = job->job.customer;
            if (run.members > 1) {
                const StepRef step{run.ref.job, run.ref.task.occurrence, run.ref.task.step};
                occupant->group = groups.try_emplace(step, groups.size() + 1).first->second;
            }
            ++occupant;
        }
    }
}

/// Marks the runs that must not be preempted. A step may limit how many of its tasks are not at
/// work; up to that limit, the tasks with the lowest indexes may be displaced, and all others are
/// fixed.
void PlanInputs::markFixedOccupants()
{
    std::set<Tasks::RunRef> fixed;
    for (const auto &[id, job] : this->jobs.all()) {
        if (job.isFinished())
            continue;
        for (std::int32_t step = 0; step < static_cast<std::int32_t>(job.job.steps.size());
             step++) {
            const std::int32_t mostAway
                = job.job.steps[static_cast<std::size_t>(step)].maxUnavailable;
            if (mostAway > 0)
                collectFixedTasks(this->fleet, job, step, mostAway, fixed);
        }
    }
    if (fixed.empty())
        return;
    for (WorkerView &view : this->workers) {
        auto occupant = view.occupants.begin();
        for (const auto &[key, run] : this->fleet.all().find(view.id)->second.runs) {
            occupant->nonPreemptible = fixed.contains(run.ref);
            ++occupant;
        }
    }
}

/// Marks the requests of urgent jobs that are covered by their customer's guarantee: the jobs are
/// taken in the order of acceptance for as long as their widest steps together fit into the
/// guarantee.
void PlanInputs::markGuaranteed()
{
    std::map<std::string_view, std::vector<const TrackedJob *>> urgent;
    for (const auto &[id, job] : this->jobs.all()) {
        if (!job.isFinished() && job.job.priority == 0)
            urgent[job.job.customer].push_back(&job);
    }
    std::set<std::string_view> guaranteed;
    for (auto &[customer, customerJobs] : urgent) {
        std::stable_sort(customerJobs.begin(), customerJobs.end(),
                         [](const TrackedJob *left, const TrackedJob *right) {
                             return left->job.acceptedAt < right->job.acceptedAt;
                         });
        std::int64_t left = this->guarantees(customer);
        for (const TrackedJob *job : customerJobs) {
            left -= job->job.maxStepAccelerators();
            if (left < 0)
                break;
            guaranteed.insert(job->job.id);
        }
    }
    for (StartRequest &request : this->requests)
        request.guaranteed = guaranteed.contains(request.job);
}

/// Collects the workers that already run tasks of the request's step, if the step limits its tasks
/// per worker.
void PlanInputs::findSiblings(StartRequest &request) const
{
    if (request.step->maxPerWorker == 0)
        return;
    const TrackedJob &job = *this->jobs.find(request.job);
    for (std::int32_t index = 0; index < request.step->count; index++) {
        const TaskProgress &task
            = job.progress.task({request.occurrence, request.stepNumber, index});
        const std::optional<std::size_t> workerIndex
            = task.isOnWorker() ? this->indexOfWorker(task.worker) : std::nullopt;
        if (workerIndex)
            request.assignedWorkers.push_back(*workerIndex);
    }
}

std::optional<std::size_t> PlanInputs::indexOfWorker(std::string_view worker) const
{
    const auto found = std::lower_bound(
        this->workers.begin(), this->workers.end(), worker,
        [](const WorkerView &view, std::string_view name) { return view.id < name; });
    if (found == this->workers.end() || found->id != worker)
        return std::nullopt;
    return static_cast<std::size_t>(found - this->workers.begin());
}

void PlanInputs::restoreClaims(StartRequest &request) const
{
    const auto kept = this->claims.find(stepOf(request));
    if (kept == this->claims.end())
        return;
    for (const std::string &worker : kept->second) {
        if (const std::optional<std::size_t> workerIndex = this->indexOfWorker(worker))
            request.claims.push_back(*workerIndex);
    }
}

void PlanInputs::keepClaims(const Tasks::StartPlan &plan)
{
    this->claims.clear();
    for (const Tasks::ClaimChoice &claim : plan.claims)
        this->claims[stepOf(this->requests[claim.request])].emplace_back(
            this->workers[claim.worker].id);
}

void PlanInputs::restrictToPermits(const Time &time)
{
    for (StartRequest &request : this->requests) {
        const Tasks::PermitTerms &terms = this->jobs.find(request.job)->job.permits;
        if (terms.required())
            this->permits.restrictToPermitted(request, terms, this->workers, time.ageTime,
                                              time.now);
    }
    this->permits.sendQuery(time.now);
}

} // namespace Hibiscus::Coordination
