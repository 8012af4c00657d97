#pragma once

#include <Tasks/TaskJob.h>

#include <map>
#include <string>
#include <string_view>

namespace Hibiscus::Tasks {

/// Estimates run times of tasks from the measured run times of each queue. Callers' estimates may
/// be a tenth or a multiple of the real run time, so that a job would count as late, or as too late
/// to be useful, long before or long after it is.
class RunTimeEstimator
{
public:
    void clear() { this->queues.clear(); }
    /// Records the run time of a task of the queue that ran to its end.
    void recordRun(std::string_view queue, Duration runTime);

    /// Expected run time of a task with the caller's estimate: the geometric mean of the estimate
    /// and the queue's measured mean.
    Duration expectedRunTime(std::string_view queue, Duration estimate) const;
    /// Length of the job's critical path by expected run times.
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
