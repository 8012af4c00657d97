#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/IdMap.h>
#include <Policy/Scheduler.h>

#include <algorithm>
#include <span>
#include <vector>

namespace Hibiscus {

enum class JobPhase : std::uint8_t {
    Free, ///< The row holds no job.
    Queued,
    Claiming, ///< Its cells are kept for it until others have left them.
    Starting, ///< Start was decided, `started` not yet reported.
    Running,
};

/// One job's row.
struct JobRow
{
    QueuedJob spec;
    TimePoint submitted;
    TimePoint startedAt; ///< When Start was decided, or when it was taken in.
    Duration expected{}; ///< The run time to reckon with.
    Placement firstPlacement; ///< The only placement, or the first of several.
    std::uint32_t placementBlock = 0; ///< Where several placements are kept; 0 is none.
    JobPhase phase = JobPhase::Free;
    bool isGuaranteed = false; ///< Charged to its customer's guarantee.
    bool isPinned = false; ///< Beyond the guarantee and never asked to leave.
    bool isBeingPreempted = false; ///< Was asked to make room.
    bool isShareCharged = false; ///< Its work was charged to its customer's share.
    bool isAdopted = false; ///< When it started isn't known.
    Pool pool = Pool::CpuOnly; ///< Where it runs.
    std::uint32_t claim = 0; ///< Number of its latest claim.
    std::uint32_t pendingBorrowers = 0; ///< Borrowers that have to leave before it starts.

    /// Slots it takes up.
    std::uint32_t slots() const { return std::max<std::uint32_t>(this->spec.accelerators, 1); }
    bool holdsCells() const
    {
        return this->phase == JobPhase::Starting || this->phase == JobPhase::Running;
    }
};

/// All jobs of one scheduler. Rows have dense indexes that are used again; nothing is allocated
/// while the number of jobs stays below its past maximum.
class JobTable
{
public:
    std::uint32_t add(const QueuedJob &spec, TimePoint submitted);
    void remove(std::uint32_t job);
    std::optional<std::uint32_t> find(JobId id) const { return this->byId.find(id.value); }

    JobRow &row(std::uint32_t job) { return this->rows[job]; }
    const JobRow &row(std::uint32_t job) const { return this->rows[job]; }
    /// Rows in use and free ones.
    std::uint32_t rowCount() const { return static_cast<std::uint32_t>(this->rows.size()); }
    std::size_t jobCount() const { return this->byId.size(); }

    void setPlacements(std::uint32_t job, std::span<const Placement> placements);
    void clearPlacements(std::uint32_t job);
    std::span<const Placement> placements(std::uint32_t job) const;

private:
    std::vector<JobRow> rows;
    std::vector<std::uint32_t> freeRows;
    std::vector<std::vector<Placement>> blocks{1};
    std::vector<std::uint32_t> freeBlocks;
    IdMap byId;
};

} // namespace Hibiscus
