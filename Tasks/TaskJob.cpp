#include <Tasks/TaskJob.h>

#include <algorithm>

namespace Hibiscus::Tasks {

namespace {

constexpr double milliCoresPerCore = 1000.0;
/// Multiples of an objective stay within the range of Duration.
constexpr Duration maxObjective = 100 * maxDuration;

} // namespace

bool Resources::fitsInto(const Resources &room) const
{
    return this->milliCores <= room.milliCores && this->memoryMiB <= room.memoryMiB
        && this->accelerators <= room.accelerators;
}

Resources &Resources::operator+=(const Resources &other)
{
    this->milliCores += other.milliCores;
    this->memoryMiB += other.memoryMiB;
    this->accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    this->milliCores -= other.milliCores;
    this->memoryMiB -= other.memoryMiB;
    this->accelerators -= other.accelerators;
    return *this;
}

Resources Resources::operator*(std::int64_t factor) const
{
    return {this->milliCores * factor, this->memoryMiB * factor, this->accelerators * factor};
}

double coreEquivalents(const Resources &resources)
{
    const double cores = static_cast<double>(resources.milliCores) / milliCoresPerCore;
    return cores + coresPerAccelerator * static_cast<double>(resources.accelerators);
}

Resources Step::allocatedResources() const
{
    Resources room = this->need;
    if (this->bestEffortCpu)
        room.milliCores = 0;
    return room;
}

std::string_view nameOf(JobState state)
{
    static constexpr std::string_view names[]
        = {"queued", "running", "completed", "failed", "cancelled"};
    return names[static_cast<std::size_t>(state)];
}

std::int64_t Job::taskCount() const
{
    std::int64_t tasks = 0;
    for (const Step &step : this->steps)
        tasks += step.count;
    return tasks * this->occurrences();
}

UnixMs Job::dueAt(std::int32_t occurrence) const
{
    if (this->repetition.count == 0)
        return this->acceptedAt;
    return this->repetition.first + occurrence * toMs(this->repetition.interval);
}

Duration Job::criticalPath() const
{
    return this->criticalPath([](const Step &step) { return step.estimate; });
}

Duration Job::criticalPath(const std::function<Duration(const Step &)> &runTimeOf) const
{
    std::vector<Duration> ends(this->steps.size());
    for (std::size_t i = 0; i < this->steps.size(); i++) {
        Duration begin{};
        for (const std::int32_t earlier : this->steps[i].after)
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        ends[i] = begin + runTimeOf(this->steps[i]);
    }
    return ends.empty() ? Duration{} : *std::max_element(ends.begin(), ends.end());
}

Duration Job::objective(Duration chain) const
{
    const std::chrono::duration<double> stretched
        = std::min<std::chrono::duration<double>>(this->stretch * chain, maxObjective);
    return std::chrono::duration_cast<Duration>(stretched) + this->targetLatency;
}

std::int64_t Job::maxStepAccelerators() const
{
    std::int64_t accelerators = 0;
    for (const Step &step : this->steps)
        accelerators = std::max(accelerators, step.need.accelerators * step.count);
    return accelerators;
}

double Job::estimatedCoreSeconds() const
{
    double sum = 0.0;
    for (const Step &step : this->steps) {
        const double runTime = toSeconds(step.estimate);
        sum += coreEquivalents(step.need) * static_cast<double>(step.count) * runTime;
    }
    return sum;
}

} // namespace Hibiscus::Tasks
