#include <Policy/JobTable.h>

#include <cassert>

namespace Hibiscus {

std::uint32_t JobTable::add(const QueuedJob &spec, TimePoint submitted)
{
    std::uint32_t job = 0;
    if (this->freeRows.empty()) {
        job = static_cast<std::uint32_t>(this->rows.size());
        this->rows.emplace_back();
    } else {
        job = this->freeRows.back();
        this->freeRows.pop_back();
    }
    JobRow &row = this->rows[job];
    row = {};
    row.spec = spec;
    row.submitted = submitted;
    row.phase = JobPhase::Queued;
    this->byId.insert(spec.job.value, job);
    return job;
}

void JobTable::remove(std::uint32_t job)
{
    JobRow &row = this->rows[job];
    assert(row.phase != JobPhase::Free);
    this->clearPlacements(job);
    this->byId.erase(row.spec.job.value);
    row.phase = JobPhase::Free;
    this->freeRows.push_back(job);
}

void JobTable::setPlacements(std::uint32_t job, std::span<const Placement> placements)
{
    assert(!placements.empty());
    this->clearPlacements(job);
    JobRow &row = this->rows[job];
    row.firstPlacement = placements.front();
    if (placements.size() == 1)
        return;
    if (this->freeBlocks.empty()) {
        row.placementBlock = static_cast<std::uint32_t>(this->blocks.size());
        this->blocks.emplace_back();
    } else {
        row.placementBlock = this->freeBlocks.back();
        this->freeBlocks.pop_back();
    }
    this->blocks[row.placementBlock].assign(placements.begin(), placements.end());
}

void JobTable::clearPlacements(std::uint32_t job)
{
    JobRow &row = this->rows[job];
    row.firstPlacement = {};
    if (row.placementBlock == 0)
        return;
    this->blocks[row.placementBlock].clear();
    this->freeBlocks.push_back(row.placementBlock);
    row.placementBlock = 0;
}

std::span<const Placement> JobTable::placements(std::uint32_t job) const
{
    const JobRow &row = this->rows[job];
    if (row.placementBlock != 0)
        return this->blocks[row.placementBlock];
    if (row.firstPlacement.slots == 0)
        return {};
    return {&row.firstPlacement, 1};
}

} // namespace Hibiscus
