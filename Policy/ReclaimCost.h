#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/JobTable.h>

#include <optional>
#include <vector>

namespace Hibiscus {

/// What it costs to ask the borrowers on some slots to leave. The least urgent are the cheapest by
/// far, then those that hold the fewest slots; a gang counts with all its slots, as all of it goes.
class ReclaimCost
{
public:
    ReclaimCost(const FleetTable &fleet, const JobTable &jobs)
        : fleet(fleet)
        , jobs(jobs)
    {}

    /// Cost of emptying the slots; nothing if a job there can't be asked to leave.
    std::optional<double> costOfSlots(WorkerId worker, SlotMask slots) const;
    /// The same together with further borrowers on the worker, until it has `memoryMiB` idle.
    std::optional<double> costOfSlots(WorkerId worker, SlotMask slots,
                                      std::uint32_t memoryMiB) const;

    /// Appends the jobs behind the cost just worked out, each once.
    void collect(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB,
                 std::vector<std::uint32_t> &borrowers) const;

    /// True if the job may be asked to make room.
    bool mayPreempt(std::uint32_t job) const;

private:
    double costOf(std::uint32_t job) const;
    /// The cheapest borrower outside `slots` whose memory helps and that isn't in `chosen`.
    std::uint32_t nextForMemory(WorkerId worker, SlotMask slots,
                                const std::vector<std::uint32_t> &chosen) const;

    const FleetTable &fleet;
    const JobTable &jobs;
    mutable std::vector<std::uint32_t> scratch;
};

} // namespace Hibiscus
