#pragma once

#include <Coordination/JobSightings.h>
#include <Tasks/TaskJob.h>

namespace Hibiscus::Coordination {

/// The leader's clock for the ages of jobs: the time of day at the beginning of the term, and the
/// steady time since. A jump of a time of day during the term makes no job look older or younger.
class JobAgeClock
{
public:
    void begin(Tasks::UnixMs timeOfDay, TimePoint now);
    Tasks::UnixMs at(TimePoint now) const;

    /// Age of a job. `stated` is its age by the times of day of the instance that accepted it and
    /// of the leader. If it is out of bounds, one of these is off.
    static Duration ageOf(Duration stated, const AgeBounds &bounds)
    {
        return bounds.contains(stated) ? stated : bounds.likely;
    }

private:
    Tasks::UnixMs timeOfDayAtBegin = 0;
    TimePoint begunAt{};
};

} // namespace Hibiscus::Coordination
