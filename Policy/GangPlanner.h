#pragma once

#include <Policy/GuaranteeBindings.h>
#include <Policy/GuaranteePlan.h>
#include <Policy/ReclaimCost.h>

#include <span>
#include <vector>

namespace Hibiscus {

/// Finds whole workers for a gang inside its customer's guarantee: workers of racks that are
/// already bound, then newly bound racks and workers, preferring those with the cheapest borrowers.
/// All or nothing.
class GangPlanner
{
public:
    GangPlanner(FleetTable &fleet, GuaranteeBindings &bindings, const ReclaimCost &cost)
        : fleet(fleet)
        , bindings(bindings)
        , cost(cost)
    {}

    /// Returns true if the gang fits; its cells are then bound and marked used, and `plan` is
    /// filled. Otherwise nothing changes.
    bool plan(const QueuedJob &job, GuaranteePlan &plan);

private:
    /// One worker that the gang could use.
    struct Candidate
    {
        WorkerId worker;
        double cost = 0;
        bool isOwn = false; ///< In a rack that is already bound for the customer.
    };

    /// A range of racks, in order of their numbers, that could host the gang.
    struct Window
    {
        std::uint32_t first = 0; ///< Index into `FleetTable::racksByNumber`.
        std::uint32_t count = 0;
        double cost = 0;
    };

    void findWindows(const QueuedJob &job, std::uint32_t parts);
    void addWindow(const QueuedJob &job, std::uint32_t first, std::uint32_t count,
                   std::uint32_t parts);
    std::uint32_t maxParts(std::uint32_t first, std::uint32_t count, CustomerId customer) const;
    /// Fills `candidates` with the window's workers, cheapest first.
    void collectCandidates(const QueuedJob &job, const Window &window);
    bool planWindow(const QueuedJob &job, const Window &window, std::uint32_t parts,
                    GuaranteePlan &plan);
    void bindRacks(const QueuedJob &job, const Window &window, std::uint32_t parts,
                   std::uint32_t smallest);
    bool bindWorkers(const QueuedJob &job, std::uint32_t parts);
    std::uint32_t ownCandidates() const;
    void rollBack();
    void commit(const QueuedJob &job, std::uint32_t parts, GuaranteePlan &plan);
    bool isOwnUnused(CustomerId customer, WorkerId worker) const;

    FleetTable &fleet;
    GuaranteeBindings &bindings;
    const ReclaimCost &cost;
    std::vector<Window> windows;
    std::vector<Candidate> candidates;
    std::vector<std::uint32_t> newCells; ///< Cells bound for the current gang.
};

} // namespace Hibiscus
