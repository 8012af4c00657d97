#include <Core/Histogram.h>

#include <cmath>

namespace Hibiscus {

void Histogram::add(Duration value)
{
    std::size_t index = 0;
    while (value > upperBound(index))
        ++index;
    ++this->buckets[index];
    ++this->total;
    this->sumOfValues += value;
}

Duration Histogram::upperBound(std::size_t index)
{
    if (index + 1 >= bucketCount)
        return Duration::max();
    return milliseconds(1) * (std::int64_t(1) << index);
}

Duration Histogram::quantile(double share) const
{
    const auto wanted
        = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(this->total)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        seen += this->buckets[i];
        if (seen >= wanted)
            return upperBound(i);
    }
    return Duration::max();
}

} // namespace Hibiscus
