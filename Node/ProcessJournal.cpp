#include <Node/ProcessJournal.h>
#include <Runtime/Clock.h>

namespace Hibiscus::Node {

void ProcessJournal::tell(Runtime::LogKind kind, std::string_view event,
                          const Runtime::LogFields &fields, TimePoint now)
{
    auto count = this->events.find(event);
    if (count == this->events.end())
        count = this->events.emplace(event, 0).first;
    count->second++;
    this->log.write(kind, event, fields, now, Runtime::wallClockMs());
}

} // namespace Hibiscus::Node
