#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/TermRecord.h>
#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <pcg_random.hpp>
#include <string>

namespace Hibiscus::Coordination {

/// Elects one instance as the leader with a leased key in the platform's store. The leader stops
/// leading by its own clock before the store expires its lease. It goes on in the same term if a
/// later renewal succeeds, and steps down once it learns that the lease has ended.
class LeaderElection
{
public:
    struct Settings
    {
        /// Name that no two processes bear at the same time.
        std::string instance;
        std::uint64_t seed = 0;
        /// Duration of the leader's lease. After a leader fails, nothing is started until its lease
        /// has expired, so the lease is as short as the store grants.
        Duration leaseDuration = seconds(1);
        /// Interval between renewals. A renewal does not wait for the answer to the one before, so
        /// a slow store does not depose the leader as long as its answers take less than
        /// `leaseDuration` minus `renewInterval`.
        Duration renewInterval = milliseconds(250);
        Duration callTimeout = milliseconds(500);
        Duration watchWait = seconds(2);
        Duration retryDelay = milliseconds(200);
        /// Upper bound of the random delay before a campaign, which avoids collisions.
        Duration maxCampaignJitter = milliseconds(120);
        /// Constant delay before a campaign, so that machines with more resources are elected
        /// first.
        Duration fixedCampaignDelay{};
        /// Time after an election in which former leaders may still renew leases of runs.
        Duration renewalGrace = defaultRenewalGrace;
        /// Added to `renewalGrace`, for clocks that run at different rates.
        Duration settleSlack = milliseconds(500);
    };

    struct Term
    {
        /// Fencing token: the revision of the leader's key, which increases with each leader.
        std::int64_t token = 0;
        /// No former leader renews leases of runs any more.
        bool formersEnded = false;
        /// The last leader, if those before it renew no leases any more; otherwise empty.
        std::string lastLeader;
    };

    struct Handlers
    {
        std::function<void(const Term &term, TimePoint)> elected;
        std::function<void()> deposed;
        /// A renewal succeeded after the lease had run out by this instance's clock. The leader's
        /// key was there all the while, so there was no other leader.
        std::function<void(TimePoint)> termConfirmed;
    };

    LeaderElection(Tasks::MetadataStore &store, TimerService &timers, EventLogger &logger,
                   const Settings &settings, Handlers handlers);

    void start(TimePoint now);
    /// Ends the lease, so that another instance can be elected without delay. This instance does
    /// not campaign again.
    void resign(TimePoint now);
    /// Ends the term and asks the store to end its lease, so that a new term can begin soon.
    void endTermEarly(const char *reason, TimePoint now);
    /// Called when the store or a worker reports a newer leader.
    void handleOtherLeader(TimePoint now);

    /// Whether this instance is the leader and its lease is valid by its own clock.
    bool isLeading(TimePoint now) const { return this->leading && now < this->validUntil; }
    std::int64_t token() const { return this->leaderToken; }
    /// Value of the leader's key in this instance's current or last term.
    const std::string &termName() const { return this->candidateId; }
    /// End of this instance's current or last term as the leader, by its own clock.
    TimePoint leaseEnd() const { return this->leading ? this->validUntil : this->lastTermEnd; }

private:
    /// The newest term as read from the store.
    struct KnownTerm
    {
        std::int64_t revision = 0; ///< 0: the store has no record.
        std::optional<TermRecord> record; ///< Absent if the store has none that can be read.
    };

    void readLeaderKey(TimePoint now);
    void handleLeaderKey(const Tasks::StoreAnswer &answer, TimePoint now);
    bool isOfThisInstance(const std::string &leader) const;
    void readTerm(std::function<void(TimePoint)> next);
    void endFormerTerm(const Tasks::StoredItem &leader);
    Term nextTerm() const;
    void settleTerm(TimePoint now);
    void watchLeader(std::int64_t revision);
    void scheduleCampaign();
    void campaign(TimePoint now);
    void handleLeaseGrant(const Tasks::StoreAnswer &answer, TimePoint sentAt, TimePoint now);
    void handleKeyWrite(const Tasks::StoreAnswer &answer, TimePoint now);
    void becomeLeader(std::int64_t token, TimePoint now);
    void renew(TimePoint now);
    void noteDoubt(TimePoint now);
    void handleRenewal(const Tasks::StoreAnswer &answer, TimePoint sentAt, TimePoint now);
    void stepDown(const char *reason, TimePoint now);
    void endTerm(TimePoint now);
    void scheduleStep(Duration delay, void (LeaderElection::*step)(TimePoint));

    Tasks::MetadataStore &store;
    TimerService &timers;
    EventLogger &logger;
    Settings settings;
    Handlers handlers;
    pcg32 random;
    std::uint64_t generation = 0; ///< Answers and timers of earlier generations are ignored.
    bool leading = false;
    bool resigned = false;
    bool inDoubt = false; ///< The current term's lease ran out by this instance's clock.
    std::int64_t lease = 0;
    std::int64_t leaderToken = 0;
    std::string candidateId; ///< Value of the leader's key; unique for each campaign.
    std::uint64_t termReadings = 0; ///< Answers to earlier readings of the term are ignored.
    std::optional<KnownTerm> knownTerm; ///< As of the last reading; absent without an answer.
    Term term; ///< As stated in the last campaign.
    TimePoint validUntil{}; ///< Of the lease of the current term or campaign.
    TimePoint lastTermEnd{};
};

} // namespace Hibiscus::Coordination
