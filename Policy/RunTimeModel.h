#pragma once

#include <Policy/IdMap.h>
#include <Policy/Scheduler.h>

#include <vector>

namespace Hibiscus {

/// Corrects declared run times by what was seen of the same customer's kind of work. The ratio of
/// seen to declared is averaged on a logarithmic scale, where twice and half weigh the same.
class RunTimeModel
{
public:
    struct Settings
    {
        Duration defaultRunTime = seconds(60); ///< For a kind never seen that declares nothing.
        std::size_t maxKinds = 100000; ///< Learned; kinds are named by callers without a bound.
        double minNewestWeight = 1.0 / 16; ///< Of the newest run once enough were seen.
    };

    explicit RunTimeModel(const Settings &settings)
        : settings(settings)
    {}

    Duration expected(const QueuedJob &job) const;
    /// A run of the job came to its own end after `seen`.
    void learn(const QueuedJob &job, Duration observed);

private:
    struct Record
    {
        double logRatio = 0; ///< Mean of ln(seen / declared).
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
