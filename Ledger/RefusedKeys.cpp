#include <Ledger/RefusedKeys.h>

namespace Hibiscus {

namespace {

constexpr std::size_t maxKeys = 4096;

} // namespace

void RefusedKeys::add(const std::string &key, const JobAnswer &answer, TimePoint now,
                      Duration validFor)
{
    this->dropExpired(now);
    const Refusal refusal{.answer = answer, .until = now + validFor};
    if (!this->refusals.emplace(key, refusal).second)
        return;
    this->order.push_back(key);
    if (this->order.size() > maxKeys)
        this->dropOldest();
}

const JobAnswer *RefusedKeys::find(const std::string &key, TimePoint now)
{
    this->dropExpired(now);
    const auto found = this->refusals.find(key);
    return found == this->refusals.end() ? nullptr : &found->second.answer;
}

void RefusedKeys::clear()
{
    this->refusals.clear();
    this->order.clear();
}

void RefusedKeys::dropExpired(TimePoint now)
{
    // All refusals are valid for the same time, so the oldest expire first.
    while (!this->order.empty() && this->refusals.at(this->order.front()).until <= now)
        this->dropOldest();
}

void RefusedKeys::dropOldest()
{
    this->refusals.erase(this->order.front());
    this->order.pop_front();
}

} // namespace Hibiscus
