#include <Entry/Membership.h>

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace Hibiscus {

namespace {

/// Weight of an instance for a role. The instance with the highest weight takes the role
/// (rendezvous hashing), so that a change of members moves only the roles of the members that
/// joined or left.
std::uint64_t weight(std::string_view instance, std::string_view role)
{
    const std::uint64_t seed = XXH3_64bits(role.data(), role.size());
    return XXH3_64bits_withSeed(instance.data(), instance.size(), seed);
}

} // namespace

Membership::Membership(const Settings &settings, TimePoint now)
    : settings(settings)
    , startedAt(now)
{}

void Membership::setLiveList(LiveList list, TimePoint)
{
    this->latestList = std::move(list);
}

void Membership::recordHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.instance == this->settings.instance)
        return;
    this->latestHeartbeats[heartbeat.instance] = heartbeat;
    this->lastHeard[heartbeat.instance] = now;
}

void Membership::setSelf(bool ready, bool draining)
{
    this->selfReady = ready;
    this->selfDraining = draining;
}

bool Membership::isLeaving(const std::string &instance) const
{
    const auto &instances = this->latestList.instances;
    const auto same = [&](const InstanceDescription &each) { return each.name == instance; };
    const auto it = std::find_if(instances.begin(), instances.end(), same);
    return it != instances.end() && it->leaving;
}

bool Membership::isLive(const std::string &instance, TimePoint now) const
{
    // Heartbeats take precedence over the live list, which lags: it may still name dead instances
    // and not yet name new ones.
    const auto heardAt = this->lastHeard.find(instance);
    if (heardAt == this->lastHeard.end() || now - heardAt->second > this->settings.heartbeatTimeout)
        return false;
    const Heartbeat &heartbeat = this->latestHeartbeats.at(instance);
    return heartbeat.ready && !heartbeat.draining && !this->isLeaving(instance);
}

std::vector<Membership::Member> Membership::liveMembers(TimePoint now) const
{
    std::vector<Member> members;
    const bool settled = now - this->startedAt >= this->settings.startupDelay;
    if (settled && this->selfReady && !this->selfDraining
        && !this->isLeaving(this->settings.instance)) {
        members.push_back(
            {this->settings.instance, this->settings.dataCenter, this->settings.incarnation});
    }
    for (const auto &[name, heartbeat] : this->latestHeartbeats) {
        if (this->isLive(name, now))
            members.push_back({name, heartbeat.dataCenter, heartbeat.incarnation});
    }
    return members;
}

std::optional<Membership::Member> Membership::highestWeighted(const std::vector<Member> &members,
                                                              std::string_view role) const
{
    const Member *best = nullptr;
    for (const Member &member : members) {
        if (!best || weight(member.name, role) > weight(best->name, role))
            best = &member;
    }
    if (!best)
        return std::nullopt;
    return *best;
}

std::optional<Membership::Member> Membership::dispatcherOf(std::string_view dataCenter,
                                                           TimePoint now) const
{
    const std::vector<Member> members = this->liveMembers(now);
    std::vector<Member> local;
    for (const Member &member : members) {
        if (member.dataCenter == dataCenter)
            local.push_back(member);
    }
    const std::string role = "dispatcher/" + std::string(dataCenter);
    return this->highestWeighted(local.empty() ? members : local, role);
}

std::optional<Membership::Member> Membership::keeperOf(std::uint32_t shard, TimePoint now) const
{
    return this->highestWeighted(this->liveMembers(now), "keeper/" + std::to_string(shard));
}

bool Membership::watchesStore(TimePoint now) const
{
    // Readiness is not required, as an instance without configuration has to watch the store to
    // receive one.
    std::vector<Member> members{
        {this->settings.instance, this->settings.dataCenter, this->settings.incarnation}};
    for (const auto &[name, heartbeat] : this->latestHeartbeats) {
        const bool fresh = now - this->lastHeard.at(name) <= this->settings.heartbeatTimeout;
        if (fresh && heartbeat.dataCenter == this->settings.dataCenter)
            members.push_back({name, heartbeat.dataCenter, heartbeat.incarnation});
    }
    return this->highestWeighted(members, "watch")->name == this->settings.instance;
}

std::optional<Membership::Member> Membership::findMember(std::string_view instance) const
{
    if (instance == this->settings.instance)
        return Member{this->settings.instance, this->settings.dataCenter,
                      this->settings.incarnation};
    const auto it = this->latestHeartbeats.find(std::string(instance));
    if (it == this->latestHeartbeats.end())
        return std::nullopt;
    return Member{it->first, it->second.dataCenter, it->second.incarnation};
}

std::vector<std::string> Membership::dataCenters() const
{
    std::set<std::string> names{this->settings.dataCenter};
    for (const WorkerDescription &worker : this->latestList.workers)
        names.insert(worker.dataCenter);
    return {names.begin(), names.end()};
}

} // namespace Hibiscus
