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

/// Joins the platform's lagging list with direct heartbeats, and says which instance plays which
/// role. Two instances may disagree for a while; nothing that must hold rests on their agreeing.
class Membership
{
public:
    struct Settings
    {
        std::string instance;
        std::string dataCenter;
        std::uint64_t incarnation = 0;
        /// A peer that has not been heard for so long is taken to be dead.
        Duration heartbeatTimeout = milliseconds(2000);
        /// After its start an instance plays no role until peers have had time to be heard.
        Duration startupDelay = milliseconds(1500);
    };

    Membership(const Settings &settings, TimePoint now);

    void setLiveList(LiveList list, TimePoint now);
    void recordHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    /// Own state, as it goes into heartbeats and into the choice of roles.
    void setSelf(bool ready, bool draining);

    struct Member
    {
        std::string name;
        std::string dataCenter;
        std::uint64_t incarnation = 0;
    };

    /// The instance that dispatches for a data centre: one of its own, or, if none of these is
    /// live, one of another data centre.
    std::optional<Member> dispatcherOf(std::string_view dataCenter, TimePoint now) const;
    std::optional<Member> keeperOf(std::uint32_t shard, TimePoint now) const;
    /// The instance that watches the store on behalf of this data centre.
    bool watchesStore(TimePoint now) const;

    std::vector<Member> liveMembers(TimePoint now) const;
    std::optional<Member> findMember(std::string_view instance) const;
    const LiveList &liveList() const { return this->latestList; }
    /// Every data centre that the list names, in order.
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
