#include <Tasks/WaitForecast.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace Hibiscus::Tasks {

namespace {

/// A job that ends after this many times its objective is of no use to its caller.
constexpr int usefulObjectives = 3;
constexpr Duration maxRetryAfter = seconds(30);

/// Additional wait of a refused job, at most a quarter of `wait`. Jobs that are refused together
/// would return together otherwise and meet the same shortage. It is derived from the job's id, so
/// that each instance gives the same answer.
Duration spreadOf(std::string_view id, Duration wait)
{
    constexpr std::uint32_t fnvPrime = 16'777'619;
    constexpr std::uint32_t parts = 1024;
    std::uint32_t hash = 0;
    for (const char c : id)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    hash ^= hash >> 16;
    return wait / 4 * static_cast<Duration::rep>(hash % parts) / parts;
}

} // namespace

Duration WaitForecast::expectedWait(const ServiceLoad &load, std::int32_t priority) const
{
    if (load.accelerators <= 0.0)
        return {};
    constexpr auto last = static_cast<std::int32_t>(ServiceLoad::priorities) - 1;
    const auto own = static_cast<std::size_t>(std::clamp(priority, 0, last));
    double ahead = 0.0;
    for (std::size_t i = 0; i <= own; i++)
        ahead += load.waiting[i] + load.running[i];
    const std::chrono::duration<double> wait(ahead / load.accelerators);
    const auto rounded = std::chrono::duration_cast<Duration>(wait);
    if (rounded < this->settings.minReportedWait)
        return {};
    return rounded / this->settings.granularity * this->settings.granularity;
}

AdmissionDecision decideAdmission(const Job &job, const QueueForecast &forecast)
{
    const bool scheduled = job.repetition.count > 0;
    const bool perpetual = std::any_of(job.steps.begin(), job.steps.end(),
                                       [](const Step &step) { return step.perpetual; });
    if (scheduled || perpetual || forecast.wait == Duration{})
        return {};
    const Duration chain = std::max(job.criticalPath(), forecast.typicalCriticalPath);
    const Duration objective = job.objective(chain);
    const Duration maxWait = usefulObjectives * objective - chain;
    if (forecast.wait <= maxWait)
        return {};
    // After this time the backlog that exceeds the job's slack has been processed.
    const Duration excess = forecast.wait - std::max(Duration{}, objective - chain);
    const Duration wait = std::clamp<Duration>(excess, seconds(1), maxRetryAfter);
    return {false, wait + spreadOf(job.id, wait)};
}

} // namespace Hibiscus::Tasks
