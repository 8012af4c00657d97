#pragma once

#include <Tasks/TaskJob.h>

#include <map>
#include <string>
#include <string_view>

namespace Hibiscus::Tasks {

/// Learns how long tasks of each queue really run. Callers' estimates may be a tenth or a multiple
/// of the truth, so that a job would seem late or worthless long before it is, or long after.
class RunTimeEstimator
{
public:
    void clear() { this->queues.clear(); }
    /// A task of the queue ran to its end in this time.
    void recordRun(std::string_view queue, Duration runTime);

    /// What a task that is estimated so will take: midway, as a ratio, between the estimate and
    /// what tasks of the queue took.
    Duration expectedRunTime(std::string_view queue, Duration estimate) const;
    /// Sum of the expected times along the longest chain of the job's steps.
    Duration expectedCriticalPath(const Job &job) const;

private:
    struct Record
    {
        std::int64_t count = 0;
        double meanSeconds = 0.0;
    };

    std::map<std::string, Record, std::less<>> queues;
};

} // namespace Hibiscus::Tasks
