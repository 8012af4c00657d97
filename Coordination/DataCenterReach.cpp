#include <Coordination/DataCenterReach.h>

#include <utility>

namespace Hibiscus::Coordination {

bool DataCenterReach::noteSilence(const std::string &dataCenter, TimePoint sentAt)
{
    // Workers of an unknown data centre say nothing about each other.
    if (dataCenter.empty())
        return false;
    State &state = this->dataCenters[dataCenter];
    if (state.lastAnswerAt >= sentAt)
        return false;
    return !std::exchange(state.isOutOfReach, true);
}

bool DataCenterReach::noteAnswer(const std::string &dataCenter, TimePoint now)
{
    State &state = this->dataCenters[dataCenter];
    state.lastAnswerAt = now;
    return std::exchange(state.isOutOfReach, false);
}

bool DataCenterReach::isOutOfReach(std::string_view dataCenter) const
{
    const auto found = this->dataCenters.find(dataCenter);
    return found != this->dataCenters.end() && found->second.isOutOfReach;
}

} // namespace Hibiscus::Coordination
