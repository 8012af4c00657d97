#pragma once

#include <Core/Time.h>

#include <array>
#include <cstdint>

namespace Hibiscus {

/// Counts durations in buckets that double in width, from 1 ms to about 18 hours.
/// Use one for each customer and class; adding costs no allocation.
class Histogram
{
public:
    static constexpr std::size_t bucketCount = 27;

    void add(Duration value);

    std::uint64_t count() const { return this->total; }
    Duration sum() const { return this->sumOfValues; }
    std::uint64_t bucket(std::size_t index) const { return this->buckets[index]; }

    /// The upper bound of a bucket; the last one has none and returns Duration::max().
    static Duration upperBound(std::size_t index);

    /// Upper bound of the bucket that holds the given share (0 to 1) of all values.
    Duration quantile(double share) const;

private:
    std::array<std::uint64_t, bucketCount> buckets{};
    std::uint64_t total = 0;
    Duration sumOfValues{};
};

} // namespace Hibiscus
