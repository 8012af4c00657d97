#pragma once

#include <Core/Time.h>
#include <Gateway/LiveList.h>
#include <Wire/PeerMessage.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// Combines the platform's live list, which lags, with direct heartbeats, and assigns roles to
/// instances. Two instances may disagree for a while; no correctness guarantee depends on their
/// agreement.
class Membership
{
public:
    struct Settings
    {
        std::string instance;
        std::string dataCenter;
        std::uint64_t incarnation = 0;
        /// A peer without a heartbeat for this long counts as dead.
        Duration heartbeatTimeout = milliseconds(2000);
        /// An instance takes no role for this long after its start, so that it first receives its
        /// peers' heartbeats.
        Duration startupDelay = milliseconds(1500);
    };

    Membership(const Settings &settings, TimePoint now);

    void setLiveList(LiveList list, TimePoint now);
    void recordHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    /// Sets this instance's state, which the choice of roles takes into account.
    void setSelf(bool ready, bool draining);

    struct Member
    {
        std::string name;
        std::string dataCenter;
        std::uint64_t incarnation = 0;
    };

    /// Returns the instance that dispatches for a data centre: a live instance of the data centre,
    /// or one of another data centre if there is none.
    std::optional<Member> dispatcherOf(std::string_view dataCenter, TimePoint now) const;
    std::optional<Member> keeperOf(std::uint32_t shard, TimePoint now) const;
    /// True if this instance watches the store on behalf of its data centre.
    bool watchesStore(TimePoint now) const;

    std::vector<Member> liveMembers(TimePoint now) const;
    std::optional<Member> findMember(std::string_view instance) const;
    const LiveList &liveList() const { return this->latestList; }
    /// Returns this instance's data centre and those of all listed workers, in order.
    std::vector<std::string> dataCenters() const;
    const std::map<std::string, Heartbeat> &heartbeats() const { return this->latestHeartbeats; }

private:
    bool isLive(const std::string &instance, TimePoint now) const;
    bool isLeaving(const std::string &instance) const;
    std::optional<Member> highestWeighted(const std::vector<Member> &members,
                                          std::string_view role) const;

    Settings settings;
    TimePoint startedAt;
    LiveList latestList;
    std::map<std::string, Heartbeat> latestHeartbeats;
    std::map<std::string, TimePoint> lastHeard;
    bool selfReady = false;
    bool selfDraining = false;
};

} // namespace Hibiscus
