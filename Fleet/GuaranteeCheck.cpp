#include <Fleet/FleetTable.h>
#include <Fleet/GuaranteeCheck.h>

#include <string>

namespace Hibiscus {

namespace {

constexpr std::array<const char *, cellLevelCount> levelNames{"slot", "pair", "quad", "worker",
                                                              "rack"};

FleetTable buildFleet(std::span<const WorkerDescription> workers)
{
    FleetTable fleet;
    for (const WorkerDescription &worker : workers) {
        if (worker.leaving || worker.slots == 0)
            continue;
        const WorkerId id{static_cast<std::uint32_t>(fleet.workerCount())};
        fleet.setDescription(id, worker);
        fleet.setService(id, ServiceLevel::Full);
    }
    return fleet;
}

std::uint64_t sum(const CellCounts &counts)
{
    std::uint64_t total = 0;
    for (const std::uint32_t count : counts)
        total += count;
    return total;
}

} // namespace

Findings checkGuarantees(std::span<const DeclaredGuarantee> guarantees,
                         std::span<const WorkerDescription> workers)
{
    Findings findings;
    const FleetTable fleet = buildFleet(workers);
    CellCounts need{};
    for (const DeclaredGuarantee &guarantee : guarantees) {
        for (std::size_t level = 0; level < cellLevelCount; ++level) {
            const std::uint32_t wanted = guarantee.cells[level];
            const std::uint64_t before = sum(fleet.reclaimable().deficit(need));
            need[level] += wanted;
            const std::uint64_t after = sum(fleet.reclaimable().deficit(need));
            if (after <= before)
                continue;
            findings.add(guarantee.location + "/" + levelNames[level],
                         std::to_string(wanted) + " cells of level " + levelNames[level]
                             + " do not fit into the fleet together with the preceding guarantees");
            // Cells that do not fit are left out, so that each later finding is independent of
            // them.
            need[level] -= wanted;
        }
    }
    return findings;
}

} // namespace Hibiscus
