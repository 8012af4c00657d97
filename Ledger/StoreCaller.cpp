#include <Ledger/StoreCaller.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Hibiscus {

namespace {

constexpr Duration shortestBackoff = milliseconds(50);
constexpr Duration longestBackoff = seconds(2);
constexpr std::uint32_t maxDoublings = 8;

} // namespace

StoreCaller::StoreCaller(const Settings &settings)
    : settings(settings)
    , random(static_cast<std::minstd_rand::result_type>(settings.seed % 2147483646U) + 1)
    , nextCall(settings.firstCall)
{}

void StoreCaller::call(StoreRequest request, TimePoint now, std::vector<StoreCall> &out)
{
    assert(!this->awaited);
    const bool reads = request.verb == StoreVerb::Get || request.verb == StoreVerb::List;
    ++(reads ? this->reads : this->writes);
    const CallId id{this->nextCall};
    this->nextCall += this->settings.callStep;
    this->awaited = id;
    this->deadline = now + this->settings.timeout;
    out.push_back({.call = id, .request = std::move(request)});
}

bool StoreCaller::accept(CallId call)
{
    if (this->awaited != call)
        return false;
    this->awaited.reset();
    return true;
}

bool StoreCaller::expire(TimePoint now)
{
    if (!this->awaited || now < this->deadline)
        return false;
    this->awaited.reset();
    return true;
}

TimePoint StoreCaller::backOff(TimePoint now)
{
    const std::uint32_t doublings = std::min(this->failures, maxDoublings);
    ++this->failures;
    const Duration longest = std::min(shortestBackoff * (1U << doublings), longestBackoff);
    // Jitter from half to the whole backoff keeps instances that failed together from retrying at
    // the same time.
    const Duration half = longest / 2;
    return now + half + Duration(this->random() % static_cast<std::uint64_t>(half.count() + 1));
}

} // namespace Hibiscus
