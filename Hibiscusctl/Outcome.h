#pragma once

#include <Hibiscusctl/ApiRequest.h>
#include <Hibiscusctl/Command.h>

namespace Hibiscus {

/// What a command ends with after this reply.
ExitCode exitCodeOf(CommandKind kind, const ApiReply &reply);

/// True if the same call may be answered otherwise later: no answer came, or nobody could give one.
bool isWorthRetrying(const ApiReply &reply);

/// True if the reply states that the submitted work did not run.
bool saysNotRun(const ApiReply &reply);

/// True if the reply is about a job that goes on.
bool isUnfinishedJob(const ApiReply &reply);

} // namespace Hibiscus
