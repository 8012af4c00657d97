#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/IdMap.h>
#include <Policy/Scheduler.h>

#include <algorithm>
#include <span>
#include <vector>

namespace Hibiscus {

enum class JobPhase : std::uint8_t {
    Free, ///< The row is unused.
    Queued,
    Claiming, ///< Its slots are held for it until borrowers have released them.
    Starting, ///< A Start decision was made; `jobStarted` is not yet reported.
    Running,
};

/// One job's row.
struct JobRow
{
    QueuedJob spec;
    TimePoint submitted;
    TimePoint startedAt; ///< Time of the Start decision, of the reported start, or of the adoption.
    Duration expected{}; ///< Expected run time.
    Placement firstPlacement; ///< The only placement, or the first of several.
    /// Index of the block that holds several placements; 0 if there is none.
    std::uint32_t placementBlock = 0;
    JobPhase phase = JobPhase::Free;
    bool isGuaranteed = false; ///< Charged to its customer's guarantee.
    bool isPinned = false; ///< Outside the guarantee and not preemptible.
    bool isBeingPreempted = false; ///< A preemption was requested.
    bool isShareCharged = false; ///< Its work was charged to the customer's share.
    bool isAdopted = false; ///< The start time is unknown.
    Pool pool = Pool::CpuOnly; ///< Pool that the job runs in.
    std::uint32_t claim = 0; ///< Number of the latest claim.
    /// Borrowers that must release their slots before the job starts.
    std::uint32_t pendingBorrowers = 0;

    /// Slots that the job occupies.
    std::uint32_t slots() const { return std::max<std::uint32_t>(this->spec.accelerators, 1); }
    bool holdsCells() const
    {
        return this->phase == JobPhase::Starting || this->phase == JobPhase::Running;
    }
};

/// All jobs of one scheduler. Row indexes are dense and reused; nothing is allocated while the
/// number of jobs stays at or below its previous maximum.
class JobTable
{
public:
    std::uint32_t add(const QueuedJob &spec, TimePoint submitted);
    void remove(std::uint32_t job);
    std::optional<std::uint32_t> find(JobId id) const { return this->byId.find(id.value); }

    JobRow &row(std::uint32_t job) { return this->rows[job]; }
    const JobRow &row(std::uint32_t job) const { return this->rows[job]; }
    /// Number of rows, used and free.
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
