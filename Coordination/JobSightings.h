#pragma once

#include <Core/Time.h>
#include <Tasks/TaskProgress.h>

#include <cstdint>
#include <span>
#include <vector>

namespace Hibiscus::Coordination {

/// Bounds of the time since a job was accepted.
struct AgeBounds
{
    Duration least{};
    Duration likely{}; ///< At least `least`.
    Duration most = maxDuration;

    bool contains(Duration age) const { return this->least <= age && age <= this->most; }
};

/// At this term time, a leader had seen all jobs that were stored up to this revision.
struct JobSighting
{
    std::int64_t revision = 0;
    Tasks::TermTimeMs termTime = 0;

    bool operator==(const JobSighting &) const = default;
};

/// What leaders have seen of the store's revisions, by the term time. It tells a leader that takes
/// over how old the jobs are, whatever the times of day of the instances that accepted them.
class JobSightings
{
public:
    void clear() { this->sightings.clear(); }
    /// Adds a sighting that is later than those before.
    void add(const JobSighting &sighting);
    std::span<const JobSighting> all() const { return this->sightings; }

    /// Bounds of the age of a job that was stored at `revision`, at the term time `now`.
    AgeBounds ageOf(std::int64_t revision, Tasks::TermTimeMs now) const;

private:
    std::vector<JobSighting> sightings; ///< In the order of time.
};

} // namespace Hibiscus::Coordination
