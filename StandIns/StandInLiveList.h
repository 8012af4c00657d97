#pragma once

#include <Gateway/LiveList.h>

#include <deque>
#include <string_view>

namespace Hibiscus {

/// Stands in for the platform's list of what is live and leaving. What is set shows after a lag.
class StandInLiveList
{
public:
    explicit StandInLiveList(Duration lag)
        : lag(lag)
    {}

    void set(const LiveList &list, TimePoint now);

    /// Marks the instance or worker of that name as leaving; false if there is none.
    bool markLeaving(std::string_view name, TimePoint now);

    /// The list as it was a lag ago. The first list that was ever set shows at once.
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
