#pragma once

#include <Runtime/EventLog.h>

#include <string_view>

namespace Hibiscus::Coordination {

/// Where decisions are told. The process writes them to its log; tests may keep them.
class Journal
{
public:
    virtual ~Journal() = default;
    virtual void tell(Runtime::LogKind kind, std::string_view event,
                      const Runtime::LogFields &fields, TimePoint now)
        = 0;
};

} // namespace Hibiscus::Coordination
