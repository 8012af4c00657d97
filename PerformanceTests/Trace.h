#pragma once

#include <Policy/Scheduler.h>

#include <pcg_random.hpp>

#include <string>
#include <vector>

namespace Hibiscus {

/// One submission of a trace, with the true run time of the job.
struct Arrival
{
    TimePoint when;
    QueuedJob spec;
    Duration runTime{};
    bool isFlood = false;
    /// Submitted by the caller that submits most of its customer's work.
    bool isLargeCaller = false;
};

/// One kind of work in a workload.
struct WorkKind
{
    std::string name;
    UrgencyClass urgency = UrgencyClass::Standard;
    double perSecond = 0;
    Duration shortest{};
    Duration longest{};
    std::vector<std::uint16_t> sizes; ///< Accelerators per job, uniformly distributed.
};

/// The work that the customers of one user submit.
struct Workload
{
    std::string name;
    /// Share of all submissions by customer; the shares sum to one.
    std::vector<double> customerShares;
    std::vector<WorkKind> kinds;
};

/// Recalculations with a waiting caller, soil samples and nightly planning, by customers of equal
/// size.
Workload htnsWorkload();
/// Captions, notices and minutes, photo pages and bulletins, by a few large customers.
Workload cerclinfoWorkload();

inline constexpr TimePoint traceBegin{seconds(1000)};
inline constexpr Duration traceSpan = seconds(3600); ///< Period in which jobs are submitted.
inline constexpr std::uint32_t traceWorkers = 50;
inline constexpr std::uint16_t slotsPerWorker = 8;
inline constexpr std::uint32_t workersPerRack = 6;
inline constexpr std::uint32_t traceSlots = traceWorkers * slotsPerWorker;

/// The submissions of a workload in time order; the same seed gives the same trace. With `flood`,
/// the last customer additionally submits ten times the fleet's slots as jobs of that class.
std::vector<Arrival> makeTrace(const Workload &workload, std::optional<UrgencyClass> flood,
                               std::uint64_t seed);

} // namespace Hibiscus
