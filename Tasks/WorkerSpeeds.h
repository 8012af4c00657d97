#pragma once

#include <Tasks/WorkerLink.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Tasks {

/// Progress of a run as its worker reported it.
struct RunSample
{
    StepRef step;
    std::int32_t index = 0;
    std::int32_t run = 0;
    std::string_view worker; ///< See WorkerSpeeds::identityOf.
    bool gang = false;
    /// Start of the run; its work at that time was zero. Empty: it had done some work before it was
    /// seen for the first time.
    std::optional<TimePoint> startedAt;
    std::int32_t percent = 0; ///< Share of the work done.
};

/// Learns how fast each worker is compared with the others of its service. A run is compared with
/// other runs of its own step, which do the same work: with their run times, and before their ends
/// with their reported progress. Both say little of a worker unless other workers ran the step too.
///
/// All factors are ratios of run times: 2 is half as fast as the typical worker.
class WorkerSpeeds
{
public:
    struct Settings
    {
        /// Standard deviations of the logarithm of run times, by cause: between tasks of a step, of
        /// the same task of a gang, and between workers before anything is known of them.
        double taskDeviation = 0.2;
        double gangDeviation = 0.05;
        double workerDeviation = 0.4;
        /// Deviation up to which a worker's estimate counts as known.
        double knownDeviation = 0.24;
        /// A run that took more than this multiple of its siblings' run times, or less than its
        /// inverse, shows an odd task or a disturbance and says nothing of the worker's speed.
        double maxFactor = 3.0;
        /// Progress in percent points from which a run's rate is used.
        std::int32_t minProgress = 8;
        /// Steps whose runs an estimate is made of; older evidence is forgotten.
        std::size_t stepsPerWorker = 16;
        std::size_t maxRuns = 20'000; ///< Runs that are remembered, of the newest steps.
        /// Workers that are remembered; those without recent runs are dropped first.
        std::size_t maxWorkers = 20'000;
        /// New runs that are compared in one update; the others follow in the next ones.
        std::size_t maxComparedRuns = 2000;
        /// Older runs that are compared again in one update, by what was learned since.
        std::size_t maxRecheckedRuns = 500;
        /// Workers of a service differ if the slowest tenth takes this multiple of the run times of
        /// the fastest tenth. Below it, speeds do not decide on placement.
        double minSpread = 2.0;
        /// Share of `minSpread` below which workers that differed count as equal again.
        double minSpreadShare = 0.9;
        std::size_t minKnownWorkers = 12; ///< Known workers from which the spread is judged.
        std::size_t maxStoredBytes = 49'152; ///< Length of the stored record at most.
    };

    struct Speed
    {
        double slowness = 1.0; ///< Factor on the run times of the service's typical worker.
        bool known = false;
        double deviation = 0.0; ///< Standard deviation of the logarithm of `slowness`.
    };

    /// Speeds of a service's workers, of those that are known.
    struct Spread
    {
        std::size_t known = 0;
        double slowest = 1.0; ///< Slowness that a tenth of the workers exceeds.
        double fastest = 1.0; ///< Slowness that nine tenths of the workers exceed.
        bool differs = false; ///< See Settings::minSpread.
    };

    explicit WorkerSpeeds(const Settings &settings)
        : settings(settings)
    {}

    /// Name under which a worker's speed is kept: that of its machine, or if that is unknown, that
    /// of the process, so that a new process starts without a history.
    static std::string identityOf(const WorkerEntry &worker);

    void clear();
    void recordProgress(const RunSample &sample, TimePoint now);
    std::size_t runsRemembered() const { return this->runCount; }
    /// Whether `update` would change anything.
    bool hasNews() const { return !this->changedSteps.empty(); }
    /// Compares the runs that were reported since the last call.
    void update();
    /// Takes the service's typical speed and spread from these workers, named by `identityOf`.
    void updateSpread(std::string_view service, std::span<const std::string> workers);

    /// The worker's speed. While the service's workers do not differ, all are typical.
    Speed speedOf(std::string_view service, std::string_view worker) const;
    Speed speedOf(const WorkerEntry &worker) const;
    const std::map<std::string, Spread, std::less<>> &spreads() const { return this->services; }

    /// Text of the known speeds, for the next leader; those that differ most if not all fit in.
    /// Empty if no service's workers differ.
    std::string encode() const;
    /// Takes the speeds of an earlier leader for workers of which nothing is known. Returns false,
    /// and takes nothing, if the text can't be read.
    bool restore(std::string_view text);

private:
    struct Member
    {
        std::string worker;
        std::int32_t run = 0;
        std::optional<TimePoint> startedAt;
        TimePoint firstAt{};
        std::int32_t firstPercent = 0;
        TimePoint lastAt{};
        std::int32_t lastPercent = 0;
        std::int32_t usedProgress = 0; ///< Progress in percent points when it was last used.
    };

    struct StepRuns
    {
        std::uint64_t serial = 0;
        bool gang = false;
        std::map<std::int32_t, Member> members; ///< By the task's index.
    };

    /// Logarithm of a run time, or of its ratio to another, and its variance.
    struct Estimate
    {
        double value = 0.0;
        double variance = 0.0;
    };

    /// What the runs of one step say of a worker.
    struct Evidence
    {
        std::uint64_t step = 0; ///< The step's serial; 0 for a restored speed.
        Estimate ratio;
    };

    struct Worker
    {
        std::vector<Evidence> evidence; ///< Oldest step first.
        Estimate speed; ///< Logarithm of the slowness.
    };

    /// Run times of a step's runs on one worker.
    struct WorkerRuns
    {
        std::string_view worker;
        Estimate runTime; ///< Of the middle run.
        Estimate typicalRunTime; ///< That of a typical worker by this worker's other evidence.
    };

    StepRuns &stepOf(const RunSample &sample);
    void forgetOldSteps();
    /// Start of the work of a run.
    static TimePoint workStart(const StepRuns &step, const Member &member);
    std::optional<Estimate> runTimeOf(const StepRuns &step, const Member &member) const;
    std::vector<WorkerRuns> runsByWorker(const StepRuns &step) const;
    void recheckOldSteps();
    /// Takes the runs of the step as evidence of their workers' speeds.
    void compare(const StepRuns &step);
    void makeRoomForWorker();
    void setEvidence(std::string_view worker, const Evidence &evidence);
    bool isKnown(const Worker &worker) const;
    /// Combines the evidence of the worker, without that from one step.
    Estimate combine(const Worker &worker, std::uint64_t withoutStep) const;

    Settings settings;
    std::map<StepRef, StepRuns> steps;
    std::map<std::uint64_t, StepRef> stepOrder; ///< Steps by serial; the oldest is dropped first.
    std::uint64_t recheckedStep = 0; ///< Serial of the step that was compared again last.
    std::set<std::uint64_t> changedSteps; ///< Steps with runs that were not compared yet.
    std::size_t runCount = 0; ///< Members of all steps.
    std::uint64_t lastSerial = 0;
    std::map<std::string, Worker, std::less<>> workers;
    std::map<std::string, Spread, std::less<>> services;
    std::map<std::string, double, std::less<>> typical; ///< Logarithm, by service.
};

} // namespace Hibiscus::Tasks
