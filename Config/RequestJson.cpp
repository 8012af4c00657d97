#include <Config/RequestJson.h>

#include <Config/JsonSchema.h>
#include <Config/Names.h>
#include <Config/Schemas.h>

namespace Hibiscus {

using nlohmann::json;

namespace {

constexpr std::size_t maxAnswerBytes = std::size_t(8) * 1024 * 1024;

/// Checks that adjacency is requested only with accelerators, which the schema can't express.
void checkGang(const JobSpec &spec, Findings &findings)
{
    if (spec.accelerators == 0 && spec.adjacency != Adjacency::Any)
        findings.add("/adjacency", "requires accelerators");
}

SubmitBody readBody(const json &value, Findings &findings)
{
    SubmitBody body;
    JobSpec &spec = body.spec;
    spec.requestId = value.at("requestId").get<std::string>();
    checkName(spec.requestId, "/requestId", findings);
    spec.kind = value.at("kind").get<std::string>();
    checkName(spec.kind, "/kind", findings);
    spec.urgency = *urgencyClassFromString(value.value("urgency", toString(spec.urgency)));
    spec.idempotent = value.value("idempotent", spec.idempotent);
    spec.accelerators = value.value("accelerators", spec.accelerators);
    spec.adjacency = *adjacencyFromString(value.value("adjacency", toString(spec.adjacency)));
    spec.memoryMiB = value.value("memoryMiB", spec.memoryMiB);
    spec.declaredRunTime = milliseconds(value.value("declaredRunTimeMs", std::int64_t(0)));
    if (value.contains("deadlineMs"))
        spec.deadline = milliseconds(value["deadlineMs"].get<std::int64_t>());
    spec.payload = value.value("payload", "");
    if (spec.payload.size() > maxPayloadBytes)
        findings.add("/payload", "is longer than 65536 bytes");
    body.wait = value.value("wait", false);
    body.retry = value.value("retry", false);
    checkGang(spec, findings);
    return body;
}

} // namespace

tl::expected<SubmitBody, Findings> parseSubmitBody(std::string_view text)
{
    static const JsonSchema schema(requestSchema);
    const auto document = schema.parse(text, maxRequestBytes);
    if (!document)
        return tl::unexpected(document.error());
    Findings findings;
    SubmitBody body = readBody(*document, findings);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return body;
}

std::string toJson(const SubmitBody &body)
{
    const JobSpec &spec = body.spec;
    json value{{"requestId", spec.requestId},
               {"kind", spec.kind},
               {"urgency", toString(spec.urgency)},
               {"idempotent", spec.idempotent},
               {"accelerators", spec.accelerators},
               {"adjacency", toString(spec.adjacency)},
               {"memoryMiB", spec.memoryMiB},
               {"payload", spec.payload},
               {"wait", body.wait},
               {"retry", body.retry}};
    if (spec.declaredRunTime > Duration::zero())
        value["declaredRunTimeMs"] = toMs(spec.declaredRunTime);
    if (spec.deadline)
        value["deadlineMs"] = toMs(*spec.deadline);
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toJson(const AnswerBody &body)
{
    json value{{"requestId", body.requestId}, {"status", toString(body.answer.status)}};
    if (!body.answer.result.empty())
        value["result"] = body.answer.result;
    if (!body.answer.reason.empty())
        value["reason"] = body.answer.reason;
    if (body.answer.retryAfter)
        value["retryAfterMs"] = toMs(*body.answer.retryAfter);
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::expected<AnswerBody, Findings> parseAnswerBody(std::string_view text)
{
    static const JsonSchema schema(answerSchema);
    const auto document = schema.parse(text, maxAnswerBytes);
    if (!document)
        return tl::unexpected(document.error());
    const json &value = *document;
    Findings findings;
    AnswerBody body;
    body.requestId = value.at("requestId").get<std::string>();
    checkName(body.requestId, "/requestId", findings);
    const auto status = jobStatusFromString(value.at("status").get<std::string>());
    if (!status)
        findings.add("/status", "is an unknown status");
    body.answer.status = status.value_or(JobStatus::Unknown);
    body.answer.result = value.value("result", "");
    body.answer.reason = value.value("reason", "");
    if (value.contains("retryAfterMs"))
        body.answer.retryAfter = milliseconds(value["retryAfterMs"].get<std::int64_t>());
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return body;
}

} // namespace Hibiscus
