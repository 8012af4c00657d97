#pragma once

#include <Runtime/EventLog.h>

#include <string_view>

namespace Hibiscus::Coordination {

/// Receives the structured log events of the coordination code. A process writes them to its log,
/// tests record them.
class EventLogger
{
public:
    virtual ~EventLogger() = default;
    virtual void logEvent(Runtime::LogKind kind, std::string_view event,
                          const Runtime::LogFields &fields, TimePoint now)
        = 0;
};

} // namespace Hibiscus::Coordination
