#include <Coordination/LeaderElection.h>
#include <Coordination/StoreKeys.h>

#include <utility>

namespace Hibiscus::Coordination {

namespace {

/// Stands between the instance and the lease in the value of the leader's key.
constexpr char candidateSeparator = '#';

} // namespace

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
    // This process has not campaigned yet, so the key is that of the instance's former process.
    if (this->candidateId.empty() && this->isOfThisInstance(item.value)) {
        this->readTerm([this, item](TimePoint) { this->endFormerTerm(item); });
        return;
    }
    this->watchLeader(answer.revision != 0 ? answer.revision : item.revision);
}

bool LeaderElection::isOfThisInstance(const std::string &leader) const
{
    return leader.starts_with(this->settings.instance + candidateSeparator);
}

/// Reads the record of the newest term, then takes the next step.
void LeaderElection::readTerm(std::function<void(TimePoint)> next)
{
    this->knownTerm.reset();
    const auto answerHandler = [this, reading = ++this->termReadings,
                                next = std::move(next)](const StoreAnswer &answer, TimePoint now) {
        if (reading != this->termReadings)
            return;
        if (answer.outcome == StoreOutcome::Absent)
            this->knownTerm = KnownTerm{};
        if (const StoredItem *item = answer.find(StoreKeys::term)) {
            this->knownTerm = KnownTerm{item->revision, decodeTerm(item->value)};
            if (!this->knownTerm->record)
                this->logger.logEvent(
                    LogKind::Fault, "term record can't be read",
                    {{"revision", item->revision}, {"effect", "former leaders count as alive"}},
                    now);
        }
        next(now);
    };
    this->store.read(StoreKeys::term, this->settings.callTimeout, answerHandler);
}

/// Ends the term of the instance's former process: it is gone, so nobody has to wait for its lease,
/// and the next leader need not count with leases that it might renew.
void LeaderElection::endFormerTerm(const StoredItem &leader)
{
    TermRecord record{leader.value, true, false};
    Tasks::StoreCommit commit;
    commit.checks.push_back({StoreKeys::leader, leader.revision});
    if (this->knownTerm) {
        const std::optional<TermRecord> &known = this->knownTerm->record;
        record.settled = known && known->leader == leader.value && known->settled;
        commit.checks.push_back({StoreKeys::term, this->knownTerm->revision});
    }
    commit.writes.push_back({StoreKeys::term, encodeTerm(record), 0});
    const auto answerHandler = [this, generation = this->generation, record,
                                lease = leader.lease](const StoreAnswer &answer, TimePoint now) {
        if (generation != this->generation)
            return;
        const bool isDone = answer.outcome == StoreOutcome::Done;
        this->logger.logEvent(
            LogKind::Leadership, "former term ended",
            {{"leader", record.leader}, {"settled", record.settled}, {"stored", isDone}}, now);
        if (isDone)
            this->store.revokeLease(lease, this->settings.callTimeout,
                                    [this, generation](const StoreAnswer &, TimePoint at) {
                                        if (generation == this->generation)
                                            this->readLeaderKey(at);
                                    });
        else
            this->scheduleStep(this->settings.retryDelay, &LeaderElection::readLeaderKey);
    };
    this->store.commit(commit, this->settings.callTimeout, answerHandler);
}

/// What this instance's term would state of the former leaders by the newest record. Its token is
/// known only after the election.
LeaderElection::Term LeaderElection::nextTerm() const
{
    Term next;
    const bool isSettled
        = this->knownTerm && this->knownTerm->record && this->knownTerm->record->settled;
    if (!isSettled)
        return next;
    const TermRecord &former = *this->knownTerm->record;
    next.lastLeader = former.leader;
    // A former term of this instance has ended: its process is gone, or it is this one, which drops
    // all it knew at its election.
    next.formersEnded = former.ended || this->isOfThisInstance(former.leader);
    return next;
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
    // The answer comes during the delay, or before the campaign's lease is granted.
    this->readTerm([](TimePoint) {});
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
    this->candidateId = this->settings.instance + candidateSeparator + std::to_string(answer.lease);
    this->term = this->nextTerm();
    Tasks::StoreCommit commit;
    commit.checks.push_back({StoreKeys::leader, 0});
    if (this->knownTerm)
        commit.checks.push_back({StoreKeys::term, this->knownTerm->revision});
    commit.writes.push_back({StoreKeys::leader, this->candidateId, this->lease});
    commit.writes.push_back(
        {StoreKeys::term, encodeTerm({this->candidateId, false, this->term.formersEnded}), 0});
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
    this->logger.logEvent(LogKind::Leadership, "elected",
                          {{"token", token}, {"formersEnded", this->term.formersEnded}}, now);
    this->scheduleStep(this->settings.renewInterval, &LeaderElection::renew);
    if (!this->term.formersEnded)
        this->scheduleStep(this->settings.renewalGrace + this->settings.settleSlack,
                           &LeaderElection::settleTerm);
    this->term.token = token;
    this->handlers.elected(this->term, now);
}

/// Records that the leaders before this one have ceased to renew leases, since their grace time is
/// over: they stopped leading before this one was elected.
void LeaderElection::settleTerm(TimePoint)
{
    Tasks::StoreCommit commit;
    commit.checks.push_back({StoreKeys::leader, this->leaderToken});
    commit.checks.push_back({StoreKeys::term, this->leaderToken});
    commit.writes.push_back({StoreKeys::term, encodeTerm({this->candidateId, false, true}), 0});
    const auto answerHandler
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint) {
              const bool isOpen = answer.outcome == StoreOutcome::Unknown
                  || answer.outcome == StoreOutcome::Refused;
              if (generation == this->generation && isOpen)
                  this->scheduleStep(this->settings.retryDelay, &LeaderElection::settleTerm);
          };
    this->store.commit(commit, this->settings.callTimeout, answerHandler);
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

void LeaderElection::endTermEarly(const char *reason, TimePoint now)
{
    if (!this->leading)
        return;
    // The leader's key is still there while the lease is being revoked; it begins no term again.
    this->validUntil = std::min(this->validUntil, now);
    this->store.revokeLease(this->lease, this->settings.callTimeout,
                            [](const StoreAnswer &, TimePoint) {});
    this->stepDown(reason, now);
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
