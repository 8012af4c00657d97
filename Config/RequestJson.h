#pragma once

#include <Core/Findings.h>
#include <Core/Job.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

/// Bounds of one submission.
inline constexpr std::size_t maxPayloadBytes = std::size_t(64) * 1024; ///< Bytes.
inline constexpr std::uint16_t maxGangAccelerators = 1024; ///< Accelerators.
/// A payload may take six bytes of JSON for each of its own.
inline constexpr std::size_t maxRequestBytes = 6 * maxPayloadBytes + 4096;

/// A caller's submission. `spec.customer`, `spec.caller` and `spec.durable` are left for the one
/// who knows the caller.
struct SubmitBody
{
    JobSpec spec;
    bool wait = false; ///< The caller holds the connection until the job has ended.
    /// An earlier call with this request id got no answer, so a refusal of this one alone can't
    /// say that the work did not run.
    bool retry = false;
};

/// Reads a request body; all findings come back together, with their JSON pointers.
tl::expected<SubmitBody, Findings> parseSubmitBody(std::string_view text);
std::string toJson(const SubmitBody &body);

/// An answer as its caller gets it.
struct AnswerBody
{
    std::string requestId;
    JobAnswer answer;

    bool operator==(const AnswerBody &) const = default;
};

/// Bytes of a result that are not UTF-8 are replaced, as JSON can't hold them.
std::string toJson(const AnswerBody &body);
tl::expected<AnswerBody, Findings> parseAnswerBody(std::string_view text);

} // namespace Hibiscus
