#pragma once

#include <Coordination/Journal.h>
#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <string>

namespace Hibiscus::Coordination {

/// Elects one instance through a leased key of the platform's store. The leader stops by its own
/// clock before the store ends its lease.
class Leadership
{
public:
    struct Settings
    {
        std::string instance;
        std::uint64_t seed = 0;
        /// Of the lease. While it runs out, nothing is started, so it is as short as the store
        /// grants.
        Duration term = seconds(1);
        /// Renewals do not wait for one another, so a slow store unseats no leader as long as its
        /// answers take less than `term` without this.
        Duration renewEvery = milliseconds(250);
        Duration callTimeout = milliseconds(500);
        Duration watchWait = seconds(2);
        Duration retry = milliseconds(200);
        Duration largestCampaignDelay = milliseconds(120); ///< Random, to avoid collisions.
        Duration handicap{}; ///< Waited before each campaign, so that stronger machines come first.
    };

    struct Handlers
    {
        /// `token` rises from leader to leader; it is also the revision of the leader's key.
        std::function<void(std::int64_t token, TimePoint)> elected;
        std::function<void(TimePoint)> deposed;
    };

    Leadership(Tasks::MetadataStore &store, TimerService &timers, Journal &journal,
               const Settings &settings, Handlers handlers);

    void start(TimePoint now);
    /// Gives the lease back, so that another instance can follow at once, and never campaigns
    /// again.
    void resign(TimePoint now);
    /// The store or a worker told of another leader.
    void overtaken(TimePoint now);

    /// Whether this instance may decide now.
    bool leads(TimePoint now) const { return this->leading && now < this->validUntil; }
    std::int64_t token() const { return this->leaderToken; }

private:
    void follow(TimePoint now);
    void lookedUp(const Tasks::StoreAnswer &answer, TimePoint now);
    void watchLeader(std::int64_t revision);
    void campaignSoon();
    void campaign(TimePoint now);
    void leaseGranted(const Tasks::StoreAnswer &answer, TimePoint sentAt, TimePoint now);
    void keyWritten(const Tasks::StoreAnswer &answer, TimePoint now);
    void lead(std::int64_t token, TimePoint now);
    void renew(TimePoint now);
    void renewed(const Tasks::StoreAnswer &answer, TimePoint sentAt, TimePoint now);
    void stepDown(const char *reason, TimePoint now);
    void later(Duration delay, void (Leadership::*step)(TimePoint));

    Tasks::MetadataStore &store;
    TimerService &timers;
    Journal &journal;
    Settings settings;
    Handlers handlers;
    pcg32 random;
    std::uint64_t generation = 0; ///< Answers and timers of an earlier one are ignored.
    bool leading = false;
    bool resigned = false;
    std::int64_t lease = 0;
    std::int64_t leaderToken = 0;
    std::string ballot; ///< Value of the key: tells one campaign from all others.
    TimePoint validUntil{};
};

} // namespace Hibiscus::Coordination
