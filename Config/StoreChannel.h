#pragma once

#include <Gateway/Store.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Hibiscus {

/// Makes store calls one at a time and detects calls without a timely reply. Several channels of
/// one state machine get distinct call ids by different first calls and a common step.
class StoreChannel
{
public:
    StoreChannel(std::uint64_t firstCall, std::uint64_t callStep, Duration timeout)
        : nextCall(firstCall)
        , callStep(callStep)
        , timeout(timeout)
    {}

    bool isBusy() const { return this->waiting.has_value(); }
    /// Starts a call. Allowed only while not busy.
    void start(StoreRequest request, TimePoint now, std::vector<StoreCall> &out);
    /// Returns true if `call` is the awaited call, which is then complete. Returns false for late
    /// replies.
    bool acceptReply(CallId call);
    /// Returns true if the awaited call has timed out. Its reply is no longer awaited then.
    bool expire(TimePoint now);
    /// Returns when the awaited call times out, or TimePoint::max() if there is none.
    TimePoint deadline() const;

private:
    std::uint64_t nextCall;
    std::uint64_t callStep;
    Duration timeout;
    std::optional<CallId> waiting;
    TimePoint due;
};

} // namespace Hibiscus
