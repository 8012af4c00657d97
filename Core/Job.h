#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Hibiscus {

/// Urgency of a request; lower values are served first.
enum class UrgencyClass : std::uint8_t {
    Urgent, ///< A person waits for the answer.
    Standard, ///< Due at a deadline minutes to hours away.
    Background, ///< Large planning work that uses the remaining capacity.
};
inline constexpr std::size_t urgencyClassCount = 3;

/// Required proximity of the accelerators of a gang.
enum class Adjacency : std::uint8_t {
    Any,
    Worker, ///< All on one worker.
    Rack, ///< All in one rack.
    NeighboringRacks, ///< In racks with consecutive numbers.
};

/// One request as its caller declared it. Declared sizes and times may be far off.
struct JobSpec
{
    std::string requestId; ///< Chosen by the caller; unique within its customer.
    std::string customer;
    /// Name of the caller's key; work inside a customer is shared fairly between callers.
    std::string caller;
    std::string kind; ///< Name of the kind of work, e.g. "recalculation".
    UrgencyClass urgency = UrgencyClass::Standard;
    bool idempotent = true;
    bool durable = false; ///< Accepted only once it is recorded in the ledger.
    std::uint16_t accelerators = 0; ///< 0 requests one slot without an accelerator.
    Adjacency adjacency = Adjacency::Any;
    std::uint32_t memoryMiB = 0; ///< Per worker of the placement.
    Duration declaredRunTime{};
    /// Relative to acceptance; the answer has to be complete by then.
    std::optional<Duration> deadline;
    std::string payload;

    bool operator==(const JobSpec &) const = default;
};

/// Status of a request.
enum class JobStatus : std::uint8_t {
    Unknown, ///< No instance knows the request.
    Accepted, ///< Queued or being started.
    Running,
    Done, ///< Ran to completion once; the answer is complete.
    Failed, ///< Ran and ended with an error; not retried.
    NotRun, ///< Refused or cancelled before it started.
    Cancelled, ///< Cancelled by its caller after it had started.
    OutcomeUnknown, ///< The request may have run; its outcome is permanently unknown.
};

inline constexpr std::size_t jobStatusCount = 8;

/// True if the status never changes again.
bool isFinal(JobStatus status);

/// The complete answer to one request.
struct JobAnswer
{
    JobStatus status = JobStatus::Unknown;
    std::string result; ///< The worker's answer, only with Done and Failed.
    std::string reason; ///< Human-readable; set with every status but Done and Running.
    std::optional<Duration> retryAfter; ///< Only with NotRun, when a later try may be accepted.

    bool operator==(const JobAnswer &) const = default;
};

const char *toString(UrgencyClass urgency);
const char *toString(Adjacency adjacency);
const char *toString(JobStatus status);
std::optional<UrgencyClass> urgencyClassFromString(std::string_view text);
std::optional<Adjacency> adjacencyFromString(std::string_view text);
std::optional<JobStatus> jobStatusFromString(std::string_view text);

/// Key of a request in all instances and in the store: customer, '/', request id.
std::string jobKey(std::string_view customer, std::string_view requestId);

} // namespace Hibiscus
