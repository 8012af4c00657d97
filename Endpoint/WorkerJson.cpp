#include <Endpoint/WorkerClient.h>
#include <Gateway/JsonFields.h>

#include <array>

namespace Hibiscus {

namespace {

using Request = WorkerRequest;
using Reply = WorkerReply;

constexpr std::array<JsonName<WorkerVerb>, 10> verbNames{{
    {"acquire", WorkerVerb::Acquire},
    {"renew", WorkerVerb::Renew},
    {"release", WorkerVerb::Release},
    {"reserve", WorkerVerb::Reserve},
    {"start", WorkerVerb::Start},
    {"stop", WorkerVerb::Stop},
    {"checkpoint", WorkerVerb::Checkpoint},
    {"throttle", WorkerVerb::Throttle},
    {"acknowledge", WorkerVerb::Acknowledge},
    {"collect", WorkerVerb::Collect},
}};

constexpr std::array<JsonName<TaskState>, 7> stateNames{{
    {"reserved", TaskState::Reserved},
    {"running", TaskState::Running},
    {"done", TaskState::Done},
    {"failed", TaskState::Failed},
    {"checkpointed", TaskState::Checkpointed},
    {"stopped", TaskState::Stopped},
    {"neverStarted", TaskState::NeverStarted},
}};

// NotDelivered and NoAnswer are determined by the client and are never transmitted.
constexpr std::array<JsonName<WorkerStatus>, 6> statusNames{{
    {"ok", WorkerStatus::Ok},
    {"stale", WorkerStatus::Stale},
    {"seen", WorkerStatus::Seen},
    {"full", WorkerStatus::Full},
    {"unknownTask", WorkerStatus::UnknownTask},
    {"leaving", WorkerStatus::Leaving},
}};

constexpr std::array<JsonField<Request>, 14> requestFields{{
    {"owner", &Request::owner, true},
    {"epoch", &Request::epoch, true},
    {"task", &Request::task},
    {"slots", &Request::slots},
    {"memoryMiB", &Request::memoryMiB},
    {"kind", &Request::kind},
    {"payload", &Request::payload},
    {"job", &Request::job},
    {"declaredRunTimeUs", &Request::declaredRunTime},
    {"ownerTermUs", &Request::ownerTerm},
    {"taskTermUs", &Request::taskTerm},
    {"reserveTermUs", &Request::reserveTerm},
    {"waitUs", &Request::wait},
    {"sequence", &Request::sequence},
}};

constexpr std::array<JsonField<TaskReport>, 5> reportFields{{
    {"sequence", &TaskReport::sequence, true},
    {"task", &TaskReport::task, true},
    {"job", &TaskReport::job},
    {"slots", &TaskReport::slots},
    {"result", &TaskReport::result},
}};

constexpr std::array<JsonField<Reply>, 4> replyFields{{
    {"incarnation", &Reply::incarnation, true},
    {"epoch", &Reply::epoch, true},
    {"ownerLeaseLeftUs", &Reply::ownerLeaseLeft},
    {"load", &Reply::load},
}};

TaskReport readReport(const nlohmann::json &entry, const std::string &place, Findings &findings)
{
    TaskReport report;
    readFields<TaskReport>(entry, reportFields, report, place, findings);
    readName<TaskState>(entry, "state", stateNames, report.state, place, findings);
    return report;
}

nlohmann::json writeReport(const TaskReport &report)
{
    nlohmann::json entry = writeFields<TaskReport>(reportFields, report);
    entry["state"] = nameOf<TaskState>(stateNames, report.state);
    return entry;
}

} // namespace

std::string toJson(const WorkerRequest &request)
{
    nlohmann::json document = writeFields<Request>(requestFields, request);
    document["verb"] = nameOf<WorkerVerb>(verbNames, request.verb);
    return jsonText(document);
}

std::string toJson(const WorkerReply &reply)
{
    nlohmann::json document = writeFields<Reply>(replyFields, reply);
    document["status"] = nameOf<WorkerStatus>(statusNames, reply.status);
    document["reports"] = nlohmann::json::array();
    for (const TaskReport &report : reply.reports)
        document["reports"].push_back(writeReport(report));
    return jsonText(document);
}

tl::expected<WorkerRequest, Findings> parseWorkerRequest(std::string_view text)
{
    Findings findings;
    WorkerRequest request;
    const nlohmann::json document = parseJson(text, findings);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    readFields<Request>(document, requestFields, request, "", findings);
    readName<WorkerVerb>(document, "verb", verbNames, request.verb, "", findings);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return request;
}

tl::expected<WorkerReply, Findings> parseWorkerReply(std::string_view text)
{
    Findings findings;
    WorkerReply reply;
    const nlohmann::json document = parseJson(text, findings);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    readFields<Reply>(document, replyFields, reply, "", findings);
    readName<WorkerStatus>(document, "status", statusNames, reply.status, "", findings);
    readArray(document, "reports", reply.reports, "", findings,
              [&](const nlohmann::json &entry, const std::string &place) {
                  return readReport(entry, place, findings);
              });
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return reply;
}

} // namespace Hibiscus
