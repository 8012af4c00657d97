#include <Tasks/PlanPass.h>

#include <algorithm>
#include <limits>
#include <set>

// What PlanPass reclaims for urgent requests, and the claims that keep the freed room for them.
namespace Hibiscus::Tasks {

PlanPass::Preemption PlanPass::cheapestPreemption(const StartRequest &request,
                                                  std::size_t number) const
{
    const WorkerView &worker = this->workers[number];
    Preemption result;
    result.worker = number;
    Resources room = this->capacity.free[number];
    room += this->capacity.beingFreed[number];
    double cost = 0.0;
    std::set<std::size_t> stoppedGangs;
    for (const std::size_t place : this->occupantOrdersOf(number).byCost) {
        if (request.step->allocatedResources().fitsInto(room))
            break;
        const OccupantView &occupant = worker.occupants[place];
        if (occupant.priority < this->minVictimPriority(request))
            break;
        if (occupant.stopping || occupant.nonPreemptible || this->isPreempted(number, place))
            continue;
        room += occupant.need;
        // The cost of an occupant is that of its whole gang.
        if (occupant.group == 0 || stoppedGangs.insert(occupant.group).second)
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
        const std::size_t group = this->workers[preemption.worker].occupants[occupant].group;
        if (group == 0) {
            this->markPreempted(preemption.worker, occupant);
            continue;
        }
        for (const auto &[worker, member] : this->gangs.at(group))
            this->markPreempted(worker, member);
    }
}

/// The room of an occupant that is stopping counts as being freed already.
void PlanPass::markPreempted(std::size_t worker, std::size_t occupant)
{
    const OccupantView &view = this->workers[worker].occupants[occupant];
    if (view.stopping || this->isPreempted(worker, occupant))
        return;
    this->capacity.preempted[worker].push_back(occupant);
    this->capacity.beingFreed[worker] += view.need;
}

bool PlanPass::isPreempted(std::size_t worker, std::size_t occupant) const
{
    const std::vector<std::size_t> &preempted = this->capacity.preempted[worker];
    return std::find(preempted.begin(), preempted.end(), occupant) != preempted.end();
}

/// Names one member of each gang, which stops as a whole.
void PlanPass::planPreemptions(const Capacity &before)
{
    std::set<std::size_t> gangsNamed;
    for (std::size_t worker = 0; worker < this->workers.size(); worker++) {
        const std::vector<std::size_t> &occupants = this->capacity.preempted[worker];
        for (std::size_t i = before.preempted[worker].size(); i < occupants.size(); i++) {
            const std::size_t group = this->workers[worker].occupants[occupants[i]].group;
            if (group == 0 || gangsNamed.insert(group).second)
                this->plan.preemptions.push_back({worker, occupants[i]});
        }
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
    // The gang would reject these workers once they have room, so nothing is stopped for it yet.
    if (this->rejects(request, chosen))
        return true;
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
