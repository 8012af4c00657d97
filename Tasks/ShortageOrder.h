#pragma once

#include <Tasks/StartPlanner.h>

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace Hibiscus::Tasks {

/// Order in which competing requests get the room of one plan.
///
/// While each service has room for all of its requests, they come by rank and then by objective, as
/// `StartPlanner::rankOf` says. Where room is short, what costs callers least waits: work that
/// can hardly end while it is of use comes last, unless a guarantee covers it, and within one rank
/// the requests of a customer that holds its equal share or more come after those of the others.
class ShortageOrder
{
public:
    ShortageOrder(std::span<const StartRequest> requests, std::span<const WorkerView> workers,
                  UnixMs now);

    /// Whether the usable workers of the service lack room for some of its requests.
    bool isShort(std::string_view service) const;
    /// Rank of the request; 0 comes first.
    int rankOf(const StartRequest &request) const;
    /// Indexes of all requests, the one that is planned first in front.
    std::vector<std::size_t> order() const;
    std::vector<Shortage> shortages() const;
    /// Largest share that the customer's runs take of one kind of resource of the service.
    double shareInUse(std::string_view service, std::string_view customer) const;

private:
    using Customer = std::pair<std::string_view, std::string_view>; ///< Service and customer.
    struct Room
    {
        Resources all;
        Resources free;
    };

    /// Waiting tasks that need the same resources.
    struct Shape
    {
        Resources need;
        std::int64_t tasks = 0;
    };

    /// What the requests of one service need.
    struct Demand
    {
        void add(const StartRequest &request);

        Resources all;
        std::vector<Shape> shapes;
    };

    void countRoom();
    void countUse();
    void findShortServices();
    bool lacksRoom(std::string_view service, const Demand &demand) const;
    bool fitsAlone(std::string_view service, const Resources &need, std::int64_t tasks) const;
    /// Whether each request starts beyond its customer's equal share, by index of the request.
    std::vector<bool> findBeyondShare(std::span<const std::size_t> order) const;
    UnixMs turnOf(const StartRequest &request) const;
    double equalShareOf(std::string_view service) const;

    std::span<const StartRequest> requests;
    std::span<const WorkerView> workers;
    UnixMs now;
    std::map<std::string_view, Room> rooms; ///< Of the usable workers, by service.
    std::map<Customer, Resources> inUse;
    std::map<std::string_view, std::set<std::string_view>> competitors; ///< Customers, by service.
    std::set<std::string_view> shortServices;
};

/// Largest share of `all` that `part` takes of one kind of resource (dominant share).
double dominantShare(const Resources &part, const Resources &all);

} // namespace Hibiscus::Tasks
