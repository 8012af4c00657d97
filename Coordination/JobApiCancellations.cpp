#include <Coordination/JobApi.h>
#include <Coordination/StoreKeys.h>
#include <Tasks/JobRecord.h>

#include <algorithm>

// Cancellation of jobs by JobApi. The conditions of its writes make sure that the answer stays true
// whatever the store executes late: a job that is there is cancelled as the one that was read, and
// where none is there, a tombstone keeps it from being accepted later.
namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::Job;
using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;

void JobApi::cancel(const std::shared_ptr<Lookup> &lookup, TimePoint now)
{
    const Duration timeout = this->storeTime(lookup->call.deadline, now);
    const auto answerHandler = [this, lookup](const StoreAnswer &answer, TimePoint at) {
        if (answer.outcome == StoreOutcome::Absent)
            this->cancelStored(lookup, nullptr, at);
        else if (answer.outcome == StoreOutcome::Done && !answer.items.empty())
            this->cancelStored(lookup, &answer.items.front(), at);
        else
            this->retryLookup(lookup, &JobApi::cancel, at);
    };
    this->store.read(StoreKeys::job(lookup->job), timeout, answerHandler);
}

/// Cancels what is stored under the job's key; null: nothing.
void JobApi::cancelStored(const std::shared_ptr<Lookup> &lookup, const StoredItem *stored,
                          TimePoint now)
{
    lookup->keyRevision = stored ? stored->revision : 0;
    lookup->tombstone = {};
    const std::optional<Tasks::JobTombstone> tombstone
        = stored ? Tasks::decodeTombstone(stored->value) : std::nullopt;
    if (tombstone)
        lookup->tombstone = *tombstone;
    if (!stored || tombstone) {
        this->cancelUnknownJob(lookup, now);
        return;
    }
    const tl::expected<Job, std::string> job = Tasks::decodeJob(stored->value);
    if (job && !lookup->customer.empty() && job->customer != lookup->customer) {
        lookup->reply({.kind = ReplyKind::ForeignJob});
        return;
    }
    this->writeCancellation(lookup, now);
}

/// The caller may cancel a job because its submission got no answer. So "no such job" is only said
/// once a tombstone keeps that submission from being accepted. A refusal for load does so for
/// submissions that came before it, but may be replaced by one that is on its way.
void JobApi::cancelUnknownJob(const std::shared_ptr<Lookup> &lookup, TimePoint now)
{
    const Tasks::JobClaim claim{lookup->queue, lookup->customer};
    if (lookup->tombstone.isCancelledFor(claim)) {
        lookup->reply({.kind = ReplyKind::NoSuchJob});
        return;
    }
    if (!lookup->hasTombstoneBudget && !this->takeTombstoneBudget(*lookup, now)) {
        lookup->reply(this->unavailable("too many jobs are cancelled that do not exist"));
        return;
    }
    if (!lookup->tombstone.addCancellation(claim)) {
        lookup->reply(this->unavailable("too many customers have cancelled a job with this id"));
        return;
    }
    this->writeTombstone(lookup, now);
}

bool JobApi::takeTombstoneBudget(Lookup &lookup, TimePoint now)
{
    const TombstoneBudget::Verdict verdict = this->tombstoneBudget.take(lookup.customer, now);
    if (verdict == TombstoneBudget::Verdict::FirstRefused)
        this->logger.logEvent(
            LogKind::Refusal, "limit of cancelled unknown jobs reached",
            {{"request", lookup.job}, {"queue", lookup.queue}, {"customer", lookup.customer}}, now);
    lookup.hasTombstoneBudget = verdict == TombstoneBudget::Verdict::Granted;
    return lookup.hasTombstoneBudget;
}

void JobApi::writeTombstone(const std::shared_ptr<Lookup> &lookup, TimePoint now)
{
    const std::string key = StoreKeys::job(lookup->job);
    Tasks::StoreCommit commit;
    commit.checks.push_back({key, lookup->keyRevision});
    commit.writes.push_back({key, Tasks::encodeTombstone(lookup->tombstone), 0});
    this->commitCancellation(lookup, commit, &JobApi::writeTombstone, ReplyKind::NoSuchJob, now);
}

/// The write requires the job's record, so that it can't be executed after the record was removed:
/// nobody would remove the cancellation then, and a later leader would apply it to a new job with
/// the same id.
void JobApi::writeCancellation(const std::shared_ptr<Lookup> &lookup, TimePoint now)
{
    Tasks::StoreCommit commit;
    commit.checks.push_back({StoreKeys::job(lookup->job), lookup->keyRevision});
    commit.writes.push_back({StoreKeys::cancellation(lookup->job), lookup->customer, 0});
    this->commitCancellation(lookup, commit, &JobApi::writeCancellation, ReplyKind::Cancelled, now);
}

/// Sends the commit, and replies with `stored` once it is executed. `step` sends it again.
void JobApi::commitCancellation(const std::shared_ptr<Lookup> &lookup,
                                const Tasks::StoreCommit &commit, LookupStep step, ReplyKind stored,
                                TimePoint now)
{
    const Duration timeout = this->storeTime(lookup->call.deadline, now);
    if (timeout <= Duration{}) {
        this->retryLookup(lookup, step, now);
        return;
    }
    const auto answerHandler
        = [this, lookup, step, stored](const StoreAnswer &answer, TimePoint at) {
              if (answer.outcome == StoreOutcome::Conflict) {
                  this->cancelStored(lookup, answer.find(StoreKeys::job(lookup->job)), at);
                  return;
              }
              if (answer.outcome != StoreOutcome::Done) {
                  lookup->hasUnansweredWrite
                      = lookup->hasUnansweredWrite || answer.outcome == StoreOutcome::Unknown;
                  this->retryLookup(lookup, step, at);
                  return;
              }
              const bool isUnknownJob = stored == ReplyKind::NoSuchJob;
              this->logger.logEvent(LogKind::Request,
                                    isUnknownJob ? "cancellation of an unknown job stored"
                                                 : "cancellation stored",
                                    {{"request", lookup->job},
                                     {"keyRevision", lookup->keyRevision},
                                     {"tookMs", toMs(at - lookup->receivedAt)}},
                                    at);
              lookup->reply({.kind = stored});
          };
    this->store.commit(commit, timeout, answerHandler);
}

} // namespace Hibiscus::Coordination
