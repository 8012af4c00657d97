#pragma once

#include <Coordination/Journal.h>

#include <map>
#include <string>

namespace Hibiscus::Node {

/// Writes what is told to the process's log and counts it by event.
class ProcessJournal final : public Coordination::Journal
{
public:
    explicit ProcessJournal(const Runtime::EventLog::Settings &settings)
        : log(settings)
    {}

    void tell(Runtime::LogKind kind, std::string_view event, const Runtime::LogFields &fields,
              TimePoint now) override;

    const std::map<std::string, std::uint64_t, std::less<>> &counts() const { return this->events; }
    std::uint64_t droppedLines() const { return this->log.droppedLines(); }

private:
    Runtime::EventLog log;
    std::map<std::string, std::uint64_t, std::less<>> events;
};

} // namespace Hibiscus::Node
