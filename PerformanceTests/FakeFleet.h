#pragma once

#include "Trace.h"

#include <queue>
#include <unordered_map>

namespace Hibiscus {

/// What became of one submission.
struct Outcome
{
    Admission answer;
    std::optional<TimePoint> started; ///< For the first time.
    std::optional<TimePoint> finished;
    bool isExpired = false;
};

/// Averages over the time of the submissions.
struct FragmentationFigures
{
    /// Share of the free accelerators outside cells that could serve the next gang: the oldest that
    /// waits or, if none waits, the next that will be submitted.
    double unusableShare = 0;
    double largestFreeCell = 0; ///< Adjacent slots of one worker.
};

/// Plays a trace against a scheduler: a plain event queue over fake workers. A job runs as long as
/// its trace says; after a checkpoint it goes on from there, after a stop from its start.
class FakeFleet
{
public:
    /// Every `silentEvery`th job doesn't answer a checkpoint; 0 for none.
    FakeFleet(Scheduler &scheduler, std::span<const Arrival> arrivals,
              std::uint32_t silentEvery = 0);

    void addWorkers();
    void runUntil(TimePoint until);

    /// By place in the trace.
    const std::vector<Outcome> &results() const { return this->outcomes; }
    FragmentationFigures fragmentation() const;
    std::uint32_t preemptions() const { return this->preempted; }

private:
    struct End
    {
        TimePoint when;
        std::uint64_t sequence = 0;
        std::size_t job = 0;
        std::uint32_t start = 0; ///< Which start of the job this is the end of.
        EndKind kind = EndKind::Finished;

        bool operator>(const End &other) const
        {
            return std::tie(this->when, this->sequence) > std::tie(other.when, other.sequence);
        }
    };
    struct Run
    {
        std::vector<Placement> placements; ///< Empty while it doesn't run.
        std::uint32_t starts = 0;
        TimePoint since; ///< Last start.
        Duration saved{}; ///< Run time that checkpoints have kept.
        bool isCheckpointing = false;
    };

    TimePoint nextTime() const;
    void submitDue();
    void endDue();
    void decide();
    void follow(const Decision &decision);
    void start(std::size_t job, std::span<const Placement> placements);
    void checkpoint(std::size_t job);
    void plan(std::size_t job, Duration after, EndKind kind);
    void weigh(TimePoint until);
    std::uint16_t nextGang();
    std::uint32_t usableFor(std::uint16_t gang) const;

    Scheduler &scheduler;
    std::span<const Arrival> arrivals;
    std::uint32_t silentEvery;
    TimePoint now = traceBegin;
    std::size_t nextArrival = 0;
    std::vector<Outcome> outcomes;
    std::vector<Run> runs;
    std::vector<std::size_t> gangs; ///< Places in the trace.
    std::size_t firstWaitingGang = 0;
    std::array<SlotMask, traceWorkers> used{};
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    std::uint64_t lastSequence = 0;
    std::uint32_t preempted = 0;
    std::vector<Decision> decisions;
    double weighedSeconds = 0;
    double unusableSum = 0;
    double largestSum = 0;
};

} // namespace Hibiscus
