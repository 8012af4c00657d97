#include <Tasks/PlanPass.h>
#include <Tasks/WorkerLink.h>

#include <algorithm>
#include <limits>

// Where PlanPass places tasks: which workers a request may use, and which of them suits it best.
namespace Hibiscus::Tasks {

bool PlanPass::isEligible(const StartRequest &request, std::size_t number) const
{
    const WorkerView &worker = this->workers[number];
    if (!worker.usable || worker.service != request.service)
        return false;
    const bool permitted = !request.permitted
        || std::binary_search(request.permitted->begin(), request.permitted->end(), number);
    const std::string &label = request.step->requiredLabel;
    return permitted && (label.empty() || hasLabel(worker.labels, label));
}

bool PlanPass::hasRoom(const StartRequest &request, std::size_t worker) const
{
    return request.step->allocatedResources().fitsInto(this->roomNow(request, worker))
        && this->isAllowed(request, worker);
}

Resources PlanPass::roomNow(const StartRequest &request, std::size_t worker) const
{
    // Estimates are rough, so the run has to fit in twice over.
    constexpr int runTimeMargin = 2;
    Resources room = this->capacity.free[worker];
    if (this->now + runTimeMargin * toMs(request.runTime) <= this->capacity.reservedUntil[worker])
        room += this->capacity.reserved[worker];
    return room;
}

bool PlanPass::isBelowWorkerLimit(const StartRequest &request, std::size_t worker,
                                  const WorkerList &taken)
{
    const std::int32_t limit = request.step->maxPerWorker;
    return limit == 0 || std::count(taken.begin(), taken.end(), worker) < limit;
}

bool PlanPass::isServiceMostlyIdle(const StartRequest &request) const
{
    const auto use = this->acceleratorUse.find(request.service);
    return use != this->acceleratorUse.end() && 2 * use->second.free > use->second.all;
}

bool PlanPass::isRackWaitOver(const StartRequest &request) const
{
    return this->rackWait.isOver(request, this->isServiceMostlyIdle(request), this->now);
}

bool PlanPass::requiresDataRack(const StartRequest &request) const
{
    const std::string &rack = request.step->dataRack;
    return !rack.empty() && !this->evacuatedRacks.contains(rack) && !this->isRackWaitOver(request);
}

bool PlanPass::requiresOneRack(const StartRequest &request) const
{
    return request.step->gang && request.step->sameRack && !this->isRackWaitOver(request)
        && this->fitsIntoOneEmptyRack(request);
}

bool PlanPass::isTooRisky(const StartRequest &request, std::size_t worker) const
{
    return this->risks.isTooRisky(request, this->workers[worker]) && !this->isIdleWaitOver(request);
}

double PlanPass::riskOfAny(const WorkerList &chosen) const
{
    double noneFails = 1.0;
    for (const std::size_t worker : chosen)
        noneFails *= 1.0 - this->workers[worker].failureRisk;
    return 1.0 - noneFails;
}

bool PlanPass::rejects(const StartRequest &request, const WorkerList &chosen) const
{
    const Duration maxWait = this->isServiceMostlyIdle(request)
        ? std::min(this->settings.maxIdleWait, this->settings.maxRetryWait)
        : this->settings.maxRetryWait;
    return this->risks.waitsForSounderWorkers(request, this->riskOfAny(chosen), maxWait, this->now);
}

bool PlanPass::isAllowed(const StartRequest &request, std::size_t worker) const
{
    return this->isEligible(request, worker) && !this->isTooRisky(request, worker)
        && (!this->requiresDataRack(request)
            || hasLabel(this->workers[worker].labels, request.step->dataRack));
}

/// Whether an earlier request of the pass with at most the same demand and run time and the same
/// eligible workers found no room. Then this request, which comes later, is not tried.
bool PlanPass::isKnownNotToFit(const StartRequest &request) const
{
    const auto failedWithLessDemand = [&request](const StartRequest *failed) {
        return failed->service == request.service && failed->runTime <= request.runTime
            && failed->step->requiredLabel == request.step->requiredLabel
            && failed->step->allocatedResources().fitsInto(request.step->allocatedResources());
    };
    const auto isAmong = [&failedWithLessDemand](const RequestList &failed) {
        return std::any_of(failed.begin(), failed.end(), failedWithLessDemand);
    };
    return isAmong(this->unplaced)
        || (!this->mayUseEmptyWorker(request) && isAmong(this->unplacedOnUsedWorkers));
}

void PlanPass::recordUnplaced(const StartRequest &request)
{
    const bool failedForRoomOnly
        = request.step->maxPerWorker == 0 && !request.permitted && !this->requiresDataRack(request);
    if (!failedForRoomOnly || this->isKnownNotToFit(request))
        return;
    const bool triedAll = this->mayUseEmptyWorker(request);
    (triedAll ? this->unplaced : this->unplacedOnUsedWorkers).push_back(&request);
}

/// Capacity that the worker has left after the task is placed, in cores, plus a penalty if the
/// worker is outside the rack of the task's data, plus the core-seconds that the worker is expected
/// to waste by a failure. The worker with the lowest cost is chosen.
double PlanPass::placementCost(const StartRequest &request, std::size_t worker) const
{
    Resources left = this->capacity.free[worker];
    left -= request.step->allocatedResources();
    const bool offRack = !request.step->dataRack.empty()
        && !hasLabel(this->workers[worker].labels, request.step->dataRack);
    constexpr double offRackCost = 1e6;
    // Accelerators are the scarce resource, so they have the higher weight. Preferring the fuller
    // worker keeps other workers empty.
    return static_cast<double>(left.accelerators) * coresPerAccelerator
        + static_cast<double>(left.milliCores) / 1000.0 + (offRack ? offRackCost : 0.0)
        + this->risks.expectedLoss(request, this->workers[worker]);
}

/// Whether tasks of the request may start on empty workers to learn how fast these are. Enough
/// workers stay empty for tasks and gangs that need whole ones. A worker that runs something
/// already will be known soon.
bool PlanPass::mayTryWorkers(const StartRequest &request) const
{
    if (request.step->gang || !this->speeds.differs(request.service))
        return false;
    const auto usable = this->usableWorkers.find(request.service);
    const auto empty = this->emptyWorkers.find(request.service);
    return usable != this->usableWorkers.end() && empty != this->emptyWorkers.end()
        && static_cast<double>(empty->second)
        > this->settings.emptyShareWithoutTrial * static_cast<double>(usable->second);
}

std::optional<std::size_t> PlanPass::bestWorker(const StartRequest &request,
                                                std::span<const std::size_t> candidates,
                                                const WorkerList &taken) const
{
    if (this->isKnownNotToFit(request))
        return std::nullopt;
    std::optional<std::size_t> best;
    double lowestCost = std::numeric_limits<double>::infinity();
    const bool mayUseEmpty = this->mayUseEmptyWorker(request);
    const bool mayTry = this->mayTryWorkers(request);
    for (const std::size_t worker : candidates) {
        if (!this->hasRoom(request, worker) || (!mayUseEmpty && this->isEmptyAndNotSlow(worker)))
            continue;
        if (!isBelowWorkerLimit(request, worker, taken))
            continue;
        const double cost = this->placementCost(request, worker)
            + this->speeds.cost(request, this->workers[worker], mayTry && this->isEmpty(worker),
                                this->now);
        if (cost < lowestCost) {
            lowestCost = cost;
            best = worker;
        }
    }
    return best;
}

std::optional<PlanPass::WorkerList> PlanPass::placeAllTasks(const StartRequest &request,
                                                            std::span<const std::size_t> candidates)
{
    WorkerList chosen;
    for (std::size_t i = 0; i < request.indexes.size(); i++) {
        const std::optional<std::size_t> worker = this->bestWorker(request, candidates, chosen);
        if (!worker) {
            this->unplaceTasks(request, chosen);
            return std::nullopt;
        }
        this->placeTask(request, *worker);
        chosen.push_back(*worker);
    }
    return chosen;
}

std::size_t PlanPass::tasksThatFit(const StartRequest &request, Resources room)
{
    const Step &step = *request.step;
    const std::int32_t limit = step.maxPerWorker > 0 ? step.maxPerWorker : step.count;
    std::size_t tasks = 0;
    while (tasks < static_cast<std::size_t>(limit) && step.allocatedResources().fitsInto(room)) {
        room -= step.allocatedResources();
        tasks++;
    }
    return tasks;
}

bool PlanPass::fitsIntoOneEmptyRack(const StartRequest &request) const
{
    for (const auto &[rack, members] : this->racks) {
        std::size_t tasks = 0;
        for (const std::size_t worker : members) {
            if (this->isEligible(request, worker))
                tasks += tasksThatFit(request, this->workers[worker].capacity());
        }
        if (tasks >= request.indexes.size())
            return true;
    }
    return false;
}

/// What the workers' risks and speeds cost the request, apart from how well its tasks pack.
double PlanPass::costOfPlaces(const StartRequest &request, const WorkerList &chosen) const
{
    double cost = 0.0;
    for (const std::size_t worker : chosen) {
        const WorkerView &view = this->workers[worker];
        cost += this->risks.expectedLoss(request, view)
            + this->speeds.cost(request, view, false, this->now);
    }
    return cost;
}

std::optional<PlanPass::WorkerList> PlanPass::placeGangInBestRack(const StartRequest &request)
{
    std::optional<WorkerList> best;
    double lowestCost = std::numeric_limits<double>::infinity();
    for (const auto &[rack, members] : this->racks) {
        std::optional<WorkerList> chosen = this->placeAllTasks(request, members);
        if (!chosen)
            continue;
        const double cost = this->costOfPlaces(request, *chosen);
        if (cost == 0.0)
            return chosen;
        this->unplaceTasks(request, *chosen);
        if (cost < lowestCost) {
            lowestCost = cost;
            best = std::move(chosen);
        }
    }
    if (best) {
        for (const std::size_t worker : *best)
            this->placeTask(request, worker);
    }
    return best;
}

std::optional<PlanPass::WorkerList> PlanPass::placeGang(const StartRequest &request)
{
    if (!request.step->sameRack)
        return this->placeAllTasks(request, this->allWorkers);
    if (std::optional<WorkerList> chosen = this->placeGangInBestRack(request))
        return chosen;
    if (this->requiresOneRack(request))
        return std::nullopt;
    return this->placeAllTasks(request, this->allWorkers);
}

} // namespace Hibiscus::Tasks
