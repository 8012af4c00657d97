#include <Config/Backoff.h>

#include <algorithm>

namespace Hibiscus {

Backoff::Backoff(Duration first, Duration largest, std::uint64_t seed)
    : first(first)
    , largest(largest)
    , wait(first)
    , random(seed)
{}

Duration Backoff::next()
{
    const Duration present = this->wait;
    this->wait = std::min(this->largest, 2 * present);
    return this->jittered(present);
}

Duration Backoff::jittered(Duration span)
{
    const auto half = static_cast<std::uint32_t>(span.count() / 2);
    return span - Duration(half == 0 ? 0 : this->random(half));
}

} // namespace Hibiscus
