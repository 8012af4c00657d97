#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <pcg_random.hpp>

namespace Hibiscus {

/// Waits that double from the first to the largest, each cut by a random part of up to half of
/// it, so that instances that failed together do not try again together.
class Backoff
{
public:
    Backoff(Duration first, Duration largest, std::uint64_t seed);

    /// The wait before the next try.
    Duration next();
    /// Call after a success.
    void reset() { this->wait = this->first; }
    /// `span` cut by a random part of up to half of it.
    Duration jittered(Duration span);

private:
    Duration first;
    Duration largest;
    Duration wait;
    pcg32 random;
};

} // namespace Hibiscus
