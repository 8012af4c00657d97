#include <Tasks/PlanPass.h>

#include <algorithm>
#include <limits>
#include <numeric>

namespace Hibiscus::Tasks {

namespace {

bool hasLabel(const WorkerView &worker, std::string_view label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

/// The rack is the label that tells workers of one kind apart; the kind comes first.
std::string_view rackOf(const WorkerView &worker)
{
    return worker.labels.empty() ? std::string_view() : std::string_view(worker.labels.back());
}

/// Room that what is stopping on the worker still holds.
Resources comingFree(const WorkerView &worker)
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
    , requests(requests)
    , workers(workers)
    , now(now)
{
    this->stage.free.reserve(workers.size());
    for (const WorkerView &worker : workers) {
        this->stage.free.push_back(worker.free);
        this->stage.coming.push_back(comingFree(worker));
    }
    this->stage.displaced.resize(workers.size());
    this->orders.resize(workers.size());
    this->groupWorkers();
    this->countEmptyWorkers();
}

void PlanPass::groupWorkers()
{
    this->everyWorker.resize(this->workers.size());
    std::iota(this->everyWorker.begin(), this->everyWorker.end(), std::size_t{0});
    for (const std::size_t worker : this->everyWorker)
        this->racks[rackOf(this->workers[worker])].push_back(worker);
}

void PlanPass::countEmptyWorkers()
{
    std::map<std::string_view, std::size_t> usable;
    for (const std::size_t worker : this->everyWorker) {
        const WorkerView &view = this->workers[worker];
        if (!view.usable)
            continue;
        usable[view.service]++;
        if (this->isEmpty(worker))
            this->emptyWorkers[view.service]++;
    }
    for (const auto &[service, count] : usable)
        this->keptEmpty[service] = static_cast<std::size_t>(this->settings.emptyShareForUrgentWork
                                                            * static_cast<double>(count));
}

bool PlanPass::isEmpty(std::size_t worker) const
{
    const WorkerView &view = this->workers[worker];
    return view.occupants.empty() && this->stage.free[worker] == view.free;
}

bool PlanPass::mayTakeEmpty(const StartRequest &request) const
{
    if (request.priority <= this->settings.maxPreemptingPriority)
        return true;
    const auto empty = this->emptyWorkers.find(request.service);
    const auto kept = this->keptEmpty.find(request.service);
    return empty != this->emptyWorkers.end() && empty->second > kept->second;
}

void PlanPass::take(const StartRequest &request, std::size_t worker)
{
    if (this->isEmpty(worker))
        this->emptyWorkers[request.service]--;
    this->stage.free[worker] -= request.step->allocatedResources();
}

StartPlan PlanPass::run()
{
    std::vector<std::size_t> order(this->requests.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto goesBefore = [this](std::size_t left, std::size_t right) {
        const StartRequest &a = this->requests[left];
        const StartRequest &b = this->requests[right];
        const int rankA = StartPlanner::rankOf(a, this->now);
        const int rankB = StartPlanner::rankOf(b, this->now);
        return rankA != rankB ? rankA < rankB : a.objectiveAt < b.objectiveAt;
    };
    std::stable_sort(order.begin(), order.end(), goesBefore);
    for (const StartRequest &request : this->requests)
        this->holdClaims(request);
    for (const std::size_t request : order) {
        this->releaseClaims(this->requests[request]);
        this->serve(request);
    }
    return std::move(this->plan);
}

void PlanPass::serve(std::size_t request)
{
    if (this->requests[request].step->gang)
        this->serveGang(request);
    else
        this->serveSingly(request);
}

void PlanPass::serveGang(std::size_t number)
{
    const StartRequest &request = this->requests[number];
    const std::size_t tasks = request.indexes.size();
    std::optional<Chosen> chosen = this->placeAll(request, request.claims);
    if (!chosen)
        chosen = this->placeGang(request);
    if (chosen) {
        for (std::size_t i = 0; i < chosen->size(); i++)
            this->plan.starts.push_back({number, request.indexes[i], (*chosen)[i]});
        return;
    }
    const Stage before = this->stage;
    const Chosen kept = this->renewClaims(request, tasks);
    if (kept.size() == tasks) {
        this->claim(number, kept);
        return;
    }
    this->stage = before;
    if (!this->reclaimForGang(number))
        this->keepRoom(request, tasks);
}

void PlanPass::serveSingly(std::size_t number)
{
    const StartRequest &request = this->requests[number];
    Chosen taken = request.assignedWorkers;
    std::size_t placed = 0;
    for (const std::int32_t index : request.indexes) {
        const std::optional<std::size_t> worker
            = this->bestWorker(request, this->everyWorker, taken);
        if (!worker) {
            this->noteUnplaced(request);
            break;
        }
        this->take(request, *worker);
        taken.push_back(*worker);
        this->plan.starts.push_back({number, index, *worker});
        placed++;
    }
    std::size_t left = request.indexes.size() - placed;
    const Chosen kept = this->renewClaims(request, left);
    this->claim(number, kept);
    left -= kept.size();
    left -= this->reclaimFor(number, left);
    this->keepRoom(request, left);
}

bool PlanPass::eligible(const StartRequest &request, std::size_t number) const
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
    return request.step->allocatedResources().fitsInto(this->stage.free[worker])
        && this->allowed(request, worker);
}

bool PlanPass::belowMost(const StartRequest &request, std::size_t taken) const
{
    const std::int32_t most = request.step->maxPerWorker;
    return most == 0 || taken < static_cast<std::size_t>(most);
}

/// Waiting for the data's rack pays while the wait is shorter than the time lost elsewhere.
bool PlanPass::insistsOnRack(const StartRequest &request) const
{
    if (request.step->dataRack.empty())
        return false;
    const double lost
        = static_cast<double>(toMs(request.runTime)) * (this->settings.remoteDataFactor - 1);
    double worthWaiting = lost / 2;
    if (request.priority <= this->settings.maxPreemptingPriority)
        worthWaiting
            = std::min(worthWaiting, static_cast<double>(toMs(this->settings.maxUrgentRackWait)));
    return static_cast<double>(this->now - request.readySince) < worthWaiting;
}

bool PlanPass::allowed(const StartRequest &request, std::size_t worker) const
{
    return this->eligible(request, worker)
        && (!this->insistsOnRack(request)
            || hasLabel(this->workers[worker], request.step->dataRack));
}

/// Room shrinks while a pass goes on: where a task found none, one that needs as much and may run
/// nowhere else finds none either.
bool PlanPass::surelyHasNoRoom(const StartRequest &request) const
{
    const auto impliesNone = [&request](const StartRequest *failed) {
        return failed->service == request.service
            && failed->step->requiredLabel == request.step->requiredLabel
            && failed->step->allocatedResources().fitsInto(request.step->allocatedResources());
    };
    return std::any_of(this->unplaced.begin(), this->unplaced.end(), impliesNone);
}

void PlanPass::noteUnplaced(const StartRequest &request)
{
    const bool byRoomAlone
        = request.step->maxPerWorker == 0 && !request.permitted && !this->insistsOnRack(request);
    if (byRoomAlone && !this->surelyHasNoRoom(request))
        this->unplaced.push_back(&request);
}

/// Room that the task leaves behind on the worker and that little else can use.
double PlanPass::waste(const StartRequest &request, std::size_t worker) const
{
    Resources left = this->stage.free[worker];
    left -= request.step->allocatedResources();
    const bool offRack = !request.step->dataRack.empty()
        && !hasLabel(this->workers[worker], request.step->dataRack);
    constexpr double offRackWaste = 1e6;
    // Accelerators bind; among equals the fuller worker is chosen, which keeps others empty.
    return static_cast<double>(left.accelerators) * coresPerAccelerator
        + static_cast<double>(left.milliCores) / 1000.0 + (offRack ? offRackWaste : 0.0);
}

std::optional<std::size_t> PlanPass::bestWorker(const StartRequest &request,
                                                std::span<const std::size_t> candidates,
                                                const Chosen &taken) const
{
    if (this->surelyHasNoRoom(request))
        return std::nullopt;
    std::optional<std::size_t> best;
    double least = std::numeric_limits<double>::infinity();
    const bool emptyToo = this->mayTakeEmpty(request);
    for (const std::size_t worker : candidates) {
        if (!this->hasRoom(request, worker) || (!emptyToo && this->isEmpty(worker)))
            continue;
        if (request.step->maxPerWorker > 0) {
            const auto there = std::count(taken.begin(), taken.end(), worker);
            if (!this->belowMost(request, static_cast<std::size_t>(there)))
                continue;
        }
        const double waste = this->waste(request, worker);
        if (waste < least) {
            least = waste;
            best = worker;
        }
    }
    return best;
}

std::optional<PlanPass::Chosen> PlanPass::placeAll(const StartRequest &request,
                                                   std::span<const std::size_t> candidates)
{
    const std::vector<Resources> before = this->stage.free;
    const std::map<std::string_view, std::size_t> emptyBefore = this->emptyWorkers;
    Chosen chosen;
    for (std::size_t i = 0; i < request.indexes.size(); i++) {
        const std::optional<std::size_t> worker = this->bestWorker(request, candidates, chosen);
        if (!worker) {
            this->stage.free = before;
            this->emptyWorkers = emptyBefore;
            return std::nullopt;
        }
        this->take(request, *worker);
        chosen.push_back(*worker);
    }
    return chosen;
}

bool PlanPass::fitsOneRackEmpty(const StartRequest &request) const
{
    for (const auto &[rack, members] : this->racks) {
        std::int64_t tasks = 0;
        for (const std::size_t worker : members) {
            if (!this->eligible(request, worker))
                continue;
            Resources room = this->workers[worker].free;
            for (const OccupantView &occupant : this->workers[worker].occupants)
                room += occupant.need;
            std::int64_t here = 0;
            while (request.step->allocatedResources().fitsInto(room)
                   && here < request.step->count) {
                room -= request.step->allocatedResources();
                here++;
            }
            if (request.step->maxPerWorker > 0)
                here = std::min<std::int64_t>(here, request.step->maxPerWorker);
            tasks += here;
        }
        if (tasks >= static_cast<std::int64_t>(request.indexes.size()))
            return true;
    }
    return false;
}

std::optional<PlanPass::Chosen> PlanPass::placeGang(const StartRequest &request)
{
    if (!request.step->sameRack)
        return this->placeAll(request, this->everyWorker);
    for (const auto &[rack, members] : this->racks) {
        if (std::optional<Chosen> chosen = this->placeAll(request, members))
            return chosen;
    }
    if (this->fitsOneRackEmpty(request))
        return std::nullopt;
    return this->placeAll(request, this->everyWorker);
}

const PlanPass::OccupantOrders &PlanPass::ordersOf(std::size_t number) const
{
    OccupantOrders &known = this->orders[number];
    if (known.made)
        return known;
    known.made = true;
    const std::vector<OccupantView> &occupants = this->workers[number].occupants;
    known.byEnd.resize(occupants.size());
    std::iota(known.byEnd.begin(), known.byEnd.end(), std::size_t{0});
    known.byLoss = known.byEnd;
    const auto endsFirst = [&occupants](std::size_t left, std::size_t right) {
        return occupants[left].expectedEnd < occupants[right].expectedEnd;
    };
    const auto cheaper = [&occupants](std::size_t left, std::size_t right) {
        const OccupantView &a = occupants[left];
        const OccupantView &b = occupants[right];
        return a.priority != b.priority ? a.priority > b.priority
                                        : a.preemptionCost < b.preemptionCost;
    };
    std::stable_sort(known.byEnd.begin(), known.byEnd.end(), endsFirst);
    std::stable_sort(known.byLoss.begin(), known.byLoss.end(), cheaper);
    return known;
}

UnixMs PlanPass::roomAt(const StartRequest &request, std::size_t number) const
{
    const WorkerView &worker = this->workers[number];
    Resources room = this->stage.free[number];
    UnixMs at = this->now;
    for (const std::size_t place : this->ordersOf(number).byEnd) {
        if (request.step->allocatedResources().fitsInto(room))
            return at;
        const OccupantView &occupant = worker.occupants[place];
        room += occupant.need;
        at = std::max(at, occupant.stopping ? this->now : occupant.expectedEnd);
    }
    return request.step->allocatedResources().fitsInto(room) ? at
                                                             : std::numeric_limits<UnixMs>::max();
}

std::optional<std::size_t> PlanPass::soonestWorker(const StartRequest &request,
                                                   std::span<const std::size_t> candidates) const
{
    std::optional<std::size_t> best;
    UnixMs soonest = std::numeric_limits<UnixMs>::max();
    for (const std::size_t worker : candidates) {
        if (!this->allowed(request, worker))
            continue;
        const UnixMs at = this->roomAt(request, worker);
        if (at < soonest) {
            soonest = at;
            best = worker;
        }
    }
    return best;
}

UnixMs PlanPass::keepRoomAmong(const StartRequest &request, std::size_t tasks,
                               std::span<const std::size_t> candidates)
{
    constexpr UnixMs never = std::numeric_limits<UnixMs>::max();
    UnixMs latest = this->now;
    for (std::size_t i = 0; i < tasks; i++) {
        const std::optional<std::size_t> worker = this->soonestWorker(request, candidates);
        if (!worker)
            return never;
        latest = std::max(latest, this->roomAt(request, *worker));
        this->stage.free[*worker] -= request.step->allocatedResources();
    }
    return latest;
}

void PlanPass::keepRoomInOneRack(const StartRequest &request)
{
    const Stage before = this->stage;
    Stage best = before;
    UnixMs soonest = std::numeric_limits<UnixMs>::max();
    for (const auto &[rack, members] : this->racks) {
        const UnixMs at = this->keepRoomAmong(request, request.indexes.size(), members);
        if (at < soonest) {
            soonest = at;
            best = this->stage;
        }
        this->stage = before;
    }
    this->stage = best;
}

/// Takes the room that comes free first away from what ranks lower, so that a stream of small
/// tasks does not keep a large one waiting for ever.
void PlanPass::keepRoom(const StartRequest &request, std::size_t tasks)
{
    constexpr int firstRankWithoutReservation = 5;
    const bool reserves = StartPlanner::rankOf(request, this->now) < firstRankWithoutReservation;
    const std::size_t left = this->settings.maxReservations - this->reservations;
    if (!reserves || left == 0)
        return;
    const std::size_t kept = std::min(tasks, left);
    this->reservations += kept;
    if (request.step->gang && request.step->sameRack)
        this->keepRoomInOneRack(request);
    else
        this->keepRoomAmong(request, kept, this->everyWorker);
}

PlanPass::Displacement PlanPass::cheapestDisplacement(const StartRequest &request,
                                                      std::size_t number) const
{
    const WorkerView &worker = this->workers[number];
    const std::vector<std::size_t> &gone = this->stage.displaced[number];
    Displacement result;
    result.worker = number;
    Resources room = this->stage.free[number];
    room += this->stage.coming[number];
    double loss = 0.0;
    for (const std::size_t place : this->ordersOf(number).byLoss) {
        if (request.step->allocatedResources().fitsInto(room))
            break;
        const OccupantView &occupant = worker.occupants[place];
        if (occupant.priority < this->leastVictimPriority(request))
            break;
        const bool alreadyGone = std::find(gone.begin(), gone.end(), place) != gone.end();
        if (occupant.stopping || occupant.nonPreemptible || alreadyGone)
            continue;
        room += occupant.need;
        loss += occupant.preemptionCost;
        result.occupants.push_back(place);
    }
    if (request.step->allocatedResources().fitsInto(room))
        result.loss = loss;
    return result;
}

void PlanPass::displace(const Displacement &displacement)
{
    for (const std::size_t occupant : displacement.occupants) {
        this->stage.displaced[displacement.worker].push_back(occupant);
        this->stage.coming[displacement.worker]
            += this->workers[displacement.worker].occupants[occupant].need;
    }
}

void PlanPass::planDisplaced(const Stage &before)
{
    for (std::size_t worker = 0; worker < this->workers.size(); worker++) {
        const std::vector<std::size_t> &occupants = this->stage.displaced[worker];
        for (std::size_t i = before.displaced[worker].size(); i < occupants.size(); i++)
            this->plan.preemptions.push_back({worker, occupants[i]});
    }
}

bool PlanPass::mayReclaim(const StartRequest &request) const
{
    return request.priority <= this->settings.maxPreemptingPriority
        && this->now < request.usefulUntil;
}

/// What is late already and not owed displaces only what is worth least.
std::int32_t PlanPass::leastVictimPriority(const StartRequest &request) const
{
    const bool owed = request.guaranteed || !isLate(request, this->now);
    return request.priority + (owed ? 1 : 2);
}

PlanPass::Chosen PlanPass::cover(const StartRequest &request, std::size_t tasks,
                                 std::span<const std::size_t> candidates, double &loss)
{
    Chosen taken = request.assignedWorkers;
    Chosen covered;
    while (covered.size() < tasks) {
        Displacement best;
        for (const std::size_t worker : candidates) {
            const auto there = std::count(taken.begin(), taken.end(), worker);
            if (!this->allowed(request, worker)
                || !this->belowMost(request, static_cast<std::size_t>(there)))
                continue;
            Displacement option = this->cheapestDisplacement(request, worker);
            if (option.loss < best.loss)
                best = std::move(option);
        }
        if (best.loss == std::numeric_limits<double>::infinity())
            return covered;
        this->displace(best);
        this->stage.free[best.worker] -= request.step->allocatedResources();
        taken.push_back(best.worker);
        loss += best.loss;
        covered.push_back(best.worker);
    }
    return covered;
}

/// Covers tasks by room that is coming free or can be made free. Returns how many are covered;
/// their room is claimed, so that nothing else is placed into it.
std::size_t PlanPass::reclaimFor(std::size_t number, std::size_t tasks)
{
    const StartRequest &request = this->requests[number];
    if (!this->mayReclaim(request))
        return 0;
    const Stage before = this->stage;
    double loss = 0.0;
    const Chosen covered = this->cover(request, tasks, this->everyWorker, loss);
    this->planDisplaced(before);
    this->claim(number, covered);
    return covered.size();
}

/// Room for a part of a gang is of no use; a gang bound to one rack needs all of it there.
bool PlanPass::reclaimForGang(std::size_t number)
{
    const StartRequest &request = this->requests[number];
    if (!this->mayReclaim(request))
        return false;
    const std::size_t tasks = request.indexes.size();
    const Stage before = this->stage;
    Stage best = before;
    Chosen chosen;
    double least = std::numeric_limits<double>::infinity();
    const auto consider = [&](std::span<const std::size_t> candidates) {
        double loss = 0.0;
        const Chosen covered = this->cover(request, tasks, candidates, loss);
        if (covered.size() == tasks && loss < least) {
            least = loss;
            best = this->stage;
            chosen = covered;
        }
        this->stage = before;
    };
    if (request.step->sameRack && this->fitsOneRackEmpty(request)) {
        for (const auto &[rack, members] : this->racks)
            consider(members);
    } else {
        consider(this->everyWorker);
    }
    this->stage = best;
    this->planDisplaced(before);
    this->claim(number, chosen);
    return !chosen.empty();
}

void PlanPass::claim(std::size_t request, std::span<const std::size_t> taken)
{
    for (const std::size_t worker : taken)
        this->plan.claims.push_back({request, worker});
}

/// What was claimed in an earlier plan is kept from all requests but its own.
void PlanPass::holdClaims(const StartRequest &request)
{
    for (const std::size_t worker : request.claims)
        this->stage.free[worker] -= request.step->allocatedResources();
}

void PlanPass::releaseClaims(const StartRequest &request)
{
    for (const std::size_t worker : request.claims)
        this->stage.free[worker] += request.step->allocatedResources();
}

/// Keeps the claims whose room is still there or coming. Returns their workers, `most` at most.
PlanPass::Chosen PlanPass::renewClaims(const StartRequest &request, std::size_t most)
{
    Chosen kept;
    for (const std::size_t worker : request.claims) {
        Resources room = this->stage.free[worker];
        room += this->stage.coming[worker];
        const bool holds = kept.size() < most && this->eligible(request, worker)
            && request.step->allocatedResources().fitsInto(room);
        if (!holds)
            continue;
        this->stage.free[worker] -= request.step->allocatedResources();
        kept.push_back(worker);
    }
    return kept;
}

} // namespace Hibiscus::Tasks
