#pragma once

#include <Coordination/EventLogger.h>

#include <map>
#include <string>

namespace Hibiscus::Node {

/// Writes events to the process's log and counts them by event name.
class ProcessEventLogger final : public Coordination::EventLogger
{
public:
    explicit ProcessEventLogger(const Runtime::EventLog::Settings &settings)
        : eventLog(settings)
    {}

    void logEvent(Runtime::LogKind kind, std::string_view event, const Runtime::LogFields &fields,
                  TimePoint now) override;

    const std::map<std::string, std::uint64_t, std::less<>> &counts() const { return this->events; }
    std::uint64_t droppedLines() const { return this->eventLog.droppedLines(); }

private:
    Runtime::EventLog eventLog;
    std::map<std::string, std::uint64_t, std::less<>> events;
};

} // namespace Hibiscus::Node
