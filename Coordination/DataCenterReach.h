#pragma once

#include <Core/Time.h>

#include <map>
#include <string>
#include <string_view>

namespace Hibiscus::Coordination {

/// Tells which data centres' workers the leader does not reach at present. A call without an answer
/// says little about one worker, but if nothing at all comes from its data centre since the call
/// was sent, new work there would wait for its lease.
class DataCenterReach
{
public:
    void clear() { this->dataCenters.clear(); }
    /// A call that was sent at `sentAt` to a worker of the data centre got no answer. Returns
    /// whether the data centre counts as out of reach from now on.
    bool noteSilence(const std::string &dataCenter, TimePoint sentAt);
    /// A worker of the data centre has answered. Returns whether it had counted as out of reach.
    bool noteAnswer(const std::string &dataCenter, TimePoint now);
    bool isOutOfReach(std::string_view dataCenter) const;

private:
    struct State
    {
        TimePoint lastAnswerAt{};
        bool isOutOfReach = false;
    };

    std::map<std::string, State, std::less<>> dataCenters;
};

} // namespace Hibiscus::Coordination
