#include <Runtime/Clock.h>

#include <chrono>
#include <cstdlib>
#include <fstream>

// Takes the place of Runtime/WallClock.cpp in the soak's instances, so that their time of day can
// be wrong while all other clocks are right. The soak writes the error in milliseconds into a file,
// which is read for each reading of the clock.
namespace Hibiscus::Runtime {

namespace {

constexpr const char *fileVariable = "HIBISCUS_SOAK_CLOCK_ERROR";

std::int64_t readErrorMs()
{
    const char *file = std::getenv(fileVariable);
    std::int64_t errorMs = 0;
    if (file)
        std::ifstream(file) >> errorMs;
    return errorMs;
}

} // namespace

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()
        + readErrorMs();
}

} // namespace Hibiscus::Runtime
