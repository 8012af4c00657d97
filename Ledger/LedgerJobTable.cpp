#include <Ledger/LedgerJobTable.h>

#include <utility>

namespace Hibiscus {

namespace {

void appendJob(const std::string &key, const LedgerJob &job, TimePoint now,
               std::vector<std::string> &records)
{
    if (job.isFinished()) {
        const Duration age = now - job.endedAt;
        records.push_back(encodeRecord(
            FinishRecord{.key = key, .digest = job.digest, .age = age, .answer = *job.end}));
        return;
    }
    records.push_back(
        encodeRecord(ClaimRecord{.key = key, .dataCenter = job.dataCenter, .spec = job.spec}));
    if (job.attempt > 0)
        records.push_back(encodeRecord(UnassignRecord{.key = key, .attempt = job.attempt - 1}));
    if (job.isAssigned())
        records.push_back(
            encodeRecord(AssignRecord{.key = key, .attempt = job.attempt, .places = job.places}));
}

} // namespace

LedgerJob *LedgerJobTable::find(const std::string &key)
{
    const auto found = this->jobs.find(key);
    return found == this->jobs.end() ? nullptr : &found->second;
}

LedgerJob &LedgerJobTable::add(const std::string &key)
{
    return this->jobs[key];
}

void LedgerJobTable::clear()
{
    this->jobs.clear();
    this->finished = 0;
}

LedgerJob *LedgerJobTable::apply(const LedgerRecord &record, TimePoint now)
{
    return std::visit([this, now](const auto &typed) { return this->applyTo(typed, now); }, record);
}

LedgerJob *LedgerJobTable::applyTo(const EpochRecord & /*record*/, TimePoint /*now*/)
{
    return nullptr;
}

LedgerJob *LedgerJobTable::applyTo(const ClaimRecord &record, TimePoint /*now*/)
{
    LedgerJob &job = this->jobs[record.key];
    if (job.durable)
        return nullptr;
    job.durable = true;
    job.claimAppend.reset();
    job.dataCenter = record.dataCenter;
    job.spec = record.spec;
    job.digest = specDigest(record.spec);
    return &job;
}

LedgerJob *LedgerJobTable::applyTo(const AssignRecord &record, TimePoint /*now*/)
{
    LedgerJob *job = this->find(record.key);
    if (!job || job->isFinished())
        return nullptr;
    job->attempt = record.attempt;
    job->places = record.places;
    return job;
}

LedgerJob *LedgerJobTable::applyTo(const UnassignRecord &record, TimePoint /*now*/)
{
    LedgerJob *job = this->find(record.key);
    if (!job || job->isFinished())
        return nullptr;
    job->attempt = record.attempt + 1;
    job->places.clear();
    job->running = false;
    return job;
}

LedgerJob *LedgerJobTable::applyTo(const FinishRecord &record, TimePoint now)
{
    LedgerJob &job = this->jobs[record.key];
    if (job.isFinished())
        return nullptr;
    job.durable = true;
    job.digest = record.digest;
    job.end = record.answer;
    job.endedAt = now - record.age;
    job.endPending = false;
    // Only an unfinished job needs its spec and places.
    job.spec = JobSpec{};
    job.places.clear();
    ++this->finished;
    return &job;
}

std::vector<std::string> LedgerJobTable::snapshot(TimePoint now, Duration finishedRetention)
{
    std::vector<std::string> records;
    for (auto entry = this->jobs.begin(); entry != this->jobs.end();) {
        const LedgerJob &job = entry->second;
        if (job.isFinished() && now - job.endedAt >= finishedRetention) {
            entry = this->jobs.erase(entry);
            --this->finished;
            continue;
        }
        if (job.durable)
            appendJob(entry->first, job, now, records);
        ++entry;
    }
    return records;
}

} // namespace Hibiscus
