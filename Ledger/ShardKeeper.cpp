#include <Ledger/KeeperReply.h>
#include <Ledger/ShardKeeper.h>

#include <algorithm>

namespace Hibiscus {

namespace {

constexpr Duration refusedRetryAfter = seconds(2);
constexpr Duration claimRecheck = milliseconds(100);
constexpr std::size_t mostDeferred = 1024;
/// How often a job is offered again to the dispatcher that has it.
constexpr Duration heldJobCheck = seconds(30);
constexpr Duration shortestPauseAfterLoss = seconds(1);
constexpr std::uint32_t mostPauseDoublings = 5;
/// A shard held for longer was not contended for.
constexpr Duration quietAfter = std::chrono::minutes(1);
/// Larger records are not written: the store's values end at a megabyte.
constexpr std::size_t largestRecord = std::size_t(800) * 1024;

/// How long a claim waits to be recorded before it is refused.
Duration claimPatience(const JobKeeperSettings &settings)
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
        this->abandon(out);
    }
    this->settle(now, out);
}

void ShardKeeper::handle(const KeeperRequest &request, TimePoint now, KeeperActions &out)
{
    if (!this->isOwned()) {
        // Dispatchers repeat their reports until these are acknowledged.
        if (std::holds_alternative<JobUpdate>(request.message))
            return;
        // After a loss another owner is likely; those who ask are better off asking there.
        if (this->wanted && this->losses == 0 && this->deferred.size() < mostDeferred)
            this->deferred.push_back(request);
        else
            this->refuse(request, out);
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
    this->settle(now, out);
}

void ShardKeeper::refuse(const KeeperRequest &request, KeeperActions &out)
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
    this->process(events, now, out);
    this->settle(now, out);
}

void ShardKeeper::tick(TimePoint now, KeeperActions &out)
{
    this->settle(now, out);
    if (!this->isOwned())
        return;
    this->settleOverdueClaims(now, out);
    this->dispatchDue(now, out);
}

TimePoint ShardKeeper::nextWakeup() const
{
    TimePoint next = this->shard.nextWakeup();
    if (!this->due.empty())
        next = std::min(next, std::max(this->due.begin()->first, this->nextHandover));
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

void ShardKeeper::settle(TimePoint now, KeeperActions &out)
{
    LedgerShardEvents events;
    this->shard.tick(now, out.storeCalls, events);
    this->process(events, now, out);
    if (this->shard.wantsSnapshot())
        this->shard.startSnapshot(this->table.snapshot(now, this->settings.finishedRetention));
    // What processing has added goes out at once if the shard is idle.
    LedgerShardEvents none;
    this->shard.tick(now, out.storeCalls, none);
}

void ShardKeeper::process(LedgerShardEvents &events, TimePoint now, KeeperActions &out)
{
    if (events.lost) {
        this->abandon(out);
        if (now - this->ownedSince > quietAfter)
            this->losses = 0;
        const std::uint32_t doublings = std::min(this->losses, mostPauseDoublings);
        ++this->losses;
        const Duration longest = shortestPauseAfterLoss * (1U << doublings);
        const Duration half = longest / 2;
        const Duration jitter(this->random() % static_cast<std::uint64_t>(half.count()));
        this->shard.acquire(now + half + jitter);
        return;
    }
    if (events.loaded) {
        this->loaded(events.records, now, out);
        return;
    }
    for (const LedgerRecord &record : events.records)
        this->recorded(record, now, out);
}

void ShardKeeper::loaded(const std::vector<LedgerRecord> &records, TimePoint now,
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

void ShardKeeper::abandon(KeeperActions &out)
{
    for (const auto &[key, job] : this->table.all()) {
        for (const JobRequester &requester : job.requesters)
            KeeperReply::notOwner(requester.instance, requester.call, key, out);
        if (job.pendingAssign)
            KeeperReply::assignment(job.pendingAssign->from.instance, job.pendingAssign->message,
                                    false, out);
    }
    for (const KeeperRequest &request : this->deferred)
        this->refuse(request, out);
    this->deferred.clear();
    this->table.clear();
    this->due.clear();
    this->claimDeadlines.clear();
}

bool ShardKeeper::hasRoom() const
{
    // Ends and assignments may fill as much again as claims; beyond that their senders keep them.
    return this->shard.waitingCount() < 2 * this->settings.maxQueuedAppends;
}

void ShardKeeper::submit(const KeeperRequest &request, const SubmitJob &message, TimePoint now,
                         KeeperActions &out)
{
    const std::string key = jobKey(message.spec.customer, message.spec.requestId);
    const std::uint64_t digest = specDigest(message.spec);
    KeptJob *job = this->table.find(key);
    if (!job) {
        this->claim(request, message, key, digest, now, out);
        return;
    }
    if (job->digest != digest) {
        const JobAnswer taken{.status = JobStatus::NotRun,
                              .reason = "the request id is taken by another request"};
        KeeperReply::news(request.from, message.call, key, taken, out);
        return;
    }
    if (!job->isFinished())
        job->addRequester({.instance = request.from, .call = message.call});
    if (job->durable)
        KeeperReply::state(request.from, message.call, key, *job, out);
}

void ShardKeeper::claim(const KeeperRequest &request, const SubmitJob &message,
                        const std::string &key, std::uint64_t digest, TimePoint now,
                        KeeperActions &out)
{
    const JobRequester requester{.instance = request.from, .call = message.call};
    if (const JobAnswer *refusal = this->refusedKeys.find(key, now)) {
        KeeperReply::news(request.from, message.call, key, *refusal, out);
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
    KeptJob &job = this->table.add(key);
    job.digest = digest;
    job.addRequester(requester);
    job.claim = this->shard.append(std::move(record), std::move(text));
    this->claimDeadlines.emplace(now + claimPatience(this->settings), key);
}

void ShardKeeper::refuseClaim(const JobRequester &requester, const std::string &key,
                              const std::string &reason, std::optional<Duration> retryAfter,
                              TimePoint now, KeeperActions &out)
{
    const JobAnswer answer{.status = JobStatus::NotRun, .reason = reason, .retryAfter = retryAfter};
    this->refusedKeys.add(key, answer, now, refusedRetryAfter);
    KeeperReply::news(requester.instance, requester.call, key, answer, out);
}

void ShardKeeper::settleOverdueClaims(TimePoint now, KeeperActions &out)
{
    while (!this->claimDeadlines.empty() && this->claimDeadlines.begin()->first <= now) {
        const std::string key = this->claimDeadlines.begin()->second;
        this->claimDeadlines.erase(this->claimDeadlines.begin());
        KeptJob *job = this->table.find(key);
        if (!job || !job->claim)
            continue;
        // After a pause another owner may have the claim; the store will tell in a moment.
        const bool confirmed = now - this->shard.confirmedAt() < claimPatience(this->settings);
        if (!confirmed && !this->shard.isUnanswered()) {
            this->claimDeadlines.emplace(now + claimRecheck, key);
            continue;
        }
        if (!this->shard.withdraw(*job->claim)) {
            // It may be durable. Nothing final can be said before the store has answered.
            const JobAnswer unsettled{.status = JobStatus::Unknown,
                                      .reason = "the store has not confirmed the request yet"};
            for (const JobRequester &requester : job->requesters)
                KeeperReply::news(requester.instance, requester.call, key, unsettled, out);
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
    KeptJob *job = this->table.find(message.key);
    if (!job || job->isFinished()) {
        this->tell(request.from, message.call, message.key, job, out);
        return;
    }
    job->addRequester({.instance = request.from, .call = message.call});
    job->cancelled = true;
    // A claim on its way is not withdrawn: only a recorded end keeps other calls with the same key,
    // wherever they are delayed, from starting the work after it was called "not run".
    if (!job->durable || job->ending)
        return;
    if (job->dispatcher)
        KeeperReply::cancel(job->dispatcher->instance, this->nextCall(), message.key, out);
    // The dispatcher starts nothing without a recorded assignment, and none is accepted from here
    // on, so an unassigned job needs nobody's word to be called not run.
    if (job->isProvenUnstarted())
        this->finish(*job, message.key,
                     {.status = JobStatus::NotRun, .reason = "cancelled by its caller"});
    else
        this->schedule(*job, message.key, now);
}

void ShardKeeper::tell(const std::string &to, CallId call, const std::string &key,
                       const KeptJob *job, KeeperActions &out)
{
    const JobAnswer unknown{.status = JobStatus::Unknown, .reason = "no such request"};
    if (job)
        KeeperReply::state(to, call, key, *job, out);
    else
        KeeperReply::news(to, call, key, unknown, out);
}

void ShardKeeper::query(const KeeperRequest &request, const QueryJob &message, KeeperActions &out)
{
    KeptJob *job = this->table.find(message.key);
    if (job && !job->isFinished())
        job->addRequester({.instance = request.from, .call = message.call});
    this->tell(request.from, message.call, message.key, job, out);
}

void ShardKeeper::assign(const KeeperRequest &request, const AssignJob &message, TimePoint now,
                         KeeperActions &out)
{
    const DispatcherId from{.instance = request.from, .incarnation = message.dispatcherIncarnation};
    KeptJob *job = this->table.find(message.key);
    const KeptJob::AssignVerdict verdict
        = job ? job->judge(from, message) : KeptJob::AssignVerdict::Refuse;
    if (verdict == KeptJob::AssignVerdict::Refuse) {
        KeeperReply::assignment(request.from, message, false, out);
        // A refused dispatcher forgets the job.
        if (job && job->dispatcher == from)
            this->schedule(*job, message.key, now + this->settings.commitSpacing);
        return;
    }
    // It has the job now. It may forget it while this keeper is paused or cut off, under the same
    // name and incarnation, so the job is offered again, rarely.
    if (!job->cancelled)
        this->schedule(*job, message.key, now + heldJobCheck);
    if (verdict == KeptJob::AssignVerdict::Repeat)
        KeeperReply::assignment(request.from, message, true, out);
    // Without room, as with one that is being recorded, the dispatcher asks again.
    if (verdict != KeptJob::AssignVerdict::Record || !this->hasRoom())
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
    KeptJob *job = this->table.find(message.key);
    // Either no durable job, or recorded by another owner whom this one does not know of yet. A
    // dispatcher repeats its report until it is acknowledged.
    if (!job || !job->durable)
        return;
    const bool final = isFinal(message.answer.status) && !message.notOwner;
    if (job->isFinished()) {
        KeeperReply::state(request.from, message.call, message.key, *job, out);
        return;
    }
    if (!final) {
        if (job->dispatcher && job->dispatcher->instance == request.from)
            this->progress(*job, message.key, message, now, out);
        return;
    }
    if (!job->ending) {
        if (!job->believes(request.from, message.answer.status)) {
            KeeperReply::state(request.from, message.call, message.key, *job, out);
            return;
        }
        // Without room the report is dropped; its sender repeats it until it is acknowledged.
        if (!this->hasRoom())
            return;
        this->finish(*job, message.key, message.answer);
    }
    const JobRequester reporter{.instance = request.from, .call = message.call};
    if (std::find(job->reporters.begin(), job->reporters.end(), reporter) == job->reporters.end())
        job->reporters.push_back(reporter);
}

void ShardKeeper::progress(KeptJob &job, const std::string &key, const JobUpdate &message,
                           TimePoint now, KeeperActions &out)
{
    if (message.notOwner) {
        const TimePoint soon = now + this->settings.storeTimeout;
        if (!job.dueAt || *job.dueAt > soon)
            this->schedule(job, key, soon);
        return;
    }
    job.tries = 0;
    // A cancellation may have been lost; it is repeated until the job ends.
    if (!job.cancelled)
        this->schedule(job, key, now + heldJobCheck);
    const bool running = message.answer.status == JobStatus::Running;
    if (running == job.running)
        return;
    job.running = running;
    for (const JobRequester &requester : job.requesters)
        KeeperReply::state(requester.instance, requester.call, key, job, out);
}

void ShardKeeper::finish(KeptJob &job, const std::string &key, const JobAnswer &answer)
{
    job.ending = true;
    FinishRecord record{.key = key, .digest = job.digest, .answer = answer};
    std::string text = encodeRecord(record);
    if (text.size() > largestRecord) {
        // One truth for all: whoever asks later cannot be given more than what was kept.
        record.answer = {.status = JobStatus::Failed,
                         .reason = "ran to its end, but its answer is too large to be kept"};
        text = encodeRecord(record);
    }
    this->shard.append(std::move(record), std::move(text));
}

} // namespace Hibiscus
