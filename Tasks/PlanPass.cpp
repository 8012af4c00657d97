#include <Tasks/PlanPass.h>

#include <algorithm>
#include <limits>
#include <numeric>

namespace Hibiscus::Tasks {

namespace {

/// Time of an event that is not expected to happen, such as the end of a perpetual task.
constexpr UnixMs never = std::numeric_limits<UnixMs>::max();

bool hasLabel(const WorkerView &worker, std::string_view label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

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

/// All resources of the worker, also those in use.
Resources resourcesOf(const WorkerView &worker)
{
    Resources all = worker.free;
    for (const OccupantView &occupant : worker.occupants)
        all += occupant.need;
    return all;
}

} // namespace

PlanPass::PlanPass(const StartPlanner::Settings &settings, std::span<const StartRequest> requests,
                   std::span<const WorkerView> workers, UnixMs now)
    : settings(settings)
    , rackWait(settings)
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
    this->orders.resize(workers.size());
    this->groupWorkers();
    this->countWorkers();
}

void PlanPass::groupWorkers()
{
    this->allWorkers.resize(this->workers.size());
    std::iota(this->allWorkers.begin(), this->allWorkers.end(), std::size_t{0});
    for (const std::size_t worker : this->allWorkers)
        this->racks[rackOf(this->workers[worker])].push_back(worker);
}

void PlanPass::countWorkers()
{
    std::map<std::string_view, std::size_t> usable;
    for (const std::size_t worker : this->allWorkers) {
        const WorkerView &view = this->workers[worker];
        if (!view.usable)
            continue;
        usable[view.service]++;
        this->acceleratorUse[view.service].all += resourcesOf(view).accelerators;
        this->acceleratorUse[view.service].free += view.free.accelerators;
        if (this->isEmpty(worker))
            this->emptyWorkers[view.service]++;
    }
    for (const auto &[service, count] : usable)
        this->reservedEmptyWorkers[service] = static_cast<std::size_t>(
            this->settings.emptyShareForUrgentWork * static_cast<double>(count));
}

bool PlanPass::isEmpty(std::size_t worker) const
{
    const WorkerView &view = this->workers[worker];
    return view.occupants.empty() && this->capacity.free[worker] == view.free;
}

bool PlanPass::mayUseEmptyWorker(const StartRequest &request) const
{
    if (request.priority <= this->settings.maxPreemptingPriority)
        return true;
    if (this->isReserveWaitOver(request))
        return true;
    const auto empty = this->emptyWorkers.find(request.service);
    const auto kept = this->reservedEmptyWorkers.find(request.service);
    return empty != this->emptyWorkers.end() && empty->second > kept->second;
}

/// Whether the request has waited for so long that it may take an empty worker that is kept for
/// urgent work, which then has to preempt it. A task that needs a whole worker would otherwise wait
/// beside empty ones for as long as perpetual tasks hold a part of each other worker.
bool PlanPass::isReserveWaitOver(const StartRequest &request) const
{
    const bool isLimited = request.step->perpetual || this->isServiceMostlyIdle(request);
    return isLimited && this->now - request.readySince >= toMs(this->settings.maxIdleWait);
}

void PlanPass::placeTask(const StartRequest &request, std::size_t worker)
{
    if (this->isEmpty(worker))
        this->emptyWorkers[request.service]--;
    this->capacity.free[worker] -= request.step->allocatedResources();
}

StartPlan PlanPass::run()
{
    std::vector<std::size_t> order(this->requests.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto ranksBefore = [this](std::size_t left, std::size_t right) {
        const StartRequest &a = this->requests[left];
        const StartRequest &b = this->requests[right];
        const int rankA = StartPlanner::rankOf(a, this->now);
        const int rankB = StartPlanner::rankOf(b, this->now);
        return rankA != rankB ? rankA < rankB : a.objectiveAt < b.objectiveAt;
    };
    std::stable_sort(order.begin(), order.end(), ranksBefore);
    for (const StartRequest &request : this->requests)
        this->deductClaims(request);
    for (const std::size_t request : order) {
        this->restoreClaims(this->requests[request]);
        this->planRequest(request);
    }
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

bool PlanPass::isEligible(const StartRequest &request, std::size_t number) const
{
    const WorkerView &worker = this->workers[number];
    if (!worker.usable || worker.service != request.service)
        return false;
    const bool permitted = !request.permitted
        || std::binary_search(request.permitted->begin(), request.permitted->end(), number);
    const std::string &label = request.step->requiredLabel;
    return permitted && (label.empty() || hasLabel(worker, label));
}

bool PlanPass::hasRoom(const StartRequest &request, std::size_t worker) const
{
    return request.step->allocatedResources().fitsInto(this->capacity.free[worker])
        && this->isAllowed(request, worker);
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
    return !request.step->dataRack.empty() && !this->isRackWaitOver(request);
}

bool PlanPass::requiresOneRack(const StartRequest &request) const
{
    return request.step->gang && request.step->sameRack && !this->isRackWaitOver(request)
        && this->fitsIntoOneEmptyRack(request);
}

bool PlanPass::isAllowed(const StartRequest &request, std::size_t worker) const
{
    return this->isEligible(request, worker)
        && (!this->requiresDataRack(request)
            || hasLabel(this->workers[worker], request.step->dataRack));
}

/// Whether an earlier request of the pass with at most the same demand and the same eligible
/// workers found no room. Free capacity only shrinks during a pass, so this request finds none
/// either.
bool PlanPass::isKnownNotToFit(const StartRequest &request) const
{
    const auto failedWithLessDemand = [&request](const StartRequest *failed) {
        return failed->service == request.service
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
/// worker is outside the rack of the task's data. The worker with the lowest cost is chosen.
double PlanPass::placementCost(const StartRequest &request, std::size_t worker) const
{
    Resources left = this->capacity.free[worker];
    left -= request.step->allocatedResources();
    const bool offRack = !request.step->dataRack.empty()
        && !hasLabel(this->workers[worker], request.step->dataRack);
    constexpr double offRackCost = 1e6;
    // Accelerators are the scarce resource, so they have the higher weight. Preferring the fuller
    // worker keeps other workers empty.
    return static_cast<double>(left.accelerators) * coresPerAccelerator
        + static_cast<double>(left.milliCores) / 1000.0 + (offRack ? offRackCost : 0.0);
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
    for (const std::size_t worker : candidates) {
        if (!this->hasRoom(request, worker) || (!mayUseEmpty && this->isEmpty(worker)))
            continue;
        if (!isBelowWorkerLimit(request, worker, taken))
            continue;
        const double cost = this->placementCost(request, worker);
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
    const std::vector<Resources> before = this->capacity.free;
    const std::map<std::string_view, std::size_t> emptyBefore = this->emptyWorkers;
    WorkerList chosen;
    for (std::size_t i = 0; i < request.indexes.size(); i++) {
        const std::optional<std::size_t> worker = this->bestWorker(request, candidates, chosen);
        if (!worker) {
            this->capacity.free = before;
            this->emptyWorkers = emptyBefore;
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
                tasks += tasksThatFit(request, resourcesOf(this->workers[worker]));
        }
        if (tasks >= request.indexes.size())
            return true;
    }
    return false;
}

std::optional<PlanPass::WorkerList> PlanPass::placeGang(const StartRequest &request)
{
    if (!request.step->sameRack)
        return this->placeAllTasks(request, this->allWorkers);
    for (const auto &[rack, members] : this->racks) {
        if (std::optional<WorkerList> chosen = this->placeAllTasks(request, members))
            return chosen;
    }
    if (this->requiresOneRack(request))
        return std::nullopt;
    return this->placeAllTasks(request, this->allWorkers);
}

const PlanPass::OccupantOrders &PlanPass::occupantOrdersOf(std::size_t number) const
{
    OccupantOrders &known = this->orders[number];
    if (known.sorted)
        return known;
    known.sorted = true;
    const std::vector<OccupantView> &occupants = this->workers[number].occupants;
    known.byEnd.resize(occupants.size());
    std::iota(known.byEnd.begin(), known.byEnd.end(), std::size_t{0});
    known.byCost = known.byEnd;
    const auto endsEarlier = [&occupants](std::size_t left, std::size_t right) {
        return occupants[left].expectedEnd < occupants[right].expectedEnd;
    };
    const auto isCheaperVictim = [&occupants](std::size_t left, std::size_t right) {
        const OccupantView &a = occupants[left];
        const OccupantView &b = occupants[right];
        return a.priority != b.priority ? a.priority > b.priority
                                        : a.preemptionCost < b.preemptionCost;
    };
    std::stable_sort(known.byEnd.begin(), known.byEnd.end(), endsEarlier);
    std::stable_sort(known.byCost.begin(), known.byCost.end(), isCheaperVictim);
    return known;
}

UnixMs PlanPass::roomAvailableAt(const StartRequest &request, std::size_t number) const
{
    const WorkerView &worker = this->workers[number];
    Resources room = this->capacity.free[number];
    UnixMs at = this->now;
    for (const std::size_t place : this->occupantOrdersOf(number).byEnd) {
        if (request.step->allocatedResources().fitsInto(room))
            return at;
        const OccupantView &occupant = worker.occupants[place];
        room += occupant.need;
        at = std::max(at, occupant.stopping ? this->now : occupant.expectedEnd);
    }
    return request.step->allocatedResources().fitsInto(room) ? at : never;
}

std::optional<std::size_t> PlanPass::earliestWorker(const StartRequest &request,
                                                    std::span<const std::size_t> candidates,
                                                    const WorkerList &taken) const
{
    std::optional<std::size_t> best;
    UnixMs earliest = never;
    for (const std::size_t worker : candidates) {
        if (!this->isAllowed(request, worker) || !isBelowWorkerLimit(request, worker, taken))
            continue;
        const UnixMs at = this->roomAvailableAt(request, worker);
        if (at < earliest) {
            earliest = at;
            best = worker;
        }
    }
    return best;
}

UnixMs PlanPass::reserveRoomOn(const StartRequest &request, std::size_t tasks,
                               std::span<const std::size_t> candidates)
{
    WorkerList taken = request.assignedWorkers;
    UnixMs latest = this->now;
    for (std::size_t i = 0; i < tasks; i++) {
        const std::optional<std::size_t> worker = this->earliestWorker(request, candidates, taken);
        if (!worker)
            return never;
        latest = std::max(latest, this->roomAvailableAt(request, *worker));
        this->capacity.free[*worker] -= request.step->allocatedResources();
        taken.push_back(*worker);
    }
    return latest;
}

/// Whether all of the request's tasks together get room once the occupants that are expected to end
/// have ended. The present workers may be too few for the whole gang, or other reservations or
/// perpetual tasks may hold what it needs.
bool PlanPass::getsRoomForAllTasks(const StartRequest &request) const
{
    std::size_t tasks = 0;
    for (const std::size_t worker : this->allWorkers) {
        if (this->isAllowed(request, worker))
            tasks += tasksThatFit(request, this->roomInTime(worker));
        if (tasks >= request.indexes.size())
            return true;
    }
    return false;
}

Resources PlanPass::roomInTime(std::size_t number) const
{
    Resources room = this->capacity.free[number];
    for (const OccupantView &occupant : this->workers[number].occupants) {
        if (occupant.stopping || occupant.expectedEnd < never)
            room += occupant.need;
    }
    return room;
}

void PlanPass::reserveRoomInOneRack(const StartRequest &request)
{
    const Capacity before = this->capacity;
    Capacity best = before;
    UnixMs earliest = never;
    for (const auto &[rack, members] : this->racks) {
        const UnixMs at = this->reserveRoomOn(request, request.indexes.size(), members);
        if (at < earliest) {
            earliest = at;
            best = this->capacity;
        }
        this->capacity = before;
    }
    this->capacity = best;
}

/// Reserves the room that becomes free first, so that requests of lower rank can't take it. Without
/// reservations a stream of small tasks would starve a large one.
void PlanPass::reserveRoom(const StartRequest &request, std::size_t tasks)
{
    constexpr int firstRankWithoutReservation = 5;
    const bool reserves = StartPlanner::rankOf(request, this->now) < firstRankWithoutReservation;
    const std::size_t left = this->settings.maxReservations - this->reservations;
    if (!reserves || left == 0)
        return;
    // A part of a gang can't start, so room for a part would stay unused.
    if (request.step->gang && !this->getsRoomForAllTasks(request))
        return;
    const std::size_t kept = std::min(tasks, left);
    this->reservations += kept;
    if (this->requiresOneRack(request))
        this->reserveRoomInOneRack(request);
    else
        this->reserveRoomOn(request, kept, this->allWorkers);
}

PlanPass::Preemption PlanPass::cheapestPreemption(const StartRequest &request,
                                                  std::size_t number) const
{
    const WorkerView &worker = this->workers[number];
    const std::vector<std::size_t> &alreadyPreempted = this->capacity.preempted[number];
    Preemption result;
    result.worker = number;
    Resources room = this->capacity.free[number];
    room += this->capacity.beingFreed[number];
    double cost = 0.0;
    for (const std::size_t place : this->occupantOrdersOf(number).byCost) {
        if (request.step->allocatedResources().fitsInto(room))
            break;
        const OccupantView &occupant = worker.occupants[place];
        if (occupant.priority < this->minVictimPriority(request))
            break;
        const bool isPreempted = std::find(alreadyPreempted.begin(), alreadyPreempted.end(), place)
            != alreadyPreempted.end();
        if (occupant.stopping || occupant.nonPreemptible || isPreempted)
            continue;
        room += occupant.need;
        cost += occupant.preemptionCost;
        result.occupants.push_back(place);
    }
    if (request.step->allocatedResources().fitsInto(room))
        result.cost = cost;
    return result;
}

void PlanPass::applyPreemption(const Preemption &preemption)
{
    for (const std::size_t occupant : preemption.occupants) {
        this->capacity.preempted[preemption.worker].push_back(occupant);
        this->capacity.beingFreed[preemption.worker]
            += this->workers[preemption.worker].occupants[occupant].need;
    }
}

void PlanPass::planPreemptions(const Capacity &before)
{
    for (std::size_t worker = 0; worker < this->workers.size(); worker++) {
        const std::vector<std::size_t> &occupants = this->capacity.preempted[worker];
        for (std::size_t i = before.preempted[worker].size(); i < occupants.size(); i++)
            this->plan.preemptions.push_back({worker, occupants[i]});
    }
}

bool PlanPass::mayPreempt(const StartRequest &request) const
{
    return request.priority <= this->settings.maxPreemptingPriority
        && this->now < request.usefulUntil;
}

/// Returns the smallest priority number of occupants that the request may preempt. A late request
/// without a guarantee may preempt only work that is at least two priorities less urgent.
std::int32_t PlanPass::minVictimPriority(const StartRequest &request) const
{
    const bool mayPreemptNextPriority = request.guaranteed || !isLate(request, this->now);
    return request.priority + (mayPreemptNextPriority ? 1 : 2);
}

PlanPass::WorkerList PlanPass::coverTasks(const StartRequest &request, std::size_t tasks,
                                          std::span<const std::size_t> candidates, double &cost)
{
    WorkerList taken = request.assignedWorkers;
    WorkerList covered;
    while (covered.size() < tasks) {
        Preemption best;
        for (const std::size_t worker : candidates) {
            if (!this->isAllowed(request, worker) || !isBelowWorkerLimit(request, worker, taken))
                continue;
            Preemption option = this->cheapestPreemption(request, worker);
            if (option.cost < best.cost)
                best = std::move(option);
        }
        if (best.cost == std::numeric_limits<double>::infinity())
            return covered;
        this->applyPreemption(best);
        this->capacity.free[best.worker] -= request.step->allocatedResources();
        taken.push_back(best.worker);
        cost += best.cost;
        covered.push_back(best.worker);
    }
    return covered;
}

/// Finds room for single tasks in capacity that is being freed or can be freed by preemption, and
/// claims that room, so that no other request is placed into it. Returns how many tasks have room.
std::size_t PlanPass::preemptForTasks(std::size_t number, std::size_t tasks)
{
    const StartRequest &request = this->requests[number];
    if (!this->mayPreempt(request))
        return 0;
    const Capacity before = this->capacity;
    double cost = 0.0;
    const WorkerList covered = this->coverTasks(request, tasks, this->allWorkers, cost);
    this->planPreemptions(before);
    this->addClaims(number, covered);
    return covered.size();
}

/// Preempts for all tasks of a gang or for none, since a part of a gang can't start. A gang that
/// runs faster in one rack gets its room across racks only if no rack can give it and the wait for
/// one is over.
bool PlanPass::preemptForGang(std::size_t number)
{
    const StartRequest &request = this->requests[number];
    if (!this->mayPreempt(request))
        return false;
    const std::size_t tasks = request.indexes.size();
    const Capacity before = this->capacity;
    Capacity best = before;
    WorkerList chosen;
    double lowestCost = std::numeric_limits<double>::infinity();
    const auto consider = [&](std::span<const std::size_t> candidates) {
        double cost = 0.0;
        const WorkerList covered = this->coverTasks(request, tasks, candidates, cost);
        if (covered.size() == tasks && cost < lowestCost) {
            lowestCost = cost;
            best = this->capacity;
            chosen = covered;
        }
        this->capacity = before;
    };
    if (request.step->sameRack) {
        for (const auto &[rack, members] : this->racks)
            consider(members);
    }
    if (chosen.empty() && !this->requiresOneRack(request))
        consider(this->allWorkers);
    this->capacity = best;
    this->planPreemptions(before);
    this->addClaims(number, chosen);
    return !chosen.empty();
}

void PlanPass::addClaims(std::size_t request, std::span<const std::size_t> taken)
{
    for (const std::size_t worker : taken)
        this->plan.claims.push_back({request, worker});
}

/// Withholds the room that the request claimed in an earlier plan from all other requests.
void PlanPass::deductClaims(const StartRequest &request)
{
    for (const std::size_t worker : request.claims)
        this->capacity.free[worker] -= request.step->allocatedResources();
}

void PlanPass::restoreClaims(const StartRequest &request)
{
    for (const std::size_t worker : request.claims)
        this->capacity.free[worker] += request.step->allocatedResources();
}

/// Renews at most `limit` claims whose room is still free or being freed. Returns their workers.
PlanPass::WorkerList PlanPass::renewClaims(const StartRequest &request, std::size_t limit)
{
    WorkerList kept;
    for (const std::size_t worker : request.claims) {
        Resources room = this->capacity.free[worker];
        room += this->capacity.beingFreed[worker];
        const bool holds = kept.size() < limit && this->isEligible(request, worker)
            && request.step->allocatedResources().fitsInto(room);
        if (!holds)
            continue;
        this->capacity.free[worker] -= request.step->allocatedResources();
        kept.push_back(worker);
    }
    return kept;
}

} // namespace Hibiscus::Tasks
