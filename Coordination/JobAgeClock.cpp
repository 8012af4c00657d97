#include <Coordination/JobAgeClock.h>

namespace Hibiscus::Coordination {

using Tasks::UnixMs;

void JobAgeClock::begin(UnixMs timeOfDay, TimePoint now)
{
    this->timeOfDayAtBegin = timeOfDay;
    this->begunAt = now;
}

UnixMs JobAgeClock::at(TimePoint now) const
{
    return this->timeOfDayAtBegin + toMs(now - this->begunAt);
}

} // namespace Hibiscus::Coordination
