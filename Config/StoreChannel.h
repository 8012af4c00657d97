#pragma once

#include <Gateway/Store.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Hibiscus {

/// Makes store calls one at a time and notices those that get no reply in time. Several lanes of
/// one machine share a row of call ids by starting at different offsets.
class StoreLane
{
public:
    StoreLane(std::uint64_t firstCall, std::uint64_t callStep, Duration timeout)
        : nextCall(firstCall)
        , callStep(callStep)
        , timeout(timeout)
    {}

    bool isBusy() const { return this->waiting.has_value(); }
    /// The lane must not be busy.
    void start(StoreRequest request, TimePoint now, std::vector<StoreCall> &out);
    /// True if the reply is the awaited one; the lane is free then. Late replies are false.
    bool take(CallId call);
    /// True if the awaited reply is overdue; the lane is free then.
    bool takeTimeout(TimePoint now);
    /// When the awaited reply is overdue, or the end of time.
    TimePoint deadline() const;

private:
    std::uint64_t nextCall;
    std::uint64_t callStep;
    Duration timeout;
    std::optional<CallId> waiting;
    TimePoint due;
};

} // namespace Hibiscus
