#pragma once

#include <Gateway/Store.h>

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace Hibiscus {

/// Makes store calls one at a time, drops replies that come too late, and spaces retries by a
/// jittered, bounded backoff.
class StoreCaller
{
public:
    struct Settings
    {
        Duration timeout{}; ///< A call without a reply counts as NoAnswer after it.
        std::uint64_t firstCall = 1; ///< Call ids are firstCall, firstCall + callStep, ...
        std::uint64_t callStep = 1;
        std::uint64_t seed = 0; ///< Of the jitter.
    };

    explicit StoreCaller(const Settings &settings);

    bool isBusy() const { return this->awaited.has_value(); }
    void call(StoreRequest request, TimePoint now, std::vector<StoreCall> &out);
    /// True if this call was awaited; it no longer is.
    bool accept(CallId call);
    /// True if the awaited call has timed out; it is no longer awaited.
    bool expire(TimePoint now);
    /// Drops the awaited call.
    void abandon() { this->awaited.reset(); }
    /// When the awaited call times out.
    TimePoint timesOutAt() const { return this->deadline; }

    /// Notes a failure; the next try should not be made before the returned time.
    TimePoint backOff(TimePoint now);
    void noteSuccess() { this->failures = 0; }
    /// Failures in a row.
    std::uint32_t failureCount() const { return this->failures; }

    std::uint64_t writeCount() const { return this->writes; }
    std::uint64_t readCount() const { return this->reads; }

private:
    Settings settings;
    std::minstd_rand random;
    std::optional<CallId> awaited;
    TimePoint deadline{};
    std::uint64_t nextCall;
    std::uint32_t failures = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
};

} // namespace Hibiscus
