#include <Coordination/LeaderElection.h>
#include <Coordination/StoreKeys.h>

#include <utility>

namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;

LeaderElection::LeaderElection(Tasks::MetadataStore &store, TimerService &timers,
                               EventLogger &logger, const Settings &settings, Handlers handlers)
    : store(store)
    , timers(timers)
    , logger(logger)
    , settings(settings)
    , handlers(std::move(handlers))
    , random(settings.seed)
{}

void LeaderElection::start(TimePoint now)
{
    this->readLeaderKey(now);
}

void LeaderElection::scheduleStep(Duration delay, void (LeaderElection::*step)(TimePoint))
{
    this->timers.after(delay, [this, generation = this->generation, step](TimePoint now) {
        if (generation == this->generation)
            (this->*step)(now);
    });
}

void LeaderElection::readLeaderKey(TimePoint)
{
    this->generation++;
    if (this->resigned)
        return;
    const auto answerHandler
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
              if (generation == this->generation)
                  this->handleLeaderKey(answer, now);
          };
    this->store.read(StoreKeys::leader, this->settings.callTimeout, answerHandler);
}

void LeaderElection::handleLeaderKey(const StoreAnswer &answer, TimePoint now)
{
    if (answer.outcome == StoreOutcome::Absent) {
        this->scheduleCampaign();
        return;
    }
    if (answer.outcome != StoreOutcome::Done || answer.items.empty()) {
        this->scheduleStep(this->settings.retryDelay, &LeaderElection::readLeaderKey);
        return;
    }
    const StoredItem &item = answer.items.front();
    // The answer to this instance's own campaign may have been lost after the store wrote the key.
    if (item.value == this->candidateId && now < this->validUntil) {
        this->becomeLeader(item.revision, now);
        return;
    }
    this->watchLeader(answer.revision != 0 ? answer.revision : item.revision);
}

void LeaderElection::watchLeader(std::int64_t revision)
{
    const auto answerHandler
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint) {
              if (generation != this->generation)
                  return;
              const bool unchanged = answer.outcome == StoreOutcome::Done && answer.items.empty();
              const bool removed = answer.outcome == StoreOutcome::Done && !answer.items.empty()
                  && answer.items.back().removed;
              if (removed)
                  this->scheduleCampaign();
              else if (unchanged)
                  this->watchLeader(answer.revision);
              else
                  this->scheduleStep(this->settings.retryDelay, &LeaderElection::readLeaderKey);
          };
    this->store.watch(StoreKeys::leader, revision, this->settings.watchWait, answerHandler);
}

void LeaderElection::scheduleCampaign()
{
    const auto maxJitter = static_cast<std::uint32_t>(this->settings.maxCampaignJitter.count());
    this->scheduleStep(this->settings.fixedCampaignDelay + Duration(this->random(maxJitter)),
                       &LeaderElection::campaign);
}

void LeaderElection::campaign(TimePoint now)
{
    this->generation++;
    const auto answerHandler = [this, generation = this->generation, now](const StoreAnswer &answer,
                                                                          TimePoint answeredAt) {
        if (generation == this->generation)
            this->handleLeaseGrant(answer, now, answeredAt);
    };
    this->store.grantLease(this->settings.leaseDuration, this->settings.callTimeout, answerHandler);
}

void LeaderElection::handleLeaseGrant(const StoreAnswer &answer, TimePoint sentAt, TimePoint)
{
    if (answer.outcome != StoreOutcome::Done || answer.lease == 0) {
        this->scheduleStep(this->settings.retryDelay, &LeaderElection::readLeaderKey);
        return;
    }
    this->lease = answer.lease;
    const Duration term
        = answer.leaseTerm.count() > 0 ? answer.leaseTerm : this->settings.leaseDuration;
    this->validUntil = sentAt + term;
    this->candidateId = this->settings.instance + "#" + std::to_string(answer.lease);
    Tasks::StoreCommit commit;
    commit.checks.push_back({StoreKeys::leader, 0});
    commit.writes.push_back({StoreKeys::leader, this->candidateId, this->lease});
    const auto answerHandler
        = [this, generation = this->generation](const StoreAnswer &reply, TimePoint now) {
              if (generation == this->generation)
                  this->handleKeyWrite(reply, now);
          };
    this->store.commit(commit, this->settings.callTimeout, answerHandler);
}

void LeaderElection::handleKeyWrite(const StoreAnswer &answer, TimePoint now)
{
    if (answer.outcome == StoreOutcome::Done) {
        this->becomeLeader(answer.revision, now);
        return;
    }
    if (answer.outcome == StoreOutcome::Conflict)
        this->store.revokeLease(this->lease, this->settings.callTimeout,
                                [](const StoreAnswer &, TimePoint) {});
    this->scheduleStep(this->settings.retryDelay, &LeaderElection::readLeaderKey);
}

void LeaderElection::becomeLeader(std::int64_t token, TimePoint now)
{
    this->generation++;
    if (now >= this->validUntil) {
        this->scheduleStep(this->settings.retryDelay, &LeaderElection::readLeaderKey);
        return;
    }
    this->leading = true;
    this->inDoubt = false;
    this->leaderToken = token;
    this->logger.logEvent(LogKind::Leadership, "elected", {{"token", token}}, now);
    this->scheduleStep(this->settings.renewInterval, &LeaderElection::renew);
    this->handlers.elected(token, now);
}

void LeaderElection::renew(TimePoint now)
{
    this->noteDoubt(now);
    const auto answerHandler = [this, generation = this->generation, now](const StoreAnswer &answer,
                                                                          TimePoint answeredAt) {
        if (generation == this->generation)
            this->handleRenewal(answer, now, answeredAt);
    };
    this->store.renewLease(this->lease, this->settings.leaseDuration, answerHandler);
    this->scheduleStep(this->settings.renewInterval, &LeaderElection::renew);
}

/// The store may pause its leases during an outage, or may just answer late. So the term is not
/// over yet: only the answer to a renewal shows whether the lease has ended.
void LeaderElection::noteDoubt(TimePoint now)
{
    if (now < this->validUntil || std::exchange(this->inDoubt, true))
        return;
    this->logger.logEvent(
        LogKind::Leadership, "term in doubt",
        {{"reason", "the lease could not be renewed in time"}, {"token", this->leaderToken}}, now);
}

void LeaderElection::handleRenewal(const StoreAnswer &answer, TimePoint sentAt, TimePoint now)
{
    if (answer.outcome == StoreOutcome::Absent) {
        this->stepDown("the store has ended the lease", now);
        return;
    }
    if (answer.outcome != StoreOutcome::Done)
        return;
    this->validUntil = std::max(this->validUntil, sentAt + this->settings.leaseDuration);
    if (!this->isLeading(now) || !std::exchange(this->inDoubt, false))
        return;
    this->logger.logEvent(LogKind::Leadership, "term goes on", {{"token", this->leaderToken}}, now);
    this->handlers.termConfirmed(now);
}

void LeaderElection::handleOtherLeader(TimePoint now)
{
    if (this->leading)
        this->stepDown("another instance has become the leader", now);
}

void LeaderElection::endTerm(TimePoint now)
{
    this->leading = false;
    this->lastTermEnd = std::min(now, this->validUntil);
}

void LeaderElection::stepDown(const char *reason, TimePoint now)
{
    this->endTerm(now);
    this->logger.logEvent(LogKind::Leadership, "deposed",
                          {{"reason", reason}, {"token", this->leaderToken}}, now);
    this->handlers.deposed();
    this->readLeaderKey(now);
}

void LeaderElection::resign(TimePoint now)
{
    this->resigned = true;
    this->generation++;
    if (!this->leading)
        return;
    this->endTerm(now);
    this->logger.logEvent(LogKind::Leadership, "resigned", {{"token", this->leaderToken}}, now);
    this->handlers.deposed();
    this->store.revokeLease(this->lease, this->settings.callTimeout,
                            [](const StoreAnswer &, TimePoint) {});
}

} // namespace Hibiscus::Coordination
