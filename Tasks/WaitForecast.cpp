#include <Tasks/WaitForecast.h>

#include <algorithm>

namespace Hibiscus::Tasks {

namespace {

/// A job that ends after this many times its objective is of no use to its caller.
constexpr int usefulObjectives = 3;
constexpr Duration maxRetryAfter = seconds(30);

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
    return {false, std::clamp<Duration>(excess, seconds(1), maxRetryAfter)};
}

} // namespace Hibiscus::Tasks
