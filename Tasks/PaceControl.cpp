#include <Tasks/PaceControl.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus::Tasks {

namespace {

constexpr std::int32_t fullPace = 100;

} // namespace

std::int32_t PaceControl::next(std::int32_t percent, double load) const
{
    if (load <= 0.0)
        return fullPace;
    if (load >= this->settings.backOffAt) {
        const auto slower
            = static_cast<std::int32_t>(std::lround(percent * this->settings.backOffFactor));
        return slower < this->settings.slowest ? 0 : slower;
    }
    if (load < this->settings.riseBelow)
        return std::min(fullPace, percent + this->settings.rise);
    return percent;
}

} // namespace Hibiscus::Tasks
