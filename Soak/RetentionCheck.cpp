#include <Coordination/StoreKeys.h>
#include <Soak/RetentionCheck.h>
#include <Tasks/JobRecord.h>

namespace Hibiscus::Soak {

namespace {

/// Longest time between two observations.
constexpr Duration precision = milliseconds(100);

} // namespace

void RetentionCheck::observe(TimePoint now)
{
    const auto records = this->store.itemsWithPrefix(Coordination::StoreKeys::progress);
    for (const auto &[key, item] : records) {
        const tl::expected<Tasks::JobState, std::string> state
            = Tasks::decodeProgressState(item.value);
        if (state && Tasks::isFinal(*state))
            this->finalSince.try_emplace(key, now);
    }
    for (auto known = this->finalSince.begin(); known != this->finalSince.end();) {
        if (records.contains(known->first)) {
            ++known;
            continue;
        }
        this->forgotten++;
        if (now - known->second + precision < this->retention)
            this->violations.push_back(known->first + " was forgotten after "
                                       + std::to_string(toMs(now - known->second)) + " ms");
        known = this->finalSince.erase(known);
    }
}

} // namespace Hibiscus::Soak
