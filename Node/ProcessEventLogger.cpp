#include <Node/ProcessEventLogger.h>
#include <Runtime/Clock.h>

namespace Hibiscus::Node {

void ProcessEventLogger::logEvent(Runtime::LogKind kind, std::string_view event,
                                  const Runtime::LogFields &fields, TimePoint now)
{
    auto count = this->events.find(event);
    if (count == this->events.end())
        count = this->events.emplace(event, 0).first;
    count->second++;
    this->eventLog.write(kind, event, fields, now, Runtime::wallClockMs());
}

} // namespace Hibiscus::Node
