#pragma once

#include <Gateway/LiveList.h>

#include <deque>
#include <string_view>

namespace Hibiscus {

/// Simulates the platform's list of live and leaving instances and workers. A change becomes
/// visible after a lag.
class StandInLiveList
{
public:
    explicit StandInLiveList(Duration lag)
        : lag(lag)
    {}

    void set(const LiveList &list, TimePoint now);

    /// Marks the instances and workers of that name as leaving. Returns false if there are none.
    bool markLeaving(std::string_view name, TimePoint now);

    /// Returns the list as it was one lag before `now`. The first list that is set is visible
    /// immediately.
    LiveList visibleAt(TimePoint now);

private:
    struct Version
    {
        TimePoint visibleFrom;
        LiveList list;
    };

    Duration lag;
    std::deque<Version> versions;
};

} // namespace Hibiscus
