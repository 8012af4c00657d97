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

/// What a task occupies on a worker, and what a worker offers.
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

/// An accelerator counts as this many cores where work is compared or priced.
inline constexpr double coresPerAccelerator = 8.0;

/// Cores that the resources stand for, accelerators included.
double coreEquivalents(const Resources &resources);

/// One step of a job: `count` alike tasks.
struct Step
{
    std::int32_t count = 1;
    Resources need; ///< Of one task.
    Duration estimate{}; ///< Rough run time of one task, as the caller states it.
    std::vector<std::int32_t> after; ///< Earlier steps that must be done first.
    bool gang = false; ///< The tasks run together or not at all.
    bool sameRack = false; ///< The tasks are slow unless all run in one rack.
    bool checkpoints = false;
    bool perpetual = false; ///< Runs until the job is cancelled.
    bool bestEffortCpu = false; ///< Uses leftover processor time only.
    /// Image that the tasks run; those of one image load a worker alike. Empty: not told.
    std::string image;
    /// Perpetual tasks that serve users: the tail of their response times stays below. Zero: none.
    Duration responseTarget{};
    /// Of a perpetual step: so many tasks may be away at once through stops of ours.
    std::int32_t maxUnavailable = 0;
    std::string requiredLabel; ///< Empty: any worker.
    std::string dataRack; ///< Rack that holds the data; slow elsewhere. Empty: none.
    std::int32_t maxPerWorker = 0; ///< 0: no limit.

    /// What one task takes of a worker's room; leftover processor time is nobody's.
    Resources allocatedResources() const;
};

/// A queue whose tasks may run only on workers that a placement service names.
struct PermitTerms
{
    Duration base{}; ///< Time that one question takes ...
    Duration perWorker{}; ///< ... and this much more for each worker that it names.
    Duration validity{}; ///< Of a permit.

    bool required() const { return this->validity > Duration{}; }
    bool operator==(const PermitTerms &) const = default;
};

/// When a repeated job's occurrences are due.
struct Repetition
{
    std::int32_t count = 0; ///< 0: the job runs once, at once.
    UnixMs first = 0;
    Duration interval{};
};

/// A job as its caller submitted it and the system accepted it. Never changes.
struct Job
{
    std::string id;
    std::string queue;
    std::string service; ///< The workers that run it.
    std::string customer;
    std::int32_t priority = 0; ///< 0 goes first.
    std::int32_t maxAttempts = 1; ///< Failed runs of one task or gang until the job has failed.
    double stretch = 1.0; ///< Objective: this many times the longest chain of estimates ...
    Duration targetLatency{}; ///< ... and this much more.
    UnixMs acceptedAt = 0;
    std::string payload; ///< Handed to each task unread.
    std::vector<Step> steps;
    Repetition repetition;
    PermitTerms permits;

    std::int32_t occurrences() const
    {
        return this->repetition.count > 0 ? this->repetition.count : 1;
    }
    /// When the occurrence may start.
    UnixMs dueAt(std::int32_t occurrence) const;
    /// Sum of the estimates along the longest chain of steps.
    Duration criticalPath() const;
    /// The same with other times than the estimates.
    Duration criticalPath(const std::function<Duration(const Step &)> &timeOf) const;
    /// From the start that is due to the end that is owed, if the longest chain takes so long.
    Duration objective(Duration chain) const;
    /// Accelerators of the step that needs most.
    std::int64_t maxStepAccelerators() const;
    /// Core-seconds of one occurrence by the caller's estimates, accelerators included.
    double estimatedCoreSeconds() const;
};

enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// In one word, for logs and metrics.
std::string_view nameOf(JobState state);

/// Whether nothing of the job starts any more.
constexpr bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

/// Names one task of one job.
struct TaskRef
{
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    auto operator<=>(const TaskRef &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Names one step of one occurrence of a job.
struct StepRef
{
    std::string job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;

    auto operator<=>(const StepRef &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace Hibiscus::Tasks
