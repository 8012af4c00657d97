#pragma once

#include "Trace.h"

#include <queue>
#include <unordered_map>

namespace Hibiscus {

/// Result of one submission.
struct Outcome
{
    Admission answer;
    std::optional<TimePoint> started; ///< Time of the first start.
    std::optional<TimePoint> finished;
    bool isExpired = false;
};

/// Time averages over the period of the submissions.
struct FragmentationMetrics
{
    /// Share of the free accelerators outside cells that could serve the next gang: the oldest
    /// waiting gang or, if none waits, the next one in the trace.
    double unusableShare = 0;
    double largestFreeCell = 0; ///< Adjacent free slots of one worker.
};

/// Discrete-event simulation of a trace with fake workers. A job runs for the run time in the
/// trace; after a checkpoint it resumes from there, after a stop from its start.
class FakeFleet
{
public:
    /// Every `silentInterval`th job does not answer a checkpoint request; 0 for none.
    FakeFleet(Scheduler &scheduler, std::span<const Arrival> arrivals,
              std::uint32_t silentInterval = 0);

    void addWorkers();
    void runUntil(TimePoint until);

    /// By index in the trace.
    const std::vector<Outcome> &results() const { return this->outcomes; }
    FragmentationMetrics fragmentation() const;
    std::uint32_t preemptions() const { return this->preempted; }

private:
    struct End
    {
        TimePoint when;
        std::uint64_t sequence = 0;
        std::size_t job = 0;
        std::uint32_t start = 0; ///< The start of the job that this end belongs to.
        EndKind kind = EndKind::Finished;

        bool operator>(const End &other) const
        {
            return std::tie(this->when, this->sequence) > std::tie(other.when, other.sequence);
        }
    };
    struct Run
    {
        std::vector<Placement> placements; ///< Empty while the job is not running.
        std::uint32_t starts = 0;
        TimePoint since; ///< Time of the last start.
        Duration checkpointedRunTime{}; ///< Run time preserved by checkpoints.
        bool isCheckpointing = false;
    };

    TimePoint nextTime() const;
    void submitDue();
    void endDue();
    void decide();
    void applyDecision(const Decision &decision);
    void start(std::size_t job, std::span<const Placement> placements);
    void checkpoint(std::size_t job);
    void scheduleEnd(std::size_t job, Duration after, EndKind kind);
    void accumulateFragmentation(TimePoint until);
    std::uint16_t nextGang();
    std::uint32_t usableSlots(std::uint16_t gang) const;

    Scheduler &scheduler;
    std::span<const Arrival> arrivals;
    std::uint32_t silentInterval;
    TimePoint now = traceBegin;
    std::size_t nextArrival = 0;
    std::vector<Outcome> outcomes;
    std::vector<Run> runs;
    std::vector<std::size_t> gangs; ///< Indexes in the trace.
    std::size_t firstWaitingGang = 0;
    std::array<SlotMask, traceWorkers> used{};
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    std::uint64_t lastSequence = 0;
    std::uint32_t preempted = 0;
    std::vector<Decision> decisions;
    double measuredSeconds = 0;
    double unusableSum = 0;
    double largestFreeCellSum = 0;
};

} // namespace Hibiscus
