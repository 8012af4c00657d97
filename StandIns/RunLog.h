#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// Counts of the task runs of one job on one worker.
struct JobRunCounters
{
    std::uint32_t starts = 0; ///< Starts of all tasks of the job.
    std::uint32_t runningTasks = 0;
    std::uint32_t runningSlots = 0;
    std::uint32_t mostTasks = 0; ///< Maximum of runningTasks so far.
    std::uint32_t mostSlots = 0; ///< Maximum of runningSlots so far.
};

/// Records the task runs of a worker, so that a test can detect a task that ran twice or a gang
/// that ran only in part.
class RunLog
{
public:
    explicit RunLog(std::string worker, std::string incarnation);

    /// Key under which the runs of a job are counted: the member "key" if the job text is a JSON
    /// object that has it as a string, otherwise the whole text.
    static std::string jobKey(std::string_view jobText);

    void recordStart(std::string_view task, std::string_view jobText, std::uint32_t slots,
                     TimePoint now);
    void recordEnd(std::string_view task, std::string_view jobText, std::uint32_t slots,
                   std::string_view state, TimePoint now);

    /// Returns one line of JSON for each start and each end since the last call.
    std::vector<std::string> takeLines();

    /// Formats all counts as JSON:
    /// {"worker", "incarnation", "jobs": {job: {...}}, "tasks": {task: starts}}.
    std::string toJson() const;

    const std::map<std::string, JobRunCounters, std::less<>> &jobCounters() const
    {
        return this->countersByJob;
    }

private:
    void addLine(std::string_view event, std::string_view task, std::string_view job,
                 std::uint32_t slots, TimePoint now);

    std::string worker;
    std::string incarnation;
    std::map<std::string, JobRunCounters, std::less<>> countersByJob;
    std::map<std::string, std::uint32_t, std::less<>> startsByTask;
    std::vector<std::string> lines;
};

} // namespace Hibiscus
