// The member functions of ShardKeeper that handle durable records and submit jobs to dispatchers.

#include <Ledger/KeeperReply.h>
#include <Ledger/ShardKeeper.h>

#include <algorithm>
#include <type_traits>

namespace Hibiscus {

namespace {

/// Jobs submitted in one step, and the time between two steps. After a recovery or the return of a
/// data centre, this limits each shard to 1,000 submissions per second.
constexpr std::size_t submitsPerStep = 20;
constexpr Duration submitStepInterval = milliseconds(20);
constexpr Duration firstRetryDelay = seconds(2);
constexpr std::uint32_t maxRetryDoublings = 5;

} // namespace

CallId ShardKeeper::nextCall()
{
    this->callCounter += this->settings.shards;
    return CallId{this->callCounter};
}

const DispatcherId *ShardKeeper::dispatcherOf(const LedgerJob &job) const
{
    const auto found = this->dispatchers.find(job.dataCenter);
    return found == this->dispatchers.end() ? nullptr : &found->second;
}

void ShardKeeper::schedule(LedgerJob &job, const std::string &key, TimePoint at)
{
    this->unschedule(job, key);
    job.dueAt = at;
    this->due.emplace(at, key);
}

void ShardKeeper::unschedule(LedgerJob &job, const std::string &key)
{
    if (!job.dueAt)
        return;
    this->due.erase({*job.dueAt, key});
    job.dueAt.reset();
}

void ShardKeeper::dispatcherChanged(const std::string &dataCenter, TimePoint now,
                                    KeeperActions &out)
{
    for (auto &[key, job] : this->table.all()) {
        if (job.durable && !job.isFinished() && job.dataCenter == dataCenter) {
            job.unansweredSubmits = 0;
            this->schedule(job, key, now);
        }
    }
    this->tick(now, out);
}

void ShardKeeper::dispatchDue(TimePoint now, KeeperActions &out)
{
    if (now < this->nextSubmitStep)
        return;
    std::size_t left = submitsPerStep;
    while (left > 0 && !this->due.empty() && this->due.begin()->first <= now) {
        const std::string key = this->due.begin()->second;
        LedgerJob &job = *this->table.find(key);
        this->unschedule(job, key);
        this->dispatch(job, key, now, out);
        --left;
    }
    if (left < submitsPerStep)
        this->nextSubmitStep = now + submitStepInterval;
}

void ShardKeeper::dispatch(LedgerJob &job, const std::string &key, TimePoint now,
                           KeeperActions &out)
{
    const DispatcherId *dispatcher = this->dispatcherOf(job);
    if (!dispatcher || job.endPending || job.isFinished())
        return;
    // A submission without places would tell the dispatcher that the job is unassigned, which may
    // be wrong while an assignment is being recorded.
    if (job.pendingAssign) {
        this->schedule(job, key, now + this->settings.commitSpacing);
        return;
    }
    job.dispatcher = *dispatcher;
    out.sends.push_back({.instance = dispatcher->instance,
                         .message = SubmitJob{.call = this->nextCall(),
                                              .role = JobRole::Dispatcher,
                                              .dataCenter = job.dataCenter,
                                              .spec = job.spec,
                                              .attempt = job.attempt,
                                              .places = job.places}});
    if (job.cancelled)
        KeeperReply::cancel(dispatcher->instance, this->nextCall(), key, out);
    const std::uint32_t doublings = std::min(job.unansweredSubmits, maxRetryDoublings);
    ++job.unansweredSubmits;
    this->schedule(job, key, now + firstRetryDelay * (1U << doublings));
}

void ShardKeeper::handleRecorded(const LedgerRecord &record, TimePoint now, KeeperActions &out)
{
    LedgerJob *job = this->table.apply(record, now);
    if (!job)
        return;
    const auto act = [&](const auto &typed) {
        using Record = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Record, ClaimRecord>)
            this->claimRecorded(*job, typed.key, now, out);
        else if constexpr (std::is_same_v<Record, FinishRecord>)
            this->finishRecorded(*job, typed.key, out);
        else if constexpr (!std::is_same_v<Record, EpochRecord>)
            this->assignRecorded(*job, typed.key, now, out);
    };
    std::visit(act, record);
}

void ShardKeeper::claimRecorded(LedgerJob &job, const std::string &key, TimePoint now,
                                KeeperActions &out)
{
    for (const JobRequester &requester : job.requesters)
        KeeperReply::jobState(requester.instance, requester.call, key, job, out);
    if (job.cancelled)
        this->finish(job, key, {.status = JobStatus::NotRun, .reason = "cancelled by its caller"});
    else
        this->dispatch(job, key, now, out);
}

void ShardKeeper::assignRecorded(LedgerJob &job, const std::string &key, TimePoint now,
                                 KeeperActions &out)
{
    if (!job.pendingAssign)
        return;
    const PendingAssign pending = std::move(*job.pendingAssign);
    job.pendingAssign.reset();
    const DispatcherId *present = this->dispatcherOf(job);
    const bool changed = !present || *present != pending.from;
    KeeperReply::assignment(pending.from.instance, pending.message, !changed && !job.endPending,
                            out);
    if (job.endPending)
        return;
    if (job.cancelled && job.isProvenUnstarted())
        this->finish(job, key, {.status = JobStatus::NotRun, .reason = "cancelled by its caller"});
    else if (changed || job.cancelled)
        this->schedule(job, key, now);
}

void ShardKeeper::finishRecorded(LedgerJob &job, const std::string &key, KeeperActions &out)
{
    this->unschedule(job, key);
    for (const JobRequester &requester : job.requesters)
        KeeperReply::jobState(requester.instance, requester.call, key, job, out);
    for (const JobRequester &reporter : job.reporters)
        KeeperReply::jobState(reporter.instance, reporter.call, key, job, out);
    job.requesters.clear();
    job.reporters.clear();
}

} // namespace Hibiscus
