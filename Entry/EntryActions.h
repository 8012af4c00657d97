#pragma once

#include <Config/ConfigReplica.h>
#include <Config/InstanceSettings.h>
#include <Core/Ids.h>
#include <Core/Job.h>
#include <Endpoint/WorkerMessage.h>
#include <Gateway/Store.h>
#include <Wire/PeerMessage.h>

#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// One log line. `component` is the fixed prefix of the part that speaks.
struct LogLine
{
    LogLevel level = LogLevel::Info;
    const char *component = "";
    std::string text; ///< A short sentence.
    std::string key; ///< The job it is about, or empty.
};

/// Answer to a caller's call.
struct CallerAnswer
{
    CallId call;
    std::string requestId;
    JobAnswer answer;
};

/// Everything one entry instance wants done, in order within each list.
struct EntryActions
{
    std::vector<StoreCall> storeCalls;
    std::vector<WorkerCall> workerCalls;
    std::vector<PeerSend> sends; ///< Never to this instance itself once a machine call returns.
    std::vector<CallerAnswer> callerAnswers;
    std::vector<ConfigActions::Answer> changeAnswers;
    std::optional<std::int64_t> watchFrom;
    bool configurationChanged = false;
    std::vector<LogLine> logs;

    void log(LogLevel level, const char *component, std::string text, std::string key = {});
};

} // namespace Hibiscus
