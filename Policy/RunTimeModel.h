#pragma once

#include <Policy/IdMap.h>
#include <Policy/Scheduler.h>

#include <vector>

namespace Hibiscus {

/// Corrects declared run times by the run times observed for the same customer and kind of work.
/// Averages the logarithm of the ratio of observed to declared time, so that a factor of two and a
/// factor of one half weigh the same.
class RunTimeModel
{
public:
    struct Settings
    {
        Duration defaultRunTime = seconds(60); ///< For an unknown kind without a declared run time.
        /// Bound of the kinds learned, because callers may name any number of kinds.
        std::size_t maxKinds = 100000;
        /// Weight of the newest run once enough runs were observed.
        double minNewestWeight = 1.0 / 16;
    };

    explicit RunTimeModel(const Settings &settings)
        : settings(settings)
    {}

    Duration expected(const QueuedJob &job) const;
    /// Records that the job finished by itself after `observed`.
    void learn(const QueuedJob &job, Duration observed);

private:
    struct Record
    {
        double logRatio = 0; ///< Mean of ln(observed / declared).
        double meanSeconds = 0;
        std::uint32_t ratios = 0;
        std::uint32_t runs = 0;
    };

    static std::uint64_t key(const QueuedJob &job);

    Settings settings;
    IdMap index;
    std::vector<Record> records;
};

} // namespace Hibiscus
