#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/JobTable.h>

#include <optional>
#include <vector>

namespace Hibiscus {

/// The cost of preempting the borrowers on some slots. Less urgent borrowers are cheaper by orders
/// of magnitude; within a class, borrowers with fewer slots are cheaper. A gang counts with all its
/// slots, because all of it is preempted.
class ReclaimCost
{
public:
    ReclaimCost(const FleetTable &fleet, const JobTable &jobs)
        : fleet(fleet)
        , jobs(jobs)
    {}

    /// Cost of emptying the slots; nothing if a job on them must not be preempted or they are held
    /// for a claim.
    std::optional<double> costOfSlots(WorkerId worker, SlotMask slots) const;
    /// Like above, including the further borrowers on the worker that must be preempted until
    /// `memoryMiB` are idle.
    std::optional<double> costOfSlots(WorkerId worker, SlotMask slots,
                                      std::uint32_t memoryMiB) const;

    /// Appends the jobs that `costOfSlots` counts, each once.
    void collect(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB,
                 std::vector<std::uint32_t> &borrowers) const;

    /// True if the job may be preempted.
    bool mayPreempt(std::uint32_t job) const;

private:
    double costOf(std::uint32_t job) const;
    /// The cheapest borrower outside `slots` that uses memory and is not in `chosen`.
    std::uint32_t nextForMemory(WorkerId worker, SlotMask slots,
                                const std::vector<std::uint32_t> &chosen) const;

    const FleetTable &fleet;
    const JobTable &jobs;
    mutable std::vector<std::uint32_t> scratch;
};

} // namespace Hibiscus
