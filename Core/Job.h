#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Hibiscus {

/// How soon a request has to be served; lower values go first.
enum class UrgencyClass : std::uint8_t {
    Urgent, ///< A person waits for the answer.
    Standard, ///< Wanted before its deadline, minutes to hours away.
    Background, ///< Large planning work that fills what is left.
};
inline constexpr std::size_t urgencyClassCount = 3;

/// How near one another the accelerators of a gang have to be.
enum class Adjacency : std::uint8_t {
    Any,
    Worker, ///< All on one worker.
    Rack, ///< All in one rack.
    NeighboringRacks, ///< In racks whose numbers follow one another.
};

/// One request as its caller stated it. Declared sizes and times may be far off.
struct JobSpec
{
    std::string requestId; ///< Chosen by the caller; unique within its customer.
    std::string customer;
    std::string caller; ///< The key's name; fairness inside a customer is between callers.
    std::string kind; ///< What the work is called, e.g. "recalculation".
    UrgencyClass urgency = UrgencyClass::Standard;
    bool idempotent = true;
    bool durable = false; ///< Accepted only once it is recorded in the ledger.
    std::uint16_t accelerators = 0; ///< 0 asks for one slot and no accelerator.
    Adjacency adjacency = Adjacency::Any;
    std::uint32_t memoryMiB = 0; ///< For each worker that takes part.
    Duration declaredRunTime{};
    std::optional<Duration> deadline; ///< From acceptance to the finished answer.
    std::string payload;

    bool operator==(const JobSpec &) const = default;
};

/// How a request ended, or that it has not.
enum class JobStatus : std::uint8_t {
    Unknown, ///< No instance knows such a request.
    Accepted, ///< Queued or being started.
    Running,
    Done, ///< Ran once to its end; the answer is whole.
    Failed, ///< Ran and ended with an error; it is not run again.
    NotRun, ///< Refused or cancelled before any of it ran.
    Cancelled, ///< Stopped by its caller after it had started.
    OutcomeUnknown, ///< It may have run; nobody can tell any more.
};

inline constexpr std::size_t jobStatusCount = 8;

/// True if the status never changes again.
bool isFinal(JobStatus status);

/// The whole answer to one request.
struct JobAnswer
{
    JobStatus status = JobStatus::Unknown;
    std::string result; ///< The worker's answer, only with Done and Failed.
    std::string reason; ///< For a person; set with every status but Done and Running.
    std::optional<Duration> retryAfter; ///< Only with NotRun, when a later try may be accepted.

    bool operator==(const JobAnswer &) const = default;
};

const char *toString(UrgencyClass urgency);
const char *toString(Adjacency adjacency);
const char *toString(JobStatus status);
std::optional<UrgencyClass> urgencyClassFromString(std::string_view text);
std::optional<Adjacency> adjacencyFromString(std::string_view text);
std::optional<JobStatus> jobStatusFromString(std::string_view text);

/// The name under which a request is known everywhere: customer, '/', request id.
std::string jobKey(std::string_view customer, std::string_view requestId);

} // namespace Hibiscus
