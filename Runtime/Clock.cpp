#include <Runtime/Clock.h>

#include <ctime>

namespace Hibiscus::Runtime {

TimePoint monotonicNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot
        = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

} // namespace Hibiscus::Runtime
