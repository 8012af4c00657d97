#include <Coordination/JobApi.h>
#include <Coordination/StoreKeys.h>
#include <Tasks/JobRecord.h>
#include <Tasks/JobTombstone.h>
#include <Tasks/WaitForecast.h>

#include <algorithm>

// Submission of jobs by JobApi: one conditional write to the store accepts a job or refuses it.
namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::ConfigurationIndex;
using Tasks::Customer;
using Tasks::Job;
using Tasks::Queue;
using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;

namespace {

/// Unanswered attempts to store a submission before the client is told to retry: another instance
/// may be able to reach the store.
constexpr int maxUnansweredAttempts = 3;
/// Attempts to store a submission that the store may refuse before the job is refused.
constexpr int maxRefusedAttempts = 2;

} // namespace

/// A submission whose record is not yet known to be stored.
struct JobApi::Submission
{
    ClientCall call;
    ReplyHandler reply;
    Job job;
    Tasks::AdmissionDecision verdict;
    /// The tombstone under the job's key that this submission replaces, and its revision; 0 if
    /// there is none.
    Tasks::JobTombstone replaced;
    std::int64_t replacedRevision = 0;
    TimePoint receivedAt{};
    int unansweredAttempts = 0;
    int refusedAttempts = 0;

    bool isFirstAnswer() const
    {
        return this->unansweredAttempts == 0 && this->refusedAttempts == 0
            && this->replacedRevision == 0;
    }

    Tasks::JobClaim claim() const { return {this->job.queue, this->job.customer}; }

    /// The tombstone that is stored if the job is refused. Other callers' cancellations stay.
    Tasks::JobTombstone refusal() const
    {
        Tasks::JobTombstone tombstone = this->replaced;
        tombstone.isRefused = true;
        return tombstone;
    }
};

void JobApi::startSubmission(const ClientCall &call, const ReplyHandler &reply,
                             const ConfigurationIndex::Match &match, const Customer *customer,
                             TimePoint now)
{
    tl::expected<Job, std::string> job = this->decoders.submission(call.body);
    const bool hasJobId = this->decoders.isJobId(match.jobId);
    if (!hasJobId || !job) {
        const std::string error = hasJobId ? job.error() : "the path has no valid job id";
        this->logger.logEvent(LogKind::Request, "job refused",
                              {{"request", match.jobId}, {"error", error}}, now);
        reply({.kind = ReplyKind::Malformed, .error = error});
        return;
    }
    const auto submission = std::make_shared<Submission>();
    submission->call = call;
    submission->reply = reply;
    submission->receivedAt = now;
    submission->job = std::move(*job);
    const Queue &queue = *match.queue;
    Job &accepted = submission->job;
    accepted.id = match.jobId;
    accepted.queue = queue.name;
    accepted.service = queue.service;
    accepted.customer = customer ? customer->name : std::string();
    accepted.priority = queue.priority;
    accepted.maxAttempts = std::max(1, queue.maxAttempts);
    accepted.stretch = queue.stretch;
    accepted.targetLatency = queue.targetLatency;
    accepted.permits = queue.permits;
    accepted.acceptedAt = this->wallClock.nowMs();
    this->checkAdmission(*submission, now);
    this->submit(submission, now);
}

/// Admission control: refuses a job that could only be started too late. The refusal is stored
/// under the job's key, so that a delayed earlier attempt to store the same job fails its revision
/// check.
void JobApi::checkAdmission(Submission &submission, TimePoint now)
{
    submission.verdict = {};
    const auto wait = this->forecasts.find(submission.job.queue);
    if (wait == this->forecasts.end()
        || now > this->forecastReadAt + this->settings.forecastValidity)
        return;
    submission.verdict = Tasks::decideAdmission(submission.job, wait->second);
    if (submission.verdict.admitted)
        return;
    this->logger.logEvent(LogKind::Request, "job to be refused for load",
                          {{"request", submission.job.id},
                           {"queue", submission.job.queue},
                           {"forecastWaitMs", toMs(wait->second.wait)},
                           {"typicalChainMs", toMs(wait->second.typicalCriticalPath)},
                           {"forecastAgeMs", toMs(now - this->forecastReadAt)},
                           {"retryAfterMs", toMs(submission.verdict.retryAfter)}},
                          now);
}

void JobApi::submit(const std::shared_ptr<Submission> &submission, TimePoint now)
{
    const Duration timeout
        = std::min(this->submitTimeout.ofAttempt(submission->unansweredAttempts + 1),
                   this->timeLeft(submission->call.deadline, now));
    if (timeout <= Duration{}) {
        this->retrySubmit(submission, now);
        return;
    }
    const std::string key = StoreKeys::job(submission->job.id);
    Tasks::StoreCommit commit;
    commit.checks.push_back({key, submission->replacedRevision});
    // Rejects the write if the configuration has changed, so that no job is stored with a revoked
    // API key or for a removed queue.
    commit.checks.push_back(
        {this->settings.configurationKey, this->currentDirectory->configuration().revision});
    const bool admitted = submission->verdict.admitted;
    const std::string record = admitted ? Tasks::encodeJob(submission->job)
                                        : Tasks::encodeTombstone(submission->refusal());
    commit.writes.push_back({key, record, 0});
    this->store.commit(commit, timeout,
                       [this, submission, sentAt = now](const StoreAnswer &answer, TimePoint at) {
                           if (answer.outcome != StoreOutcome::Unknown)
                               this->submitTimeout.recordAnswer(at - sentAt);
                           this->handleSubmitAnswer(submission, answer, at);
                       });
}

ClientReply JobApi::storedReply(const Submission &submission) const
{
    if (submission.verdict.admitted)
        return {.kind = ReplyKind::Accepted};
    return this->refusedReply(submission);
}

ClientReply JobApi::refusedReply(const Submission &submission) const
{
    ClientReply reply;
    reply.kind = ReplyKind::NotRun;
    reply.retryAfter
        = submission.verdict.admitted ? this->settings.retryAfter : submission.verdict.retryAfter;
    reply.error = "too much work is waiting for the job to start in time";
    return reply;
}

void JobApi::handleSubmitAnswer(const std::shared_ptr<Submission> &submission,
                                const StoreAnswer &answer, TimePoint now)
{
    switch (answer.outcome) {
    case StoreOutcome::Done:
        this->finishSubmit(submission, this->storedReply(*submission), now);
        return;
    case StoreOutcome::Conflict:
        this->handleSubmitConflict(submission, answer, now);
        return;
    case StoreOutcome::Unknown:
        submission->unansweredAttempts++;
        break;
    default:
        submission->refusedAttempts++;
        break;
    }
    this->retrySubmit(submission, now);
}

void JobApi::handleSubmitConflict(const std::shared_ptr<Submission> &submission,
                                  const StoreAnswer &answer, TimePoint now)
{
    const StoredItem *stored = answer.find(StoreKeys::job(submission->job.id));
    const std::optional<Tasks::JobTombstone> tombstone
        = stored ? Tasks::decodeTombstone(stored->value) : std::nullopt;
    if (tombstone && stored->revision != submission->replacedRevision) {
        this->submitOverTombstone(submission, *tombstone, stored->revision, now);
        return;
    }
    // A tombstone that is to be replaced is the known one, so the configuration has changed.
    if (tombstone)
        stored = nullptr;
    if (stored) {
        const tl::expected<Job, std::string> known = Tasks::decodeJob(stored->value);
        const bool sameCustomer = known && known->customer == submission->job.customer;
        this->finishSubmit(
            submission, {.kind = sameCustomer ? ReplyKind::Accepted : ReplyKind::ForeignJob}, now);
        return;
    }
    if (const StoredItem *item = answer.find(this->settings.configurationKey))
        this->updateConfiguration(*item, now);
    // Every earlier attempt requires the older configuration revision, so none of them can succeed
    // any more. The request is routed again under the new configuration.
    this->route(submission->call, submission->reply, now);
}

/// Replaces a refusal only if the first attempt of the call meets it: the client then submits a job
/// again that was refused earlier. A refusal that a later attempt meets may have been stored by
/// another instance in the meantime, for the same client, which may have been told that the job
/// never runs. The key's revision keeps the earlier attempts of this call from being carried out.
///
/// A job whose caller has cancelled it is not accepted: its submission may be a delayed copy of the
/// one that was cancelled. Cancellations by other callers do not concern it.
void JobApi::submitOverTombstone(const std::shared_ptr<Submission> &submission,
                                 const Tasks::JobTombstone &tombstone, std::int64_t revision,
                                 TimePoint now)
{
    if (tombstone.isCancelledFor(submission->claim())) {
        this->finishSubmit(submission,
                           {.kind = ReplyKind::NotRun, .error = "the job was cancelled"}, now);
        return;
    }
    if (tombstone.isRefused && !submission->isFirstAnswer()) {
        this->finishSubmit(submission, this->refusedReply(*submission), now);
        return;
    }
    submission->replaced = tombstone;
    submission->replacedRevision = revision;
    this->submit(submission, now);
}

void JobApi::retrySubmit(const std::shared_ptr<Submission> &submission, TimePoint now)
{
    const bool timeIsUp
        = this->timeLeft(submission->call.deadline, now) <= this->settings.retryDelay;
    const bool giveUp = timeIsUp || submission->unansweredAttempts >= maxUnansweredAttempts
        || submission->refusedAttempts >= maxRefusedAttempts;
    if (!giveUp) {
        this->timers.after(this->settings.retryDelay,
                           [this, submission](TimePoint at) { this->submit(submission, at); });
        return;
    }
    if (submission->unansweredAttempts > 0) {
        this->finishSubmit(submission,
                           {.kind = ReplyKind::Undecided,
                            .error = "the store did not answer; retry with the same job id"},
                           now);
        return;
    }
    ClientReply reply;
    reply.kind = ReplyKind::NotRun;
    reply.retryAfter = this->settings.retryAfter;
    reply.error = "the store did not accept the job";
    this->finishSubmit(submission, reply, now);
}

void JobApi::finishSubmit(const std::shared_ptr<Submission> &submission, const ClientReply &reply,
                          TimePoint now)
{
    this->logger.logEvent(LogKind::Request, "job submitted",
                          {{"request", submission->job.id},
                           {"queue", submission->job.queue},
                           {"customer", submission->job.customer},
                           {"outcome", nameOf(reply.kind)},
                           {"configuration", this->currentDirectory->configuration().version},
                           {"configurationAgeMs", this->configurationAgeMs(now)},
                           {"unanswered", submission->unansweredAttempts},
                           {"refused", submission->refusedAttempts},
                           {"tookMs", toMs(now - submission->receivedAt)}},
                          now);
    submission->reply(reply);
}

} // namespace Hibiscus::Coordination
