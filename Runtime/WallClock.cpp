#include <Runtime/Clock.h>

#include <chrono>

namespace Hibiscus::Runtime {

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace Hibiscus::Runtime
