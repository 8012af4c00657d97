#include <Tasks/PlanPass.h>

#include <algorithm>
#include <numeric>

namespace Hibiscus::Tasks {

namespace {

/// A worker's first label is its kind and its last label is its rack.
std::string_view rackOf(const WorkerView &worker)
{
    return worker.labels.empty() ? std::string_view() : std::string_view(worker.labels.back());
}

/// Resources that stopping occupants of the worker still hold.
Resources resourcesBeingFreed(const WorkerView &worker)
{
    Resources room;
    for (const OccupantView &occupant : worker.occupants) {
        if (occupant.stopping)
            room += occupant.need;
    }
    return room;
}

} // namespace

PlanPass::PlanPass(const StartPlanner::Settings &settings, std::span<const StartRequest> requests,
                   std::span<const WorkerView> workers, UnixMs now)
    : settings(settings)
    , rackWait(settings)
    , risks(settings)
    , speeds(workers)
    , shortageOrder(requests, workers, now)
    , requests(requests)
    , workers(workers)
    , now(now)
{
    this->capacity.free.reserve(workers.size());
    for (const WorkerView &worker : workers) {
        this->capacity.free.push_back(worker.free);
        this->capacity.beingFreed.push_back(resourcesBeingFreed(worker));
    }
    this->capacity.preempted.resize(workers.size());
    this->capacity.reserved.resize(workers.size());
    this->capacity.reservedUntil.resize(workers.size(), std::numeric_limits<UnixMs>::max());
    this->orders.resize(workers.size());
    this->groupWorkers();
    this->groupOccupants();
    this->countWorkers();
}

void PlanPass::groupOccupants()
{
    for (const std::size_t worker : this->allWorkers) {
        const std::vector<OccupantView> &occupants = this->workers[worker].occupants;
        for (std::size_t i = 0; i < occupants.size(); i++) {
            if (occupants[i].group != 0)
                this->gangs[occupants[i].group].emplace_back(worker, i);
        }
    }
}

void PlanPass::groupWorkers()
{
    this->allWorkers.resize(this->workers.size());
    std::iota(this->allWorkers.begin(), this->allWorkers.end(), std::size_t{0});
    for (const std::size_t worker : this->allWorkers)
        this->racks[rackOf(this->workers[worker])].push_back(worker);
    const auto isEvacuated = [this](std::size_t worker) { return this->workers[worker].evacuated; };
    for (const auto &[rack, members] : this->racks) {
        if (std::all_of(members.begin(), members.end(), isEvacuated))
            this->evacuatedRacks.insert(rack);
    }
}

void PlanPass::countWorkers()
{
    for (const std::size_t worker : this->allWorkers) {
        const WorkerView &view = this->workers[worker];
        if (!view.usable)
            continue;
        this->usableWorkers[view.service]++;
        this->acceleratorUse[view.service].all += view.capacity().accelerators;
        this->acceleratorUse[view.service].free += view.free.accelerators;
        if (this->isEmptyAndNotSlow(worker))
            this->emptyWorkers[view.service]++;
    }
    for (const auto &[service, count] : this->usableWorkers)
        this->reservedEmptyWorkers[service] = static_cast<std::size_t>(
            this->settings.emptyShareForUrgentWork * static_cast<double>(count));
}

bool PlanPass::isEmpty(std::size_t worker) const
{
    const WorkerView &view = this->workers[worker];
    return view.occupants.empty() && this->capacity.free[worker] == view.free;
}

/// Slow workers are not kept for urgent work, which is late on them.
bool PlanPass::isEmptyAndNotSlow(std::size_t worker) const
{
    return this->isEmpty(worker) && !this->speeds.isSlow(this->workers[worker]);
}

bool PlanPass::mayUseEmptyWorker(const StartRequest &request) const
{
    if (request.priority <= this->settings.maxPreemptingPriority)
        return true;
    if (this->isIdleWaitOver(request))
        return true;
    const auto empty = this->emptyWorkers.find(request.service);
    const auto kept = this->reservedEmptyWorkers.find(request.service);
    return empty != this->emptyWorkers.end() && empty->second > kept->second;
}

/// Whether the request has waited for so long that it may take an empty worker that is kept for
/// urgent work, which then has to preempt it, or a risky one. A task that needs a whole worker
/// would otherwise wait beside empty ones for as long as perpetual tasks hold a part of each other
/// worker.
bool PlanPass::isIdleWaitOver(const StartRequest &request) const
{
    const bool isLimited = request.step->perpetual || this->isServiceMostlyIdle(request);
    return isLimited && this->now - request.readySince >= toMs(this->settings.maxIdleWait);
}

void PlanPass::placeTask(const StartRequest &request, std::size_t worker)
{
    if (this->isEmptyAndNotSlow(worker))
        this->emptyWorkers[request.service]--;
    this->capacity.free[worker] -= request.step->allocatedResources();
}

void PlanPass::unplaceTasks(const StartRequest &request, const WorkerList &chosen)
{
    for (const std::size_t worker : chosen) {
        this->capacity.free[worker] += request.step->allocatedResources();
        if (this->isEmptyAndNotSlow(worker))
            this->emptyWorkers[request.service]++;
    }
}

StartPlan PlanPass::run()
{
    for (const StartRequest &request : this->requests)
        this->deductClaims(request);
    for (const std::size_t request : this->shortageOrder.order()) {
        this->restoreClaims(this->requests[request]);
        this->planRequest(request);
    }
    this->plan.shortages = this->shortageOrder.shortages();
    return std::move(this->plan);
}

void PlanPass::planRequest(std::size_t request)
{
    if (this->requests[request].step->gang)
        this->planGang(request);
    else
        this->planIndependentTasks(request);
}

void PlanPass::planGang(std::size_t number)
{
    const StartRequest &request = this->requests[number];
    const std::size_t tasks = request.indexes.size();
    std::optional<WorkerList> chosen = this->placeAllTasks(request, request.claims);
    if (!chosen)
        chosen = this->placeGang(request);
    if (chosen && this->rejects(request, *chosen)) {
        this->unplaceTasks(request, *chosen);
        // Room that was freed for it stays claimed, or it would be freed again later.
        this->addClaims(number, this->renewClaims(request, tasks));
        return;
    }
    if (chosen) {
        for (std::size_t i = 0; i < chosen->size(); i++)
            this->plan.starts.push_back({number, request.indexes[i], (*chosen)[i]});
        return;
    }
    const Capacity before = this->capacity;
    const WorkerList kept = this->renewClaims(request, tasks);
    if (kept.size() == tasks) {
        this->addClaims(number, kept);
        return;
    }
    this->capacity = before;
    if (!this->preemptForGang(number))
        this->reserveRoom(request, tasks);
}

void PlanPass::planIndependentTasks(std::size_t number)
{
    const StartRequest &request = this->requests[number];
    WorkerList taken = request.assignedWorkers;
    std::size_t placed = 0;
    for (const std::int32_t index : request.indexes) {
        const std::optional<std::size_t> worker
            = this->bestWorker(request, this->allWorkers, taken);
        if (!worker) {
            this->recordUnplaced(request);
            break;
        }
        this->placeTask(request, *worker);
        taken.push_back(*worker);
        this->plan.starts.push_back({number, index, *worker});
        placed++;
    }
    std::size_t left = request.indexes.size() - placed;
    const WorkerList kept = this->renewClaims(request, left);
    this->addClaims(number, kept);
    left -= kept.size();
    left -= this->preemptForTasks(number, left);
    this->reserveRoom(request, left);
}

} // namespace Hibiscus::Tasks
