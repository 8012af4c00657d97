#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <pcg_random.hpp>

namespace Hibiscus {

/// Exponential backoff with jitter. Delays double from the first to the largest, and each is
/// reduced by a random part of up to one half, so that instances that failed together don't retry
/// together.
class Backoff
{
public:
    Backoff(Duration first, Duration largest, std::uint64_t seed);

    /// Returns the delay before the next try.
    Duration next();
    /// Resets the delay to the first one. Has to be called after a success.
    void reset() { this->wait = this->first; }
    /// Returns `span` reduced by a random part of up to one half.
    Duration jittered(Duration span);

private:
    Duration first;
    Duration largest;
    Duration wait;
    pcg32 random;
};

} // namespace Hibiscus
