#pragma once

#include <Gateway/Store.h>

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace Hibiscus {

/// Makes store calls one at a time, drops replies that arrive after the timeout, and delays retries
/// with bounded exponential backoff and jitter.
class StoreCaller
{
public:
    struct Settings
    {
        Duration timeout{}; ///< Calls without a reply expire after it.
        std::uint64_t firstCall = 1; ///< Call ids are firstCall, firstCall + callStep, ...
        std::uint64_t callStep = 1;
        std::uint64_t seed = 0; ///< Seed of the jitter.
    };

    explicit StoreCaller(const Settings &settings);

    bool isBusy() const { return this->awaited.has_value(); }
    void call(StoreRequest request, TimePoint now, std::vector<StoreCall> &out);
    /// Handles a reply. Returns true if `call` was the awaited one, which is then complete.
    bool accept(CallId call);
    /// Returns true if the awaited call has timed out. Its reply is no longer awaited then.
    bool expire(TimePoint now);
    /// Stops waiting for the reply to the awaited call.
    void abandon() { this->awaited.reset(); }
    /// Returns when the awaited call times out.
    TimePoint timesOutAt() const { return this->deadline; }

    /// Counts a failure. Returns the earliest time for the next try.
    TimePoint backOff(TimePoint now);
    void noteSuccess() { this->failures = 0; }
    /// Returns the number of consecutive failures.
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
