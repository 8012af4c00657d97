#include <Coordination/TombstoneBudget.h>

#include <algorithm>
#include <utility>

namespace Hibiscus::Coordination {

void TombstoneBudget::refill(Bucket &bucket, const Limit &limit, TimePoint now)
{
    const double added = toSeconds(now - bucket.filledAt) * limit.perSecond;
    bucket.tokens = std::min(limit.burst, bucket.tokens + added);
    bucket.filledAt = now;
}

TombstoneBudget::Verdict TombstoneBudget::take(const std::string &customer, TimePoint now)
{
    refill(this->instance, this->settings.instance, now);
    for (auto &[name, bucket] : this->customers)
        refill(bucket, this->settings.customer, now);
    // Customers come and go with the configuration, so a full bucket is not kept.
    std::erase_if(this->customers, [this](const auto &entry) {
        return entry.second.tokens >= this->settings.customer.burst;
    });
    Bucket &own = this->customers.try_emplace(customer, Bucket{this->settings.customer.burst, now})
                      .first->second;
    if (own.tokens < 1.0 || this->instance.tokens < 1.0) {
        const bool isFirst = !std::exchange(own.isRefusing, true);
        return isFirst ? Verdict::FirstRefused : Verdict::Refused;
    }
    own.tokens -= 1.0;
    this->instance.tokens -= 1.0;
    own.isRefusing = false;
    return Verdict::Granted;
}

} // namespace Hibiscus::Coordination
