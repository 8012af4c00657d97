#pragma once

#include <Core/Findings.h>
#include <Core/Job.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

/// Limits of one submission.
inline constexpr std::size_t maxPayloadBytes = std::size_t(64) * 1024;
inline constexpr std::uint16_t maxGangAccelerators = 1024;
/// JSON escaping may expand each byte of a payload to six bytes.
inline constexpr std::size_t maxRequestBytes = 6 * maxPayloadBytes + 4096;

/// A caller's submission. The text does not set `spec.customer`, `spec.caller` and `spec.durable`;
/// they are filled in after the caller is authenticated.
struct SubmitBody
{
    JobSpec spec;
    bool wait = false; ///< The caller keeps the connection open until the job has ended.
    /// An earlier call with this request id got no answer and may have started the job, so refusing
    /// this call does not prove that the job did not run.
    bool retry = false;
};

/// Parses a request body. Returns all findings together, with their JSON pointers.
tl::expected<SubmitBody, Findings> parseSubmitBody(std::string_view text);
std::string toJson(const SubmitBody &body);

/// An answer as it is sent to the caller.
struct AnswerBody
{
    std::string requestId;
    JobAnswer answer;

    bool operator==(const AnswerBody &) const = default;
};

/// Writes an answer as JSON text. Bytes of a result that are not UTF-8 are replaced, because JSON
/// can't represent them.
std::string toJson(const AnswerBody &body);
tl::expected<AnswerBody, Findings> parseAnswerBody(std::string_view text);

} // namespace Hibiscus
