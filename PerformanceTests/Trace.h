#pragma once

#include <Policy/Scheduler.h>

#include <pcg_random.hpp>

#include <string>
#include <vector>

namespace Hibiscus {

/// One submission of a trace, with the time it truly runs.
struct Arrival
{
    TimePoint when;
    QueuedJob spec;
    Duration runTime{};
    bool isFlood = false;
    bool isLargeCaller = false; ///< By the caller that asks for most of its customer's work.
};

/// One kind of work of a user.
struct WorkKind
{
    std::string name;
    UrgencyClass urgency = UrgencyClass::Standard;
    double perSecond = 0;
    Duration shortest{};
    Duration longest{};
    std::vector<std::uint16_t> sizes; ///< Accelerators, each as likely as the others.
};

/// What one user's customers ask for.
struct Workload
{
    std::string name;
    std::vector<double> customerParts; ///< Of all submissions, by customer; they sum to one.
    std::vector<WorkKind> kinds;
};

/// Recalculations with a caller waiting, soil samples, nightly planning; customers of one size.
Workload htnsWorkload();
/// Captions, notices and minutes, photo pages and bulletins; a few large customers.
Workload cerclinfoWorkload();

inline constexpr TimePoint traceBegin{seconds(1000)};
inline constexpr Duration traceSpan = seconds(3600); ///< Of the submissions.
inline constexpr std::uint32_t traceWorkers = 50;
inline constexpr std::uint16_t slotsPerWorker = 8;
inline constexpr std::uint32_t workersPerRack = 6;
inline constexpr std::uint32_t traceSlots = traceWorkers * slotsPerWorker;

/// The submissions of a workload in the order of time; the same seed gives the same trace. With
/// `flood`, the last customer also asks for ten times the fleet in that class.
std::vector<Arrival> makeTrace(const Workload &workload, std::optional<UrgencyClass> flood,
                               std::uint64_t seed);

} // namespace Hibiscus
