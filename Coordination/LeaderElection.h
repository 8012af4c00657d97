#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <string>

namespace Hibiscus::Coordination {

/// Elects one instance through a leased key of the platform's store. The leader stops by its own
/// clock before the store ends its lease.
class LeaderElection
{
public:
    struct Settings
    {
        std::string instance;
        std::uint64_t seed = 0;
        /// Of the lease. While it runs out, nothing is started, so it is as short as the store
        /// grants.
        Duration leaseDuration = seconds(1);
        /// Renewals do not wait for one another, so a slow store unseats no leader as long as its
        /// answers take less than `term` without this.
        Duration renewInterval = milliseconds(250);
        Duration callTimeout = milliseconds(500);
        Duration watchWait = seconds(2);
        Duration retryDelay = milliseconds(200);
        Duration maxCampaignJitter = milliseconds(120); ///< Random, to avoid collisions.
        Duration fixedCampaignDelay{}; ///< Waited before each campaign, so that stronger machines
                                       ///< come first.
    };

    struct Handlers
    {
        /// `token` rises from leader to leader; it is also the revision of the leader's key.
        std::function<void(std::int64_t token, TimePoint)> elected;
        std::function<void(TimePoint)> deposed;
    };

    LeaderElection(Tasks::MetadataStore &store, TimerService &timers, EventLogger &logger,
                   const Settings &settings, Handlers handlers);

    void start(TimePoint now);
    /// Gives the lease back, so that another instance can follow at once, and never campaigns
    /// again.
    void resign(TimePoint now);
    /// The store or a worker told of another leader.
    void handleOtherLeader(TimePoint now);

    /// Whether this instance may decide now.
    bool isLeading(TimePoint now) const { return this->leading && now < this->validUntil; }
    std::int64_t token() const { return this->leaderToken; }

private:
    void readLeaderKey(TimePoint now);
    void handleLeaderKey(const Tasks::StoreAnswer &answer, TimePoint now);
    void watchLeader(std::int64_t revision);
    void scheduleCampaign();
    void campaign(TimePoint now);
    void handleLeaseGrant(const Tasks::StoreAnswer &answer, TimePoint sentAt, TimePoint now);
    void handleKeyWrite(const Tasks::StoreAnswer &answer, TimePoint now);
    void becomeLeader(std::int64_t token, TimePoint now);
    void renew(TimePoint now);
    void handleRenewal(const Tasks::StoreAnswer &answer, TimePoint sentAt, TimePoint now);
    void stepDown(const char *reason, TimePoint now);
    void scheduleStep(Duration delay, void (LeaderElection::*step)(TimePoint));

    Tasks::MetadataStore &store;
    TimerService &timers;
    EventLogger &logger;
    Settings settings;
    Handlers handlers;
    pcg32 random;
    std::uint64_t generation = 0; ///< Answers and timers of an earlier one are ignored.
    bool leading = false;
    bool resigned = false;
    std::int64_t lease = 0;
    std::int64_t leaderToken = 0;
    std::string candidateId; ///< Value of the key: tells one campaign from all others.
    TimePoint validUntil{};
};

} // namespace Hibiscus::Coordination
