#include <Tasks/ShortageOrder.h>

#include <algorithm>
#include <limits>
#include <numeric>

namespace Hibiscus::Tasks {

namespace {

/// Share of its expected run time that a run takes at least, as far as planning relies on it:
/// estimates of callers are rough. A request with less time than that left is of no use.
constexpr double minShareOfRunTime = 0.5;

/// A wider gang gives way for no longer than one of this many equal shares.
constexpr double maxPartOfShare = 3.0;

std::int64_t tasksThatFit(const Resources &need, const Resources &room)
{
    std::int64_t tasks = std::numeric_limits<std::int64_t>::max();
    const auto limitBy = [&tasks](std::int64_t needed, std::int64_t available) {
        if (needed > 0)
            tasks = std::min(tasks, std::max<std::int64_t>(0, available / needed));
    };
    limitBy(need.milliCores, room.milliCores);
    limitBy(need.memoryMiB, room.memoryMiB);
    limitBy(need.accelerators, room.accelerators);
    return tasks;
}

Resources needOf(const StartRequest &request)
{
    return request.step->allocatedResources() * static_cast<std::int64_t>(request.indexes.size());
}

} // namespace

double dominantShare(const Resources &part, const Resources &all)
{
    const auto share = [](std::int64_t used, std::int64_t total) {
        return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0.0;
    };
    return std::max({share(part.milliCores, all.milliCores), share(part.memoryMiB, all.memoryMiB),
                     share(part.accelerators, all.accelerators)});
}

ShortageOrder::ShortageOrder(std::span<const StartRequest> requests,
                             std::span<const WorkerView> workers, UnixMs now)
    : requests(requests)
    , workers(workers)
    , now(now)
{
    this->countRoom();
    this->findShortServices();
    if (!this->shortServices.empty())
        this->countUse();
}

void ShortageOrder::Demand::add(const StartRequest &request)
{
    this->all += needOf(request);
    const Resources need = request.step->allocatedResources();
    auto shape = std::find_if(this->shapes.begin(), this->shapes.end(),
                              [&need](const Shape &other) { return other.need == need; });
    if (shape == this->shapes.end())
        shape = this->shapes.insert(this->shapes.end(), {need, 0});
    shape->tasks += static_cast<std::int64_t>(request.indexes.size());
}

void ShortageOrder::countRoom()
{
    for (const WorkerView &worker : this->workers) {
        if (!worker.usable)
            continue;
        Room &room = this->rooms[worker.service];
        room.all += worker.capacity();
        room.free += worker.free;
    }
}

void ShortageOrder::countUse()
{
    for (const WorkerView &worker : this->workers) {
        for (const OccupantView &occupant : worker.occupants) {
            this->inUse[{worker.service, occupant.customer}] += occupant.need;
            this->competitors[worker.service].insert(occupant.customer);
        }
    }
    for (const StartRequest &request : this->requests)
        this->competitors[request.service].insert(request.customer);
}

bool ShortageOrder::fitsAlone(std::string_view service, const Resources &need,
                              std::int64_t tasks) const
{
    for (const WorkerView &worker : this->workers) {
        if (tasks <= 0)
            return true;
        if (worker.usable && worker.service == service)
            tasks -= std::min(tasks, tasksThatFit(need, worker.free));
    }
    return tasks <= 0;
}

/// Room is short if all requests together need more of one kind of resource than is free, or if the
/// free room is in parts that are too small for the tasks of one shape.
void ShortageOrder::findShortServices()
{
    std::map<std::string_view, Demand> demands;
    for (const StartRequest &request : this->requests)
        demands[request.service].add(request);
    for (const auto &[service, demand] : demands) {
        if (this->lacksRoom(service, demand))
            this->shortServices.insert(service);
    }
}

bool ShortageOrder::lacksRoom(std::string_view service, const Demand &demand) const
{
    const auto room = this->rooms.find(service);
    if (room == this->rooms.end() || !demand.all.fitsInto(room->second.free))
        return true;
    return std::any_of(demand.shapes.begin(), demand.shapes.end(),
                       [this, service](const Shape &shape) {
                           return !this->fitsAlone(service, shape.need, shape.tasks);
                       });
}

bool ShortageOrder::isShort(std::string_view service) const
{
    return this->shortServices.contains(service);
}

int ShortageOrder::rankOf(const StartRequest &request) const
{
    const int rank = StartPlanner::rankOf(request, this->now);
    if (rank == 0 || !this->isShort(request.service))
        return rank;
    const auto leastRunTime
        = static_cast<UnixMs>(minShareOfRunTime * static_cast<double>(toMs(request.runTime)));
    if (!request.step->perpetual && this->now + leastRunTime >= request.usefulUntil)
        return StartPlanner::uselessRank;
    return rank;
}

double ShortageOrder::shareInUse(std::string_view service, std::string_view customer) const
{
    const auto room = this->rooms.find(service);
    const auto used = this->inUse.find({service, customer});
    if (room == this->rooms.end() || used == this->inUse.end())
        return 0.0;
    return dominantShare(used->second, room->second.all);
}

std::vector<Shortage> ShortageOrder::shortages() const
{
    std::vector<Shortage> all;
    for (const std::string_view service : this->shortServices) {
        Shortage shortage{.service = service};
        for (const std::string_view customer : this->competitors.at(service)) {
            shortage.customers++;
            const double share = this->shareInUse(service, customer);
            if (share > shortage.largestShare) {
                shortage.largestCustomer = customer;
                shortage.largestShare = share;
            }
        }
        all.push_back(shortage);
    }
    return all;
}

double ShortageOrder::equalShareOf(std::string_view service) const
{
    const auto customers = this->competitors.find(service);
    return customers == this->competitors.end()
        ? 1.0
        : 1.0 / static_cast<double>(customers->second.size());
}

/// Time of the order within a rank. A gang takes all of its room at once, and a wide one keeps many
/// small ones waiting, so it gives way by its run time, times its part of an equal share. The wait
/// is bounded, so that wide gangs do not starve. Independent tasks start one by one as room comes.
UnixMs ShortageOrder::turnOf(const StartRequest &request) const
{
    const auto room = this->rooms.find(request.service);
    if (!request.step->gang || !this->isShort(request.service) || room == this->rooms.end())
        return request.objectiveAt;
    const double part
        = dominantShare(needOf(request), room->second.all) / this->equalShareOf(request.service);
    const auto runTime = static_cast<double>(toMs(request.runTime));
    return request.objectiveAt + static_cast<UnixMs>(std::min(part, maxPartOfShare) * runTime);
}

std::vector<bool> ShortageOrder::findBeyondShare(std::span<const std::size_t> order) const
{
    std::vector<bool> beyond(this->requests.size(), false);
    std::map<Customer, Resources> taken = this->inUse;
    for (const std::size_t number : order) {
        const StartRequest &request = this->requests[number];
        if (!this->isShort(request.service))
            continue;
        Resources &use = taken[{request.service, request.customer}];
        const auto room = this->rooms.find(request.service);
        beyond[number] = room != this->rooms.end()
            && dominantShare(use, room->second.all) >= this->equalShareOf(request.service);
        use += needOf(request);
    }
    return beyond;
}

std::vector<std::size_t> ShortageOrder::order() const
{
    std::vector<int> ranks;
    std::vector<UnixMs> turns;
    ranks.reserve(this->requests.size());
    turns.reserve(this->requests.size());
    for (const StartRequest &request : this->requests) {
        ranks.push_back(this->rankOf(request));
        turns.push_back(this->turnOf(request));
    }
    std::vector<std::size_t> order(this->requests.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return ranks[left] != ranks[right] ? ranks[left] < ranks[right]
                                           : turns[left] < turns[right];
    });
    if (this->shortServices.empty())
        return order;
    const std::vector<bool> beyond = this->findBeyondShare(order);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return ranks[left] != ranks[right] ? ranks[left] < ranks[right]
                                           : !beyond[left] && beyond[right];
    });
    return order;
}

} // namespace Hibiscus::Tasks
