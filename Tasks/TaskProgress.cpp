#include <Tasks/TaskProgress.h>

#include <algorithm>
#include <cassert>

namespace Hibiscus::Tasks {

JobProgress::JobProgress(const Job &job)
{
    for (const Step &step : job.steps) {
        this->stepOffsets.push_back(this->occurrenceSize);
        this->stepSizes.push_back(step.count);
        this->occurrenceSize += static_cast<std::size_t>(step.count);
    }
    this->tasks.resize(this->occurrenceSize * static_cast<std::size_t>(job.occurrences()));
}

std::size_t JobProgress::offsetOf(const TaskRef &ref) const
{
    assert(this->contains(ref));
    const std::size_t step = static_cast<std::size_t>(ref.step);
    return static_cast<std::size_t>(ref.occurrence) * this->occurrenceSize + this->stepOffsets[step]
        + static_cast<std::size_t>(ref.index);
}

bool JobProgress::contains(const TaskRef &ref) const
{
    if (ref.occurrence < 0 || ref.step < 0 || ref.index < 0)
        return false;
    if (static_cast<std::size_t>(ref.step) >= this->stepSizes.size())
        return false;
    if (ref.index >= this->stepSizes[static_cast<std::size_t>(ref.step)])
        return false;
    const std::size_t occurrences = this->tasks.size() / this->occurrenceSize;
    return static_cast<std::size_t>(ref.occurrence) < occurrences;
}

TaskRef JobProgress::refAt(std::size_t offset) const
{
    const std::size_t inOccurrence = offset % this->occurrenceSize;
    const auto next
        = std::upper_bound(this->stepOffsets.begin(), this->stepOffsets.end(), inOccurrence);
    const auto step = next - this->stepOffsets.begin() - 1;
    TaskRef ref;
    ref.occurrence = static_cast<std::int32_t>(offset / this->occurrenceSize);
    ref.step = static_cast<std::int32_t>(step);
    ref.index = static_cast<std::int32_t>(inOccurrence
                                          - this->stepOffsets[static_cast<std::size_t>(step)]);
    return ref;
}

bool JobProgress::isStepDone(std::int32_t occurrence, std::int32_t step) const
{
    const auto first
        = this->tasks.begin() + static_cast<std::ptrdiff_t>(this->offsetOf({occurrence, step, 0}));
    return std::all_of(first, first + this->stepSizes[static_cast<std::size_t>(step)],
                       [](const TaskProgress &task) { return task.state == TaskState::Done; });
}

bool JobProgress::areAllTasksDone() const
{
    return std::all_of(this->tasks.begin(), this->tasks.end(),
                       [](const TaskProgress &task) { return task.state == TaskState::Done; });
}

bool JobProgress::hasTaskOnWorker() const
{
    return std::any_of(this->tasks.begin(), this->tasks.end(),
                       [](const TaskProgress &task) { return task.isOnWorker(); });
}

} // namespace Hibiscus::Tasks
