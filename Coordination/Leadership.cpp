#include <Coordination/Leadership.h>
#include <Coordination/StoreKeys.h>

namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;

Leadership::Leadership(Tasks::MetadataStore &store, TimerService &timers, Journal &journal,
                       const Settings &settings, Handlers handlers)
    : store(store)
    , timers(timers)
    , journal(journal)
    , settings(settings)
    , handlers(std::move(handlers))
    , random(settings.seed)
{}

void Leadership::start(TimePoint now)
{
    this->follow(now);
}

void Leadership::later(Duration delay, void (Leadership::*step)(TimePoint))
{
    this->timers.after(delay, [this, generation = this->generation, step](TimePoint now) {
        if (generation == this->generation)
            (this->*step)(now);
    });
}

void Leadership::follow(TimePoint)
{
    this->generation++;
    if (this->resigned)
        return;
    const auto answered
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
              if (generation == this->generation)
                  this->lookedUp(answer, now);
          };
    this->store.read(StoreKeys::leader, this->settings.callTimeout, answered);
}

void Leadership::lookedUp(const StoreAnswer &answer, TimePoint now)
{
    if (answer.outcome == StoreOutcome::Absent) {
        this->campaignSoon();
        return;
    }
    if (answer.outcome != StoreOutcome::Done || answer.items.empty()) {
        this->later(this->settings.retry, &Leadership::follow);
        return;
    }
    const StoredItem &item = answer.items.front();
    // The answer to our own campaign may have been lost after the key was written.
    if (item.value == this->ballot && now < this->validUntil) {
        this->lead(item.revision, now);
        return;
    }
    this->watchLeader(answer.revision != 0 ? answer.revision : item.revision);
}

void Leadership::watchLeader(std::int64_t revision)
{
    const auto answered
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint) {
              if (generation != this->generation)
                  return;
              const bool quiet = answer.outcome == StoreOutcome::Done && answer.items.empty();
              const bool removed = answer.outcome == StoreOutcome::Done && !answer.items.empty()
                  && answer.items.back().removed;
              if (removed)
                  this->campaignSoon();
              else if (quiet)
                  this->watchLeader(answer.revision);
              else
                  this->later(this->settings.retry, &Leadership::follow);
          };
    this->store.watch(StoreKeys::leader, revision, this->settings.watchWait, answered);
}

void Leadership::campaignSoon()
{
    const auto most = static_cast<std::uint32_t>(this->settings.largestCampaignDelay.count());
    this->later(this->settings.handicap + Duration(this->random(most)), &Leadership::campaign);
}

void Leadership::campaign(TimePoint now)
{
    this->generation++;
    const auto answered = [this, generation = this->generation, now](const StoreAnswer &answer,
                                                                     TimePoint answeredAt) {
        if (generation == this->generation)
            this->leaseGranted(answer, now, answeredAt);
    };
    this->store.grantLease(this->settings.term, this->settings.callTimeout, answered);
}

void Leadership::leaseGranted(const StoreAnswer &answer, TimePoint sentAt, TimePoint)
{
    if (answer.outcome != StoreOutcome::Done || answer.lease == 0) {
        this->later(this->settings.retry, &Leadership::follow);
        return;
    }
    this->lease = answer.lease;
    const Duration term = answer.leaseTerm.count() > 0 ? answer.leaseTerm : this->settings.term;
    this->validUntil = sentAt + term;
    this->ballot = this->settings.instance + "#" + std::to_string(answer.lease);
    Tasks::StoreCommit commit;
    commit.checks.push_back({StoreKeys::leader, 0});
    commit.writes.push_back({StoreKeys::leader, this->ballot, this->lease});
    const auto answered
        = [this, generation = this->generation](const StoreAnswer &reply, TimePoint now) {
              if (generation == this->generation)
                  this->keyWritten(reply, now);
          };
    this->store.commit(commit, this->settings.callTimeout, answered);
}

void Leadership::keyWritten(const StoreAnswer &answer, TimePoint now)
{
    if (answer.outcome == StoreOutcome::Done) {
        this->lead(answer.revision, now);
        return;
    }
    if (answer.outcome == StoreOutcome::Conflict)
        this->store.revokeLease(this->lease, this->settings.callTimeout,
                                [](const StoreAnswer &, TimePoint) {});
    this->later(this->settings.retry, &Leadership::follow);
}

void Leadership::lead(std::int64_t token, TimePoint now)
{
    this->generation++;
    if (now >= this->validUntil) {
        this->later(this->settings.retry, &Leadership::follow);
        return;
    }
    this->leading = true;
    this->leaderToken = token;
    this->journal.tell(LogKind::Leadership, "elected", {{"token", token}}, now);
    this->later(this->settings.renewEvery, &Leadership::renew);
    this->handlers.elected(token, now);
}

void Leadership::renew(TimePoint now)
{
    if (!this->leads(now)) {
        this->stepDown("the lease could not be renewed in time", now);
        return;
    }
    const auto answered = [this, generation = this->generation, now](const StoreAnswer &answer,
                                                                     TimePoint answeredAt) {
        if (generation == this->generation)
            this->renewed(answer, now, answeredAt);
    };
    this->store.renewLease(this->lease, this->settings.term, answered);
    this->later(this->settings.renewEvery, &Leadership::renew);
}

void Leadership::renewed(const StoreAnswer &answer, TimePoint sentAt, TimePoint now)
{
    if (answer.outcome == StoreOutcome::Absent) {
        this->stepDown("the store ended the lease", now);
        return;
    }
    if (answer.outcome == StoreOutcome::Done)
        this->validUntil = std::max(this->validUntil, sentAt + this->settings.term);
}

void Leadership::overtaken(TimePoint now)
{
    if (this->leading)
        this->stepDown("another leader was met", now);
}

void Leadership::stepDown(const char *reason, TimePoint now)
{
    this->leading = false;
    this->journal.tell(LogKind::Leadership, "deposed",
                       {{"reason", reason}, {"token", this->leaderToken}}, now);
    this->handlers.deposed(now);
    this->follow(now);
}

void Leadership::resign(TimePoint now)
{
    this->resigned = true;
    this->generation++;
    if (!std::exchange(this->leading, false))
        return;
    this->journal.tell(LogKind::Leadership, "resigned", {{"token", this->leaderToken}}, now);
    this->handlers.deposed(now);
    this->store.revokeLease(this->lease, this->settings.callTimeout,
                            [](const StoreAnswer &, TimePoint) {});
}

} // namespace Hibiscus::Coordination
