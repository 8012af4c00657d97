#include <StandIns/StandInLiveList.h>

namespace Hibiscus {

namespace {

template <class Descriptions>
bool markLeavingIn(Descriptions &descriptions, std::string_view name)
{
    bool found = false;
    for (auto &description : descriptions) {
        if (description.name != name)
            continue;
        description.leaving = true;
        found = true;
    }
    return found;
}

} // namespace

void StandInLiveList::set(const LiveList &list, TimePoint now)
{
    const bool isFirst = this->versions.empty();
    this->versions.push_back({isFirst ? now : now + this->lag, list});
}

bool StandInLiveList::markLeaving(std::string_view name, TimePoint now)
{
    if (this->versions.empty())
        return false;
    LiveList list = this->versions.back().list;
    const bool instance = markLeavingIn(list.instances, name);
    const bool worker = markLeavingIn(list.workers, name);
    if (!instance && !worker)
        return false;
    this->set(list, now);
    return true;
}

LiveList StandInLiveList::visibleAt(TimePoint now)
{
    if (this->versions.empty())
        return {};
    while (this->versions.size() > 1 && this->versions[1].visibleFrom <= now)
        this->versions.pop_front();
    return this->versions.front().list;
}

} // namespace Hibiscus
