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

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace Hibiscus::Runtime
