#include <Tasks/PaceController.h>

#include <algorithm>
#include <cmath>

namespace Hibiscus::Tasks {

namespace {

constexpr std::int32_t fullPace = 100;

} // namespace

std::int32_t PaceController::nextPercent(std::int32_t percent, double load) const
{
    if (load <= 0.0)
        return fullPace;
    if (load >= this->settings.backOffThreshold) {
        const auto reduced
            = static_cast<std::int32_t>(std::lround(percent * this->settings.backOffFactor));
        return reduced < this->settings.minPercent ? 0 : reduced;
    }
    if (load < this->settings.increaseThreshold)
        return std::min(fullPace, percent + this->settings.increasePercent);
    return percent;
}

} // namespace Hibiscus::Tasks
