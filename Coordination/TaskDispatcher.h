#pragma once

#include <Coordination/EvacuationWatch.h>
#include <Coordination/JobAgeClock.h>
#include <Coordination/LeaderElection.h>
#include <Coordination/PermitCache.h>
#include <Coordination/PlanInputs.h>
#include <Coordination/PrefixWatch.h>
#include <Coordination/ProgressReader.h>
#include <Coordination/PublishedKeys.h>
#include <Coordination/RecordWriter.h>
#include <Coordination/SilenceRecorder.h>
#include <Coordination/SpeedTracker.h>
#include <Coordination/TermClock.h>
#include <Coordination/TombstoneSweeper.h>
#include <Coordination/TrackedJobTable.h>
#include <Coordination/WorkerFleet.h>
#include <Tasks/DepartureDecision.h>
#include <Tasks/RunTimeEstimator.h>
#include <Tasks/StartPlanner.h>
#include <Tasks/WaitForecast.h>
#include <Tasks/WorkerRisks.h>

#include <optional>
#include <tl/expected.hpp>

namespace Hibiscus::Coordination {

/// The scheduler of the leader: reads accepted jobs from the store, runs their tasks on workers and
/// writes their progress back. Inactive while this instance is not the leader.
///
/// An assignment is stored before its start order is sent, and an end is stored before the worker
/// may discard it, so that the next leader finds every run that may exist in the store.
class TaskDispatcher final : private FleetListener
{
public:
    struct Settings
    {
        std::string workerRegistry; ///< Key prefix of the workers' entries in the store.
        /// How long the state of a finished job can be read.
        Duration statusRetention = seconds(120);
        Duration planDelay = milliseconds(4); ///< Batches events that arrive together.
        /// Additional delay per worker in microseconds, since planning time grows with the number
        /// of workers.
        Duration planDelayPerWorker{70};
        Duration tickInterval = milliseconds(250);
        /// Minimum time between two writes of the queues' load.
        Duration loadInterval = milliseconds(500);
        Duration silenceReadTimeout = milliseconds(1500);
        Tasks::StartPlanner::Settings planner;
        Tasks::WaitForecast::Settings forecast;
        SpeedTracker::Settings speeds;
        WorkerFleet::Settings fleet;
        PermitCache::Settings permits;
        PlanInputs::Settings inputs;
        Tasks::WorkerRisks::Settings risks;
        Tasks::DepartureDecision::Settings departures;
        EvacuationWatch::Settings evacuations;
        RecordWriter::Settings writer;
        ProgressReader::Settings progress;
        TermClock::Settings termClock;
    };

    /// Decodes a worker's registry entry, or returns a description of the error.
    using EntryDecoder = std::function<tl::expected<Tasks::WorkerEntry, std::string>(
        std::string_view key, std::string_view value)>;

    /// Called for each job that reaches a final state while this instance is the leader.
    std::function<void(const Tasks::Job &, Tasks::JobState, Duration age)> jobFinished;

    TaskDispatcher(Tasks::MetadataStore &store, Tasks::WorkerLink &link, TimerService &timers,
                   const WallClock &wallClock, EventLogger &logger, LeaderElection &election,
                   Tasks::PlacementService &placement, const Settings &settings,
                   EntryDecoder decoder, GuaranteeLookup guarantees);

    void elected(const LeaderElection::Term &term, TimePoint now);
    void deposed();
    /// The leader's term goes on after its lease had been in doubt.
    void termConfirmed(TimePoint now);

    const TrackedJobTable &jobTable() const { return this->jobs; }
    /// Number of tombstones in the store that this leader knows.
    std::size_t tombstoneCount() const { return this->tombstones.count(); }
    const WorkerFleet &workerFleet() const { return this->fleet; }
    const Tasks::WorkerSpeeds &workerSpeeds() const { return this->speeds.workerSpeeds(); }
    bool isReady() const { return this->phase == Phase::Leading; }

private:
    using StartPlanner = Tasks::StartPlanner;

    enum class Phase : std::uint8_t {
        Idle,
        Loading,
        Leading,
    };

    /// An order that waits until the leader's lease is known to hold or, if it is a start, until
    /// the evacuated data centres are known.
    struct KeptOrder
    {
        Tasks::RunRef run;
        std::string worker; ///< Worker to start the run on; empty for a stop.
    };

    void runConfirmed(const Tasks::RunRef &run, TimePoint now) override;
    void runProgressed(const RunProgress &progress, TimePoint now) override;
    void runEnded(const RunEnd &end, TimePoint now) override;
    void runLost(const RunEnd &end, const char *reason, TimePoint now) override;
    void permitRejected(const Tasks::RunRef &run, std::string_view worker) override;
    void fenced(TimePoint now) override;
    void fleetChanged(TimePoint now) override;
    void silenceEnded(TimePoint now) override;
    void tokensUsedUp(TimePoint now) override;

    /// Takes a failed run into account in the risk of its worker.
    void noteFailure(const RunEnd &end, TimePoint now);
    bool isLeading(TimePoint now);
    /// Whether start orders may be sent: leads, and knows which data centres are evacuated.
    bool mayStart(TimePoint now);
    void evacuationsChanged(TimePoint now);
    void beginWhenLoaded(TimePoint now);
    void restoreJob(TrackedJob &job, TimePoint now);
    /// Corrects the jobs' times of acceptance, which are by the times of day of other instances.
    void restoreAges(TimePoint now);
    /// Starts the term clock, and completes the records of finished jobs that lack a term time.
    void restoreRetention(TimePoint now);
    /// `revision` is that of the job's record, for the log.
    void adoptRuns(TrackedJob &job, std::int64_t revision, TimePoint now);

    void jobKeyChanged(const Tasks::StoredItem &item, TimePoint now);
    void removeJob(const std::string &id);
    void addJob(const Tasks::StoredItem &item, const std::string &id, TimePoint now);
    void takeOn(TrackedJob &job, TimePoint now);
    /// Time since the job's acceptance by the times of day of the accepting instance and this one.
    Duration statedAge(const TrackedJob &job) const;
    void setAge(TrackedJob &job, Duration age, TimePoint now);
    void cancelJob(const std::string &id, TimePoint now);
    void workerKeyChanged(const Tasks::StoredItem &item, TimePoint now);

    void applyUpdate(TrackedJob &job, const JobUpdate &update,
                     RecordWriter::StoredHandler afterStored, TimePoint now);
    void reportFinishedJob(const TrackedJob &job, TimePoint now);
    /// Stops the runs, or keeps the orders for later while the leader's lease is in doubt.
    void stopRuns(std::span<const Tasks::RunRef> runs, TimePoint now);
    void stopRun(const Tasks::RunRef &run, TimePoint now);
    void carryOutKeptOrders(TimePoint now);
    std::string encodeRecord(const std::string &job, TimePoint now);
    void removeExpired(TimePoint now);
    void logRemoval(const TrackedJob &job, Tasks::TermTimeMs termTime, TimePoint now);

    static WorkerFleet::Run describeRun(const TrackedJob &job, const Tasks::TaskRef &ref);
    void schedulePlan();
    void plan(TimePoint now);
    void observeWorkers(TimePoint now);
    void reportShortages(const Tasks::StartPlan &plan, TimePoint now);
    void executePlan(const Tasks::StartPlan &plan, TimePoint now);
    void assign(const Tasks::StartRequest &request, const Tasks::StartChoice &choice,
                const std::string &worker, double slowness, TimePoint now);
    /// Starts the run, or keeps the order for later while the leader's lease is in doubt.
    void startAssigned(const Tasks::RunRef &run, const std::string &worker, TimePoint now);
    void preempt(const Tasks::RunRef &run, TimePoint now);
    /// Stops the run and the other members of its gang.
    void stopGang(const TrackedJob &job, const Tasks::RunRef &run, const char *event,
                  TimePoint now);

    /// Stops the runs that can't end before their workers leave.
    void stopDoomedRuns(TimePoint now);
    void stopDoomedRuns(const WorkerFleet::Worker &worker, Duration untilDeparture, TimePoint now);

    void scheduleTick();
    void tick(TimePoint now);
    void writeLoad(TimePoint now);

    Tasks::MetadataStore &store;
    TimerService &timers;
    const WallClock &wallClock;
    EventLogger &logger;
    LeaderElection &election;
    Settings settings;
    EntryDecoder decoder;
    TrackedJobTable jobs;
    WorkerFleet fleet;
    RecordWriter writer;
    TombstoneSweeper tombstones;
    PublishedKeys published;
    SilenceRecorder silence;
    TermClock termClock;
    JobAgeClock ageClock;
    PrefixWatch jobWatch;
    PrefixWatch workerWatch;
    EvacuationWatch evacuations;
    ProgressReader progress; ///< Its records are kept only while loading.
    Tasks::RunTimeEstimator runTimes;
    SpeedTracker speeds;
    Tasks::WorkerRisks risks;
    Tasks::DepartureDecision departures;
    PermitCache permits;
    PlanInputs inputs;
    StartPlanner planner;
    Tasks::WaitForecast forecast;
    Phase phase = Phase::Idle;
    std::uint64_t generation = 0; ///< Answers and timers of earlier generations are ignored.
    bool jobsListed = false;
    bool workersListed = false;
    std::set<std::string> cancelledIds; ///< Used only while loading.
    bool planPending = false;
    std::vector<KeptOrder> keptOrders;
    TimePoint loadWrittenAt{};
    std::map<std::string, TimePoint> shortagesReportedAt; ///< By service.
};

} // namespace Hibiscus::Coordination
