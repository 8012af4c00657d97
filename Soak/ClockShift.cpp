#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

// Preloaded into the soak's instances, so that their time of day can be wrong while all other
// clocks are right. The soak writes the error in milliseconds, as a 64-bit number, into the file
// that the environment variable names; the instance sees each change at once.
namespace {

constexpr const char *fileVariable = "HIBISCUS_SOAK_CLOCK_ERROR";

/// Null if there is no file.
const volatile std::int64_t *mapError()
{
    const char *file = std::getenv(fileVariable);
    const int descriptor = file ? open(file, O_RDONLY | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return nullptr;
    void *page = mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, descriptor, 0);
    close(descriptor);
    return page == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t *>(page);
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    static const volatile std::int64_t *const error = mapError();
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t nsPerMs = 1'000'000;
    constexpr std::int64_t nsPerSecond = msPerSecond * nsPerMs;
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (result != 0 || clock != CLOCK_REALTIME || !error)
        return result;
    const std::int64_t errorMs = *error;
    const std::int64_t ns = time->tv_nsec + errorMs % msPerSecond * nsPerMs;
    const std::int64_t carry = ns >= nsPerSecond ? 1 : ns < 0 ? -1 : 0;
    time->tv_sec += errorMs / msPerSecond + carry;
    time->tv_nsec = ns - carry * nsPerSecond;
    return result;
}
