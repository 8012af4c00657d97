#pragma once

#include <Hibiscusctl/ApiRequest.h>
#include <Hibiscusctl/Command.h>

namespace Hibiscus {

/// Returns the exit code of a command that received this reply.
ExitCode exitCodeOf(CommandKind kind, const ApiReply &reply);

/// True if a retry of the same call may get another answer: no answer came, or the instance was
/// unavailable.
bool isWorthRetrying(const ApiReply &reply);

/// True if the reply states that the submitted work did not run.
bool reportsNotRun(const ApiReply &reply);

/// True if the reply is about a job that has not ended.
bool isUnfinishedJob(const ApiReply &reply);

} // namespace Hibiscus
