#include <Tasks/PlanPass.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <queue>
#include <utility>

// How requests of PlanPass wait: room that becomes free is reserved for those that need much of it.
namespace Hibiscus::Tasks {

namespace {

/// Time of an event that is not expected to happen, such as the end of a perpetual task.
constexpr UnixMs never = std::numeric_limits<UnixMs>::max();

} // namespace

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

/// Only the chosen worker's time changes from task to task, so the times of all others are kept.
UnixMs PlanPass::reserveRoomOn(const StartRequest &request, std::size_t tasks,
                               std::span<const std::size_t> candidates)
{
    /// Time at which one more task has room, and the worker.
    using Slot = std::pair<UnixMs, std::size_t>;
    std::priority_queue<Slot, std::vector<Slot>, std::greater<>> slots;
    WorkerList taken = request.assignedWorkers;
    const auto addSlot = [&](std::size_t worker) {
        const UnixMs at = isBelowWorkerLimit(request, worker, taken)
            ? this->roomAvailableAt(request, worker)
            : never;
        if (at != never)
            slots.emplace(at, worker);
    };
    for (const std::size_t worker : candidates) {
        if (this->isAllowed(request, worker))
            addSlot(worker);
    }
    UnixMs latest = this->now;
    std::vector<Slot> chosen;
    while (chosen.size() < tasks && !slots.empty()) {
        const auto [at, worker] = slots.top();
        slots.pop();
        chosen.emplace_back(at, worker);
        latest = std::max(latest, at);
        this->capacity.free[worker] -= request.step->allocatedResources();
        this->capacity.reserved[worker] += request.step->allocatedResources();
        taken.push_back(worker);
        addSlot(worker);
    }
    for (const auto &[at, worker] : chosen) {
        UnixMs &until = this->capacity.reservedUntil[worker];
        until = std::min(until, this->lendsUntil(request, request.step->gang ? latest : at));
    }
    return chosen.size() == tasks ? latest : never;
}

/// Urgent work has to start promptly, so nothing else uses its room in the meantime.
UnixMs PlanPass::lendsUntil(const StartRequest &request, UnixMs start) const
{
    return request.priority > this->settings.maxPreemptingPriority ? start : this->now;
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

UnixMs PlanPass::reserveRoomInOneRack(const StartRequest &request)
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
    return earliest;
}

/// Whether room that is complete at that time only is not worth keeping for a gang. In a mostly
/// idle service, other tasks whose turn has come would wait for too long beside it. A gang under a
/// guarantee would keep it from tasks that can still start within theirs; what less urgent work
/// takes of it can be preempted. Room that never becomes complete is not worth it either.
bool PlanPass::isTooLateToReserve(const StartRequest &request, UnixMs completeAt) const
{
    if (!request.step->gang)
        return false;
    const bool isBounded = request.guaranteed || this->isServiceMostlyIdle(request);
    return completeAt == never
        || (isBounded && completeAt - this->now > toMs(this->settings.maxIdleWait));
}

/// Tasks for which one plan reserves room: enough for the service's wide gangs, with most workers
/// left to other work.
std::size_t PlanPass::reservationLimitOf(const StartRequest &request) const
{
    const auto workers = this->usableWorkers.find(request.service);
    const std::size_t count = workers == this->usableWorkers.end() ? 0 : workers->second;
    const auto share = static_cast<std::size_t>(this->settings.reservedShareOfWorkers
                                                * static_cast<double>(count));
    return std::max(this->settings.maxReservations, share);
}

/// Reserves the room that becomes free first, so that requests of lower rank can't take it. Without
/// reservations a stream of small tasks would starve a large one.
void PlanPass::reserveRoom(const StartRequest &request, std::size_t tasks)
{
    constexpr int firstRankWithoutReservation = 5;
    const bool reserves = this->shortageOrder.rankOf(request) < firstRankWithoutReservation;
    const std::size_t limit = this->reservationLimitOf(request);
    const std::size_t left = limit - std::min(this->reservations, limit);
    if (!reserves || left == 0)
        return;
    // A part of a gang can't start, so room for a part would stay unused. The first gang that waits
    // may keep more than the limit, or a wide one would wait for as long as small tasks come. In a
    // mostly idle service, callers miss other work sooner than the gang.
    const bool mayExceed = this->reservations == 0 && !this->isServiceMostlyIdle(request);
    if (request.step->gang && ((tasks > left && !mayExceed) || !this->getsRoomForAllTasks(request)))
        return;
    const std::size_t kept = request.step->gang ? tasks : std::min(tasks, left);
    const Capacity before = this->capacity;
    const UnixMs completeAt = this->requiresOneRack(request)
        ? this->reserveRoomInOneRack(request)
        : this->reserveRoomOn(request, kept, this->allWorkers);
    if (this->isTooLateToReserve(request, completeAt))
        this->capacity = before;
    else
        this->reservations += kept;
}

} // namespace Hibiscus::Tasks
