#include <Tasks/WorkerLink.h>

#include <algorithm>

#include <array>

namespace Hibiscus::Tasks {

bool hasLabel(std::span<const std::string> labels, std::string_view label)
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::string_view nameOf(EndCause cause)
{
    static constexpr std::array<std::string_view, 6> names{
        "done", "failed", "stopped", "lease lapsed", "gang broken", "gang incomplete",
    };
    return names.at(static_cast<std::size_t>(cause));
}

std::string_view nameOf(WorkerOutcome outcome)
{
    static constexpr std::array<std::string_view, 10> names{
        "done",    "fenced",  "superseded", "lease expired",     "not permitted",
        "no room", "invalid", "unhealthy",  "other incarnation", "unknown",
    };
    return names.at(static_cast<std::size_t>(outcome));
}

std::string textOf(const TaskRef &task)
{
    return std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

std::string textOf(const RunRef &run)
{
    return textOf(run.task) + "#" + std::to_string(run.run);
}

} // namespace Hibiscus::Tasks
