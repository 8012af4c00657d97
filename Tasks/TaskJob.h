#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Tasks {

/// Wall-clock time in milliseconds since 1970.
using UnixMs = std::int64_t;

/// Resources that a task needs, or that a worker offers.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    bool fitsInto(const Resources &room) const;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    Resources operator*(std::int64_t factor) const;
};

/// One accelerator counts as this many cores when resources or amounts of work are compared.
inline constexpr double coresPerAccelerator = 8.0;

/// Cores plus accelerators converted to cores.
double coreEquivalents(const Resources &resources);

/// One step of a job: `count` identical tasks.
struct Step
{
    std::int32_t count = 1;
    Resources need; ///< Resources of one task.
    Duration estimate{}; ///< Caller's rough estimate of the run time of one task.
    std::vector<std::int32_t> after; ///< Numbers of earlier steps that must be done first.
    bool gang = false; ///< The tasks run together or not at all.
    bool sameRack = false; ///< The tasks are slow unless all of them run in one rack.
    bool checkpoints = false; ///< The tasks save checkpoints and can resume from them.
    bool perpetual = false; ///< Runs until the job is cancelled.
    bool bestEffortCpu = false; ///< Uses only processor time that other tasks leave idle.
    /// Image that the tasks run; tasks of the same image load a worker alike. Empty: unknown.
    std::string image;
    /// Target of perpetual tasks that serve users: their tail response time stays below this.
    /// Zero: no target.
    Duration responseTarget{};
    /// Number of tasks of a perpetual step that this system may make unavailable at once by
    /// stopping them.
    std::int32_t maxUnavailable = 0;
    std::string requiredLabel; ///< Label that the worker has to have; empty: any worker.
    std::string dataRack; ///< Rack of the data; tasks are slower in other racks. Empty: none.
    std::int32_t maxPerWorker = 0; ///< Tasks of the step on one worker; 0: no limit.

    /// Resources that one task occupies on a worker. Tasks with best-effort CPU occupy no cores.
    Resources allocatedResources() const;
};

/// Terms of the placement service for a queue whose tasks may run only on workers for which the
/// service gave a permit.
struct PermitTerms
{
    Duration base{}; ///< Fixed time that one request to the service takes.
    Duration perWorker{}; ///< Additional time for each worker named in the request.
    Duration validity{}; ///< Validity of a permit; zero: the queue needs no permits.

    bool required() const { return this->validity > Duration{}; }
    bool operator==(const PermitTerms &) const = default;
};

/// Schedule of a repeated job's occurrences.
struct Repetition
{
    std::int32_t count = 0; ///< Number of occurrences; 0: the job runs once, as soon as possible.
    UnixMs first = 0;
    Duration interval{};
};

/// Most tasks of one job, with all its occurrences. The leader keeps the progress of each of them
/// in memory.
inline constexpr std::int64_t maxTasksPerJob = 100'000;

/// A job as submitted by its caller and accepted by the system. Immutable after acceptance.
struct Job
{
    std::string id;
    std::string queue;
    std::string service; ///< Service (pool of workers) that runs the job.
    std::string customer;
    std::int32_t priority = 0; ///< 0 is the most urgent.
    std::int32_t maxAttempts = 1; ///< Failed runs of one task or gang after which the job fails.
    double stretch = 1.0; ///< Factor on the critical path in the job's objective.
    Duration targetLatency{}; ///< Constant part of the job's objective.
    UnixMs acceptedAt = 0;
    std::string payload; ///< Opaque; passed to each task.
    std::vector<Step> steps;
    Repetition repetition;
    PermitTerms permits;

    std::int32_t occurrences() const
    {
        return this->repetition.count > 0 ? this->repetition.count : 1;
    }
    /// Tasks of all steps in all occurrences.
    std::int64_t taskCount() const;
    /// Earliest start time of the occurrence.
    UnixMs dueAt(std::int32_t occurrence) const;
    /// Length of the critical path: the sum of estimates along the longest chain of dependent
    /// steps.
    Duration criticalPath() const;
    /// Length of the critical path with run times from `runTimeOf` in place of the estimates.
    Duration criticalPath(const std::function<Duration(const Step &)> &runTimeOf) const;
    /// Time from the due start to the latest end in time, for a critical path of length `chain`.
    Duration objective(Duration chain) const;
    /// Accelerators needed by all tasks of the step that needs the most.
    std::int64_t maxStepAccelerators() const;
    /// Core-seconds of one occurrence by the caller's estimates, with accelerators converted to
    /// cores.
    double estimatedCoreSeconds() const;
};

enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// Name of the state in logs and metrics.
std::string_view nameOf(JobState state);

/// Whether the state is final: no task of the job starts any more.
constexpr bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

/// Identifies one task of one job.
struct TaskRef
{
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    auto operator<=>(const TaskRef &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Identifies one step of one occurrence of a job.
struct StepRef
{
    std::string job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;

    auto operator<=>(const StepRef &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace Hibiscus::Tasks
