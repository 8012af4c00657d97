#pragma once

#include <Core/Time.h>

#include <array>
#include <cstdint>

namespace Hibiscus {

/// Histogram of durations whose buckets double in width, from 1 ms to about 18 hours. Adding a
/// value does not allocate.
class Histogram
{
public:
    static constexpr std::size_t bucketCount = 27;

    void add(Duration value);

    std::uint64_t count() const { return this->total; }
    Duration sum() const { return this->sumOfValues; }
    std::uint64_t bucket(std::size_t index) const { return this->buckets[index]; }

    /// The upper bound of a bucket; Duration::max() for the last bucket, which is unbounded.
    static Duration upperBound(std::size_t index);

    /// Upper bound of the bucket that contains the given quantile (0 to 1).
    Duration quantile(double share) const;

private:
    std::array<std::uint64_t, bucketCount> buckets{};
    std::uint64_t total = 0;
    Duration sumOfValues{};
};

} // namespace Hibiscus
