#include <Coordination/JobApi.h>
#include <Coordination/StoreKeys.h>
#include <Core/JsonText.h>
#include <Tasks/JobRecord.h>
#include <Tasks/JobTombstone.h>

#include <algorithm>

// The requests of JobApi that only read the store: job status and pending counts.
namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::StoreAnswer;
using Tasks::StoreOutcome;

namespace {

/// Failed store calls of one lookup after which the client is told that the store is unavailable.
constexpr int maxUnansweredAttempts = 2;

ClientReply undecidedCancellation()
{
    return {.kind = ReplyKind::Undecided,
            .error = "the store did not answer; the job may be cancelled later; retry"};
}

} // namespace

void JobApi::retryLookup(const std::shared_ptr<Lookup> &lookup, LookupStep step, TimePoint now)
{
    lookup->failures++;
    const bool timeIsUp = this->timeLeft(lookup->call.deadline, now) <= this->settings.retryDelay;
    if (timeIsUp || lookup->failures > maxUnansweredAttempts) {
        this->logger.logEvent(LogKind::Request, "state not read",
                              {{"request", lookup->job},
                               {"call", nameOf(lookup->call.verb)},
                               {"failures", lookup->failures},
                               {"tookMs", toMs(now - lookup->receivedAt)}},
                              now);
        lookup->reply(lookup->hasUnansweredWrite ? undecidedCancellation()
                                                 : this->unavailable("the store does not answer"));
        return;
    }
    this->timers.after(this->settings.retryDelay,
                       [this, lookup, step](TimePoint at) { (this->*step)(lookup, at); });
}

void JobApi::readState(const std::shared_ptr<Lookup> &lookup, TimePoint now)
{
    const Duration timeout = this->storeTime(lookup->call.deadline, now);
    const auto answerHandler = [this, lookup](const StoreAnswer &answer, TimePoint at) {
        if (answer.outcome == StoreOutcome::Absent) {
            this->readJob(lookup, at);
            return;
        }
        if (answer.outcome != StoreOutcome::Done || answer.items.empty()) {
            this->retryLookup(lookup, &JobApi::readState, at);
            return;
        }
        const tl::expected<Tasks::JobState, std::string> state
            = Tasks::decodeProgressState(answer.items.front().value);
        if (!state) {
            this->logger.logEvent(LogKind::Fault, "progress record can't be read",
                                  {{"request", lookup->job}, {"error", state.error()}}, at);
            lookup->reply(this->unavailable("the job's record can't be read"));
            return;
        }
        lookup->reply({.kind = ReplyKind::State, .state = *state});
    };
    this->store.read(StoreKeys::progressOf(lookup->job), timeout, answerHandler);
}

void JobApi::readJob(const std::shared_ptr<Lookup> &lookup, TimePoint now)
{
    const Duration timeout = this->storeTime(lookup->call.deadline, now);
    const auto answerHandler = [this, lookup](const StoreAnswer &answer, TimePoint at) {
        const bool isTombstone = answer.outcome == StoreOutcome::Done && !answer.items.empty()
            && Tasks::decodeTombstone(answer.items.front().value);
        if (answer.outcome == StoreOutcome::Absent || isTombstone)
            lookup->reply({.kind = ReplyKind::NoSuchJob});
        else if (answer.outcome == StoreOutcome::Done)
            lookup->reply({.kind = ReplyKind::State});
        else
            this->retryLookup(lookup, &JobApi::readState, at);
    };
    this->store.read(StoreKeys::job(lookup->job), timeout, answerHandler);
}

void JobApi::countPending(const std::shared_ptr<Lookup> &lookup, TimePoint now)
{
    const Duration timeout = this->storeTime(lookup->call.deadline, now);
    const auto replyCount = [this, lookup] {
        const nlohmann::json counts = parseJson(this->pendingCounts);
        ClientReply reply{.kind = ReplyKind::Pending};
        if (counts.is_object() && counts.contains(lookup->queue))
            reply.pending = integerOf(counts[lookup->queue]).value_or(0);
        lookup->reply(reply);
    };
    if (this->pendingKnown && now - this->pendingReadAt < this->settings.pendingCountsValidity) {
        replyCount();
        return;
    }
    const auto answerHandler = [this, lookup, replyCount](const StoreAnswer &answer, TimePoint at) {
        const bool known = answer.outcome == StoreOutcome::Absent
            || (answer.outcome == StoreOutcome::Done && !answer.items.empty());
        if (!known) {
            this->retryLookup(lookup, &JobApi::countPending, at);
            return;
        }
        this->pendingCounts = answer.items.empty() ? "{}" : answer.items.front().value;
        this->pendingReadAt = at;
        this->pendingKnown = true;
        replyCount();
    };
    this->store.read(StoreKeys::load, timeout, answerHandler);
}

} // namespace Hibiscus::Coordination
