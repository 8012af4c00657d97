#include <Ledger/KeptJobTable.h>

#include <utility>

namespace Hibiscus {

namespace {

void appendJob(const std::string &key, const KeptJob &job, TimePoint now,
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

KeptJob *KeptJobTable::find(const std::string &key)
{
    const auto found = this->jobs.find(key);
    return found == this->jobs.end() ? nullptr : &found->second;
}

KeptJob &KeptJobTable::add(const std::string &key)
{
    return this->jobs[key];
}

void KeptJobTable::clear()
{
    this->jobs.clear();
    this->finished = 0;
}

KeptJob *KeptJobTable::apply(const LedgerRecord &record, TimePoint now)
{
    return std::visit([this, now](const auto &typed) { return this->applyTo(typed, now); }, record);
}

KeptJob *KeptJobTable::applyTo(const EpochRecord & /*record*/, TimePoint /*now*/)
{
    return nullptr;
}

KeptJob *KeptJobTable::applyTo(const ClaimRecord &record, TimePoint /*now*/)
{
    KeptJob &job = this->jobs[record.key];
    if (job.durable)
        return nullptr;
    job.durable = true;
    job.claim.reset();
    job.dataCenter = record.dataCenter;
    job.spec = record.spec;
    job.digest = specDigest(record.spec);
    return &job;
}

KeptJob *KeptJobTable::applyTo(const AssignRecord &record, TimePoint /*now*/)
{
    KeptJob *job = this->find(record.key);
    if (!job || job->isFinished())
        return nullptr;
    job->attempt = record.attempt;
    job->places = record.places;
    return job;
}

KeptJob *KeptJobTable::applyTo(const UnassignRecord &record, TimePoint /*now*/)
{
    KeptJob *job = this->find(record.key);
    if (!job || job->isFinished())
        return nullptr;
    job->attempt = record.attempt + 1;
    job->places.clear();
    job->running = false;
    return job;
}

KeptJob *KeptJobTable::applyTo(const FinishRecord &record, TimePoint now)
{
    KeptJob &job = this->jobs[record.key];
    if (job.isFinished())
        return nullptr;
    job.durable = true;
    job.digest = record.digest;
    job.end = record.answer;
    job.endedAt = now - record.age;
    job.ending = false;
    // What only a job that can still run needs.
    job.spec = JobSpec{};
    job.places.clear();
    ++this->finished;
    return &job;
}

std::vector<std::string> KeptJobTable::snapshot(TimePoint now, Duration finishedRetention)
{
    std::vector<std::string> records;
    for (auto entry = this->jobs.begin(); entry != this->jobs.end();) {
        const KeptJob &job = entry->second;
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
