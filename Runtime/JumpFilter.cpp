#include <Runtime/JumpFilter.h>

#include <cstdlib>

namespace Hibiscus::Runtime {

Duration JumpFilter::distance(std::int64_t leftMs, std::int64_t rightMs) const
{
    return milliseconds(std::abs(leftMs - rightMs));
}

std::int64_t JumpFilter::filter(std::int64_t wallMs, TimePoint now)
{
    const std::int64_t steadyMs = toMs(now.time_since_epoch());
    const std::int64_t offset = wallMs - steadyMs;
    this->jump.reset();
    if (!this->offsetMs || this->distance(offset, *this->offsetMs) <= this->settings.tolerance) {
        this->offsetMs = offset;
        this->jumpedOffsetMs.reset();
        return wallMs;
    }
    const bool isNew = !this->jumpedOffsetMs
        || this->distance(offset, *this->jumpedOffsetMs) > this->settings.tolerance;
    if (isNew) {
        this->jump = milliseconds(offset - *this->offsetMs);
        this->jumpedAt = now;
    }
    this->jumpedOffsetMs = offset;
    if (now >= this->jumpedAt + this->settings.confirmation) {
        this->offsetMs = offset;
        this->jumpedOffsetMs.reset();
    }
    return steadyMs + *this->offsetMs;
}

} // namespace Hibiscus::Runtime
