#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Hibiscus::Coordination {

/// Limits how many tombstones an instance writes for callers that cancel jobs which do not exist:
/// each takes a write and room in the store. One customer can't use up what the others need.
class TombstoneBudget
{
public:
    /// Token bucket: up to `burst` tombstones at once, and `perSecond` in the long run.
    struct Limit
    {
        double burst = 0.0;
        double perSecond = 0.0;
    };

    struct Settings
    {
        Limit customer{20.0, 1.0};
        Limit instance{60.0, 4.0};
    };

    enum class Verdict : std::uint8_t {
        Granted,
        FirstRefused, ///< The first tombstone of the customer that is refused since one was
                      ///< granted.
        Refused,
    };

    explicit TombstoneBudget(const Settings &settings)
        : settings(settings)
        , instance{settings.instance.burst}
    {}

    Verdict take(const std::string &customer, TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0.0;
        TimePoint filledAt{};
        bool isRefusing = false;
    };

    static void refill(Bucket &bucket, const Limit &limit, TimePoint now);

    Settings settings;
    Bucket instance;
    std::map<std::string, Bucket> customers; ///< A customer without an entry has a full bucket.
};

} // namespace Hibiscus::Coordination
