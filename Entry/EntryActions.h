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

/// One log line. `component` is the fixed prefix of the component that writes it.
struct LogLine
{
    LogLevel level = LogLevel::Info;
    const char *component = "";
    std::string text; ///< A short sentence.
    std::string key; ///< Key of the job that the line is about, or empty.
};

/// Answer to a call of a caller.
struct CallerAnswer
{
    CallId call;
    std::string requestId;
    JobAnswer answer;
};

/// Actions that an entry machine requests from its adapters, in order within each list.
struct EntryActions
{
    std::vector<StoreCall> storeCalls;
    std::vector<WorkerCall> workerCalls;
    /// Holds no message to this instance once a call of the machine returns.
    std::vector<PeerSend> sends;
    std::vector<CallerAnswer> callerAnswers;
    std::vector<ConfigActions::Answer> changeAnswers;
    std::optional<std::int64_t> watchFrom;
    bool configurationChanged = false;
    std::vector<LogLine> logs;

    void log(LogLevel level, const char *component, std::string text, std::string key = {});
};

} // namespace Hibiscus
