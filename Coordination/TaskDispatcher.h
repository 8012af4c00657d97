#pragma once

#include <Coordination/JobTable.h>
#include <Coordination/LeaderElection.h>
#include <Coordination/PermitCache.h>
#include <Coordination/PlanInputs.h>
#include <Coordination/PrefixWatch.h>
#include <Coordination/RecordWriter.h>
#include <Coordination/WorkerFleet.h>
#include <Tasks/RunTimeEstimator.h>
#include <Tasks/StartPlanner.h>
#include <Tasks/WaitForecast.h>

#include <optional>
#include <tl/expected.hpp>

namespace Hibiscus::Coordination {

/// The leader's work: takes accepted jobs from the store, has their tasks run on workers, and
/// writes their progress back. Does nothing while this instance does not lead.
///
/// An assignment is stored before its start is sent, and an end before the worker may forget it, so
/// that a follower finds in the store every run that may exist.
class TaskDispatcher final : private FleetListener
{
public:
    struct Settings
    {
        std::string workerRegistry; ///< Prefix of the workers' entries in the store.
        Duration statusRetention = seconds(120); ///< Of jobs that are over.
        Duration planDelay = milliseconds(4); ///< Gathers events that come together.
        Duration planDelayPerWorker{70}; ///< A pass over many workers takes longer.
        Duration tick = milliseconds(250);
        Duration loadInterval = milliseconds(500); ///< Between two writes of the queues' load.
        Duration listTimeout = milliseconds(1500);
        Duration storeRetryDelay = milliseconds(150);
        Tasks::StartPlanner::Settings planner;
        Tasks::WaitForecast::Settings forecast;
        WorkerFleet::Settings fleet;
        PermitCache::Settings permits;
        PlanInputs::Settings inputs;
        RecordWriter::Settings writer;
    };

    /// Turns a registry entry into a worker; an error text names what is wrong.
    using EntryDecoder = std::function<tl::expected<Tasks::WorkerEntry, std::string>(
        std::string_view key, std::string_view value)>;

    /// Called for each job that becomes final while this instance leads.
    std::function<void(const Tasks::Job &, Tasks::JobState, Duration age)> jobFinished;

    TaskDispatcher(Tasks::MetadataStore &store, Tasks::WorkerLink &link, TimerService &timers,
                   const WallClock &wallClock, EventLogger &logger, LeaderElection &election,
                   Tasks::PlacementService &placement, const Settings &settings,
                   EntryDecoder decoder, GuaranteeLookup guarantees);

    void elected(std::int64_t token, TimePoint now);
    void deposed(TimePoint now);

    const JobTable &jobTable() const { return this->jobs; }
    const WorkerFleet &workerFleet() const { return this->fleet; }
    bool isReady() const { return this->phase == Phase::Leading; }

private:
    using StartPlanner = Tasks::StartPlanner;

    enum class Phase : std::uint8_t {
        Idle,
        Loading,
        Leading,
    };

    /// A job's progress record as it was read at takeover.
    struct LoadedRecord
    {
        std::string value;
        std::int64_t revision = 0;
    };

    /// A job that was refused and whose key says so.
    struct Refusal
    {
        std::int64_t revision = 0;
        TimePoint seenAt{};
    };

    void runConfirmed(const Tasks::RunRef &run, TimePoint now) override;
    void runEnded(const RunEnd &end, TimePoint now) override;
    void runLost(const RunEnd &end, const char *reason, TimePoint now) override;
    void permitRejected(const Tasks::RunRef &run, std::string_view worker) override;
    void fenced(TimePoint now) override;
    void fleetChanged(TimePoint now) override;

    bool isLeading(TimePoint now);
    void listProgress(const std::string &after);
    void handleProgressPage(const Tasks::StoreAnswer &answer);
    void beginWhenLoaded(TimePoint now);
    void restoreJob(const Tasks::Job &job, TimePoint now);
    void adoptRuns(TrackedJob &job, TimePoint now);

    void jobKeyChanged(const Tasks::StoredItem &item, TimePoint now);
    void addJob(const Tasks::StoredItem &item, const std::string &id, TimePoint now);
    void cancelJob(const std::string &id, TimePoint now);
    void workerKeyChanged(const Tasks::StoredItem &item, TimePoint now);

    void applyUpdate(TrackedJob &job, const JobUpdate &update,
                     RecordWriter::StoredHandler afterStored, TimePoint now);
    void reportFinishedJob(const TrackedJob &job, TimePoint now);
    void stopRuns(std::span<const Tasks::RunRef> runs, TimePoint now);
    std::string encodeRecord(const std::string &job);
    void removeExpired();
    void removeOldRefusals(TimePoint now);

    void schedulePlan();
    void plan(TimePoint now);
    void executePlan(const Tasks::StartPlan &plan, TimePoint now);
    void assign(const Tasks::StartRequest &request, const Tasks::StartChoice &choice,
                const std::string &worker, TimePoint now);
    void startAssigned(const Tasks::RunRef &run, const std::string &worker, TimePoint now);
    void preempt(const Tasks::RunRef &run, TimePoint now);

    void scheduleTick();
    void tick(TimePoint now);
    void writeLoad(TimePoint now);
    /// Writes a text that all instances may read, if it has changed.
    void publish(const char *key, const std::string &text);

    Tasks::MetadataStore &store;
    TimerService &timers;
    const WallClock &wallClock;
    EventLogger &logger;
    LeaderElection &election;
    Settings settings;
    EntryDecoder decoder;
    JobTable jobs;
    WorkerFleet fleet;
    RecordWriter writer;
    PrefixWatch jobWatch;
    PrefixWatch workerWatch;
    Tasks::RunTimeEstimator runTimes;
    PermitCache permits;
    PlanInputs inputs;
    StartPlanner planner;
    Tasks::WaitForecast forecast;
    Phase phase = Phase::Idle;
    std::uint64_t generation = 0; ///< Answers and timers of an earlier one are ignored.
    bool jobsListed = false;
    bool workersListed = false;
    bool progressComplete = false;
    std::map<std::string, LoadedRecord> records; ///< While loading.
    std::set<std::string> cancelledIds; ///< While loading.
    std::map<std::string, Refusal> refusals; ///< By job; stored in place of jobs.
    bool planPending = false;
    std::map<std::string, std::string> published; ///< Newest stored text, by key.
    std::set<std::string> publishing; ///< Keys whose write is under way.
    TimePoint loadWrittenAt{};
};

} // namespace Hibiscus::Coordination
