#include <Coordination/JobSightings.h>

#include <algorithm>

namespace Hibiscus::Coordination {

using Tasks::TermTimeMs;

namespace {

/// Keeps the stored record below 1 KiB.
constexpr std::size_t maxSightings = 32;
/// The term time stands still while there is no leader, so a job may be older than it tells.
constexpr Duration uncountedTime = seconds(15);

} // namespace

/// The older half is thinned out, so that what is old is known less precisely.
void JobSightings::add(const JobSighting &sighting)
{
    this->sightings.push_back(sighting);
    if (this->sightings.size() <= maxSightings)
        return;
    std::vector<JobSighting> kept;
    for (std::size_t i = 0; i < this->sightings.size(); i++) {
        if (i >= maxSightings / 2 || i % 2 == 0)
            kept.push_back(this->sightings[i]);
    }
    this->sightings = std::move(kept);
}

AgeBounds JobSightings::ageOf(std::int64_t revision, TermTimeMs now) const
{
    const auto seen = std::partition_point(
        this->sightings.begin(), this->sightings.end(),
        [revision](const JobSighting &sighting) { return sighting.revision < revision; });
    const auto ageAt = [now](const JobSighting &sighting) {
        return milliseconds(std::max<TermTimeMs>(0, now - sighting.termTime));
    };
    AgeBounds bounds;
    if (seen != this->sightings.end())
        bounds.least = ageAt(*seen);
    bounds.likely = bounds.least;
    if (seen != this->sightings.begin()) {
        bounds.likely = ageAt(*std::prev(seen));
        bounds.most = bounds.likely + uncountedTime;
    }
    return bounds;
}

} // namespace Hibiscus::Coordination
