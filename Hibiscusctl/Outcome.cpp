#include <Hibiscusctl/Outcome.h>

#include <Core/Job.h>

#include <nlohmann/json.hpp>

namespace Hibiscus {
namespace {

using nlohmann::json;

constexpr int acceptedStatus = 202;
constexpr int firstErrorStatus = 300;
constexpr int notFoundStatus = 404;
constexpr int conflictStatus = 409;
constexpr int firstServerErrorStatus = 500;
constexpr int gatewayTimeoutStatus = 504;
constexpr int unavailableStatus = 503;

std::string textAt(const ApiReply &reply, const char *field)
{
    const json body = json::parse(reply.body, nullptr, false);
    if (!body.is_object() || !body.contains(field) || !body[field].is_string())
        return {};
    return body[field].get<std::string>();
}

std::optional<JobStatus> jobStatusOf(const ApiReply &reply)
{
    return jobStatusFromString(textAt(reply, "status"));
}

bool isJobCommand(CommandKind kind)
{
    return kind == CommandKind::Submit || kind == CommandKind::Status || kind == CommandKind::Wait
        || kind == CommandKind::Cancel;
}

ExitCode exitCodeOf(CommandKind kind, JobStatus status)
{
    const bool isCancel = kind == CommandKind::Cancel;
    switch (status) {
    case JobStatus::Accepted:
    case JobStatus::Running:
    case JobStatus::Done:
        return ExitCode::Success;
    case JobStatus::NotRun:
        return isCancel ? ExitCode::Success : ExitCode::Refused;
    case JobStatus::Cancelled:
        return isCancel ? ExitCode::Success : ExitCode::Failed;
    case JobStatus::Failed:
        return ExitCode::Failed;
    case JobStatus::Unknown:
    case JobStatus::OutcomeUnknown:
        break;
    }
    return ExitCode::Unavailable;
}

ExitCode exitCodeOfHttp(int status)
{
    if (status == 0 || status >= firstServerErrorStatus || status == notFoundStatus)
        return ExitCode::Unavailable;
    if (status == conflictStatus)
        return ExitCode::Conflict;
    return status < firstErrorStatus ? ExitCode::Success : ExitCode::Refused;
}

} // namespace

ExitCode exitCodeOf(CommandKind kind, const ApiReply &reply)
{
    const std::optional<JobStatus> status = jobStatusOf(reply);
    if (isJobCommand(kind) && status)
        return exitCodeOf(kind, *status);
    return exitCodeOfHttp(reply.status);
}

bool isWorthRetrying(const ApiReply &reply)
{
    return reply.status == 0 || reply.status == unavailableStatus
        || reply.status == gatewayTimeoutStatus;
}

bool reportsNotRun(const ApiReply &reply)
{
    return jobStatusOf(reply) == JobStatus::NotRun;
}

bool isUnfinishedJob(const ApiReply &reply)
{
    const std::optional<JobStatus> status = jobStatusOf(reply);
    return reply.status == acceptedStatus
        && (status == JobStatus::Accepted || status == JobStatus::Running);
}

} // namespace Hibiscus
