#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// What ran of one job on one worker.
struct JobRunCounters
{
    std::uint32_t starts = 0; ///< Of all its tasks together.
    std::uint32_t runningTasks = 0;
    std::uint32_t runningSlots = 0;
    std::uint32_t mostTasks = 0; ///< That ran at the same time.
    std::uint32_t mostSlots = 0; ///< That ran at the same time.
};

/// Counts what a worker started, so that a doubled run or a part of a gang shows from outside.
class RunLog
{
public:
    explicit RunLog(std::string worker, std::string incarnation);

    /// The name under which runs of one job are counted: "key" of a job text that is a JSON
    /// object, or else the whole text.
    static std::string jobKey(std::string_view jobText);

    void recordStart(std::string_view task, std::string_view jobText, std::uint32_t slots,
                     TimePoint now);
    void recordEnd(std::string_view task, std::string_view jobText, std::uint32_t slots,
                   std::string_view state, TimePoint now);

    /// Lines of JSON since the last call, one for each start and each end.
    std::vector<std::string> takeLines();

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
