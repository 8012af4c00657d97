#include <Ledger/KeeperReply.h>
#include <Ledger/ShardKeeper.h>

#include <algorithm>

namespace Hibiscus {

namespace {

constexpr Duration refusedRetryAfter = seconds(2);
/// Delay before an overdue claim is checked again while ownership of the shard is unconfirmed.
constexpr Duration claimRecheckDelay = milliseconds(100);
constexpr std::size_t maxDeferredRequests = 1024;
/// How often a job is submitted again to the dispatcher that already has it.
constexpr Duration resubmitInterval = seconds(30);
/// Delay before a lost shard is acquired again; doubles with each further loss.
constexpr Duration firstReacquireDelay = seconds(1);
constexpr std::uint32_t maxReacquireDoublings = 5;
/// A shard owned for longer than this counts as uncontended.
constexpr Duration uncontendedAfter = std::chrono::minutes(1);
/// Larger records are not written, because values in the store are limited to one megabyte.
constexpr std::size_t maxRecordBytes = std::size_t(800) * 1024;

/// Time after which a claim that is still not recorded is refused.
Duration claimTimeout(const JobKeeperSettings &settings)
{
    return 2 * settings.storeTimeout;
}

const std::string &keyOf(const KeeperRequest &request, std::string &buffer)
{
    if (const auto *message = std::get_if<SubmitJob>(&request.message)) {
        buffer = jobKey(message->spec.customer, message->spec.requestId);
        return buffer;
    }
    if (const auto *message = std::get_if<CancelJob>(&request.message))
        return message->key;
    if (const auto *message = std::get_if<QueryJob>(&request.message))
        return message->key;
    if (const auto *message = std::get_if<AssignJob>(&request.message))
        return message->key;
    return std::get<JobUpdate>(request.message).key;
}

LedgerShardSettings shardSettings(const JobKeeperSettings &settings, std::uint32_t shard)
{
    return {.prefix = settings.prefix + std::to_string(shard) + "/",
            .instance = settings.instance,
            .incarnation = settings.incarnation,
            .slots = settings.logSlots,
            .commitSpacing = settings.commitSpacing,
            .maxBatchBytes = settings.maxBatchBytes,
            .batchesPerSnapshot = settings.batchesPerSnapshot,
            .caller = {.timeout = settings.storeTimeout,
                       .firstCall = settings.shards + shard,
                       .callStep = settings.shards,
                       .seed = settings.incarnation * settings.shards + shard}};
}

} // namespace

ShardKeeper::ShardKeeper(const JobKeeperSettings &settings, std::uint32_t shard,
                         const Dispatchers &dispatchers)
    : settings(settings)
    , dispatchers(dispatchers)
    , shard(shardSettings(settings, shard))
    , random(static_cast<std::minstd_rand::result_type>(settings.incarnation % 2147483646U) + 1)
    , callCounter(settings.shards + shard)
{}

void ShardKeeper::setWanted(bool wanted, TimePoint now, KeeperActions &out)
{
    if (this->wanted == wanted)
        return;
    this->wanted = wanted;
    this->losses = 0;
    if (wanted) {
        this->shard.acquire(now);
    } else {
        this->shard.release();
        this->dropShard(out);
    }
    this->advanceShard(now, out);
}

void ShardKeeper::handle(const KeeperRequest &request, TimePoint now, KeeperActions &out)
{
    if (!this->isOwned()) {
        // Dispatchers repeat an update until it is acknowledged, so it may be dropped here.
        if (std::holds_alternative<JobUpdate>(request.message))
            return;
        // After a loss another instance probably owns the shard, so requesters should ask there.
        if (this->wanted && this->losses == 0 && this->deferred.size() < maxDeferredRequests)
            this->deferred.push_back(request);
        else
            this->sendNotOwner(request, out);
        return;
    }
    if (const auto *message = std::get_if<SubmitJob>(&request.message))
        this->submit(request, *message, now, out);
    else if (const auto *message = std::get_if<CancelJob>(&request.message))
        this->cancel(request, *message, now, out);
    else if (const auto *message = std::get_if<QueryJob>(&request.message))
        this->query(request, *message, out);
    else if (const auto *message = std::get_if<AssignJob>(&request.message))
        this->assign(request, *message, now, out);
    else if (const auto *message = std::get_if<JobUpdate>(&request.message))
        this->update(request, *message, now, out);
    this->advanceShard(now, out);
}

void ShardKeeper::sendNotOwner(const KeeperRequest &request, KeeperActions &out)
{
    if (const auto *message = std::get_if<AssignJob>(&request.message)) {
        KeeperReply::assignment(request.from, *message, false, out);
        return;
    }
    std::string buffer;
    const CallId call
        = std::visit([](const auto &message) { return message.call; }, request.message);
    KeeperReply::notOwner(request.from, call, keyOf(request, buffer), out);
}

void ShardKeeper::storeReply(CallId call, const StoreReply &reply, TimePoint now,
                             KeeperActions &out)
{
    LedgerShardEvents events;
    this->shard.storeReply(call, reply, now, out.storeCalls, events);
    this->handleEvents(events, now, out);
    this->advanceShard(now, out);
}

void ShardKeeper::tick(TimePoint now, KeeperActions &out)
{
    this->advanceShard(now, out);
    if (!this->isOwned())
        return;
    this->expireClaims(now, out);
    this->dispatchDue(now, out);
}

TimePoint ShardKeeper::nextWakeup() const
{
    TimePoint next = this->shard.nextWakeup();
    if (!this->due.empty())
        next = std::min(next, std::max(this->due.begin()->first, this->nextSubmitStep));
    if (!this->claimDeadlines.empty())
        next = std::min(next, this->claimDeadlines.begin()->first);
    return next;
}

void ShardKeeper::addTo(JobKeeper::Gauges &gauges) const
{
    gauges.storeWrites += this->shard.writeCount();
    gauges.storeReads += this->shard.readCount();
    gauges.unfinishedJobs += this->table.unfinishedCount();
    gauges.finishedJobs += this->table.finishedCount();
    gauges.waitingAppends += this->shard.waitingCount();
}

void ShardKeeper::advanceShard(TimePoint now, KeeperActions &out)
{
    LedgerShardEvents events;
    this->shard.tick(now, out.storeCalls, events);
    this->handleEvents(events, now, out);
    if (this->shard.needsSnapshot())
        this->shard.startSnapshot(this->table.snapshot(now, this->settings.finishedRetention));
    // Writes records that the event handlers have appended, if no call is in flight.
    LedgerShardEvents none;
    this->shard.tick(now, out.storeCalls, none);
}

void ShardKeeper::handleEvents(LedgerShardEvents &events, TimePoint now, KeeperActions &out)
{
    if (events.lost) {
        this->dropShard(out);
        if (now - this->ownedSince > uncontendedAfter)
            this->losses = 0;
        const std::uint32_t doublings = std::min(this->losses, maxReacquireDoublings);
        ++this->losses;
        const Duration longest = firstReacquireDelay * (1U << doublings);
        const Duration half = longest / 2;
        const Duration jitter(this->random() % static_cast<std::uint64_t>(half.count()));
        this->shard.acquire(now + half + jitter);
        return;
    }
    if (events.loaded) {
        this->handleLoaded(events.records, now, out);
        return;
    }
    for (const LedgerRecord &record : events.records)
        this->handleRecorded(record, now, out);
}

void ShardKeeper::handleLoaded(const std::vector<LedgerRecord> &records, TimePoint now,
                               KeeperActions &out)
{
    this->ownedSince = now;
    this->table.clear();
    for (const LedgerRecord &record : records)
        this->table.apply(record, now);
    for (auto &[key, job] : this->table.all()) {
        if (!job.isFinished())
            this->schedule(job, key, now);
    }
    const std::vector<KeeperRequest> requests = std::move(this->deferred);
    this->deferred.clear();
    for (const KeeperRequest &request : requests)
        this->handle(request, now, out);
}

void ShardKeeper::dropShard(KeeperActions &out)
{
    for (const auto &[key, job] : this->table.all()) {
        for (const JobRequester &requester : job.requesters)
            KeeperReply::notOwner(requester.instance, requester.call, key, out);
        if (job.pendingAssign)
            KeeperReply::assignment(job.pendingAssign->from.instance, job.pendingAssign->message,
                                    false, out);
    }
    for (const KeeperRequest &request : this->deferred)
        this->sendNotOwner(request, out);
    this->deferred.clear();
    this->table.clear();
    this->due.clear();
    this->claimDeadlines.clear();
}

bool ShardKeeper::hasRoom() const
{
    // Final answers and assignments may use as much space again as claims. Beyond that their
    // senders have to repeat them.
    return this->shard.waitingCount() < 2 * this->settings.maxQueuedAppends;
}

void ShardKeeper::submit(const KeeperRequest &request, const SubmitJob &message, TimePoint now,
                         KeeperActions &out)
{
    const std::string key = jobKey(message.spec.customer, message.spec.requestId);
    const std::uint64_t digest = specDigest(message.spec);
    LedgerJob *job = this->table.find(key);
    if (!job) {
        this->claim(request, message, key, digest, now, out);
        return;
    }
    if (job->digest != digest) {
        const JobAnswer taken{.status = JobStatus::NotRun,
                              .reason = "the request id is taken by another request"};
        KeeperReply::answer(request.from, message.call, key, taken, out);
        return;
    }
    if (!job->isFinished())
        job->addRequester({.instance = request.from, .call = message.call});
    if (job->durable)
        KeeperReply::jobState(request.from, message.call, key, *job, out);
}

void ShardKeeper::claim(const KeeperRequest &request, const SubmitJob &message,
                        const std::string &key, std::uint64_t digest, TimePoint now,
                        KeeperActions &out)
{
    const JobRequester requester{.instance = request.from, .call = message.call};
    if (const JobAnswer *refusal = this->refusedKeys.find(key, now)) {
        KeeperReply::answer(request.from, message.call, key, *refusal, out);
        return;
    }
    if (this->shard.isUnanswered()) {
        this->refuseClaim(requester, key,
                          "the request cannot be recorded while the store does not answer",
                          refusedRetryAfter, now, out);
        return;
    }
    if (this->shard.waitingCount() >= this->settings.maxQueuedAppends) {
        this->refuseClaim(requester, key, "too many requests wait to be recorded",
                          refusedRetryAfter, now, out);
        return;
    }
    ClaimRecord record{.key = key, .dataCenter = request.dataCenter, .spec = message.spec};
    std::string text = encodeRecord(record);
    if (text.size() > this->settings.maxBatchBytes) {
        this->refuseClaim(requester, key, "the request is too large to be recorded", std::nullopt,
                          now, out);
        return;
    }
    LedgerJob &job = this->table.add(key);
    job.digest = digest;
    job.addRequester(requester);
    job.claimAppend = this->shard.append(std::move(record), std::move(text));
    this->claimDeadlines.emplace(now + claimTimeout(this->settings), key);
}

void ShardKeeper::refuseClaim(const JobRequester &requester, const std::string &key,
                              const std::string &reason, std::optional<Duration> retryAfter,
                              TimePoint now, KeeperActions &out)
{
    const JobAnswer answer{.status = JobStatus::NotRun, .reason = reason, .retryAfter = retryAfter};
    this->refusedKeys.add(key, answer, now, refusedRetryAfter);
    KeeperReply::answer(requester.instance, requester.call, key, answer, out);
}

void ShardKeeper::expireClaims(TimePoint now, KeeperActions &out)
{
    while (!this->claimDeadlines.empty() && this->claimDeadlines.begin()->first <= now) {
        const std::string key = this->claimDeadlines.begin()->second;
        this->claimDeadlines.erase(this->claimDeadlines.begin());
        LedgerJob *job = this->table.find(key);
        if (!job || !job->claimAppend)
            continue;
        // After a pause of this process another owner may have recorded the claim. The next reply
        // of the store confirms or ends the ownership.
        const bool confirmed = now - this->shard.confirmedAt() < claimTimeout(this->settings);
        if (!confirmed && !this->shard.isUnanswered()) {
            this->claimDeadlines.emplace(now + claimRecheckDelay, key);
            continue;
        }
        if (!this->shard.withdraw(*job->claimAppend)) {
            // The claim may be durable. A final answer is impossible before the store has replied.
            const JobAnswer unsettled{.status = JobStatus::Unknown,
                                      .reason = "the store has not confirmed the request yet"};
            for (const JobRequester &requester : job->requesters)
                KeeperReply::answer(requester.instance, requester.call, key, unsettled, out);
            continue;
        }
        for (const JobRequester &requester : job->requesters)
            this->refuseClaim(requester, key, "the request could not be recorded in time",
                              refusedRetryAfter, now, out);
        this->table.remove(key);
    }
}

void ShardKeeper::cancel(const KeeperRequest &request, const CancelJob &message, TimePoint now,
                         KeeperActions &out)
{
    LedgerJob *job = this->table.find(message.key);
    if (!job || job->isFinished()) {
        this->sendState(request.from, message.call, message.key, job, out);
        return;
    }
    job->addRequester({.instance = request.from, .call = message.call});
    job->cancelled = true;
    // A claim that is being recorded is not withdrawn. Only a recorded final answer keeps delayed
    // copies of the request from starting the job after it was answered with NotRun.
    if (!job->durable || job->endPending)
        return;
    if (job->dispatcher)
        KeeperReply::cancel(job->dispatcher->instance, this->nextCall(), message.key, out);
    // The dispatcher starts a job only after its assignment is recorded, and from here on no
    // assignment is accepted. So an unassigned job can be answered with NotRun without asking the
    // dispatcher.
    if (job->isProvenUnstarted())
        this->finish(*job, message.key,
                     {.status = JobStatus::NotRun, .reason = "cancelled by its caller"});
    else
        this->schedule(*job, message.key, now);
}

void ShardKeeper::sendState(const std::string &to, CallId call, const std::string &key,
                            const LedgerJob *job, KeeperActions &out)
{
    const JobAnswer unknown{.status = JobStatus::Unknown, .reason = "no such request"};
    if (job)
        KeeperReply::jobState(to, call, key, *job, out);
    else
        KeeperReply::answer(to, call, key, unknown, out);
}

void ShardKeeper::query(const KeeperRequest &request, const QueryJob &message, KeeperActions &out)
{
    LedgerJob *job = this->table.find(message.key);
    if (job && !job->isFinished())
        job->addRequester({.instance = request.from, .call = message.call});
    this->sendState(request.from, message.call, message.key, job, out);
}

void ShardKeeper::assign(const KeeperRequest &request, const AssignJob &message, TimePoint now,
                         KeeperActions &out)
{
    const DispatcherId from{.instance = request.from, .incarnation = message.dispatcherIncarnation};
    LedgerJob *job = this->table.find(message.key);
    const LedgerJob::AssignVerdict verdict
        = job ? job->checkAssign(from, message) : LedgerJob::AssignVerdict::Refuse;
    if (verdict == LedgerJob::AssignVerdict::Refuse) {
        KeeperReply::assignment(request.from, message, false, out);
        // A dispatcher drops the job when its assignment is refused, so submit the job again.
        if (job && job->dispatcher == from)
            this->schedule(*job, message.key, now + this->settings.commitSpacing);
        return;
    }
    // The dispatcher has the job now. It may drop the job while this keeper is paused or
    // partitioned, without a change of its name or incarnation, so the job is submitted again at
    // long intervals.
    if (!job->cancelled)
        this->schedule(*job, message.key, now + resubmitInterval);
    if (verdict == LedgerJob::AssignVerdict::Repeat)
        KeeperReply::assignment(request.from, message, true, out);
    // If the queue is full or the assignment is being recorded, the dispatcher repeats its request.
    if (verdict != LedgerJob::AssignVerdict::Record || !this->hasRoom())
        return;
    job->pendingAssign = PendingAssign{.from = from, .message = message};
    LedgerRecord record = UnassignRecord{.key = message.key, .attempt = message.attempt};
    if (!message.places.empty())
        record = AssignRecord{
            .key = message.key, .attempt = message.attempt, .places = message.places};
    std::string text = encodeRecord(record);
    this->shard.append(std::move(record), std::move(text));
}

void ShardKeeper::update(const KeeperRequest &request, const JobUpdate &message, TimePoint now,
                         KeeperActions &out)
{
    LedgerJob *job = this->table.find(message.key);
    // Either there is no such durable job, or another owner that this keeper does not know of yet
    // has recorded it. The dispatcher repeats the update until it is acknowledged.
    if (!job || !job->durable)
        return;
    const bool final = isFinal(message.answer.status) && !message.notOwner;
    if (job->isFinished()) {
        KeeperReply::jobState(request.from, message.call, message.key, *job, out);
        return;
    }
    if (!final) {
        if (job->dispatcher && job->dispatcher->instance == request.from)
            this->handleProgress(*job, message.key, message, now, out);
        return;
    }
    if (!job->endPending) {
        if (!job->acceptsEndFrom(request.from, message.answer.status)) {
            KeeperReply::jobState(request.from, message.call, message.key, *job, out);
            return;
        }
        // If the queue is full, the update is dropped. The dispatcher repeats it until it is
        // acknowledged.
        if (!this->hasRoom())
            return;
        this->finish(*job, message.key, message.answer);
    }
    const JobRequester reporter{.instance = request.from, .call = message.call};
    if (std::find(job->reporters.begin(), job->reporters.end(), reporter) == job->reporters.end())
        job->reporters.push_back(reporter);
}

void ShardKeeper::handleProgress(LedgerJob &job, const std::string &key, const JobUpdate &message,
                                 TimePoint now, KeeperActions &out)
{
    if (message.notOwner) {
        const TimePoint soon = now + this->settings.storeTimeout;
        if (!job.dueAt || *job.dueAt > soon)
            this->schedule(job, key, soon);
        return;
    }
    job.unansweredSubmits = 0;
    // A cancelled job keeps its short interval, since a lost cancellation is repeated until the job
    // ends.
    if (!job.cancelled)
        this->schedule(job, key, now + resubmitInterval);
    const bool running = message.answer.status == JobStatus::Running;
    if (running == job.running)
        return;
    job.running = running;
    for (const JobRequester &requester : job.requesters)
        KeeperReply::jobState(requester.instance, requester.call, key, job, out);
}

void ShardKeeper::finish(LedgerJob &job, const std::string &key, const JobAnswer &answer)
{
    job.endPending = true;
    FinishRecord record{.key = key, .digest = job.digest, .answer = answer};
    std::string text = encodeRecord(record);
    if (text.size() > maxRecordBytes) {
        // Later requesters can only get what was recorded, so all requesters get this same answer.
        record.answer = {.status = JobStatus::Failed,
                         .reason = "ran to its end, but its answer is too large to be kept"};
        text = encodeRecord(record);
    }
    this->shard.append(std::move(record), std::move(text));
}

} // namespace Hibiscus
