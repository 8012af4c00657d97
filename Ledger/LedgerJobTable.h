#pragma once

#include <Ledger/LedgerJob.h>

#include <map>
#include <string>
#include <vector>

namespace Hibiscus {

/// The jobs of one shard. Their durable state changes only by records, applied in the order of the
/// log. Recovery applies the same records again.
class LedgerJobTable
{
public:
    using Jobs = std::map<std::string, LedgerJob>;

    LedgerJob *find(const std::string &key);
    /// Adds a job whose claim is not durable yet.
    LedgerJob &add(const std::string &key);
    /// Removes a job. Allowed only if its claim has never become durable.
    void remove(const std::string &key) { this->jobs.erase(key); }
    void clear();

    /// Applies a record. Returns the job that it changed, or null if it changed none.
    LedgerJob *apply(const LedgerRecord &record, TimePoint now);

    /// Drops jobs that ended longer ago than `finishedRetention` and returns the others as encoded
    /// records.
    std::vector<std::string> snapshot(TimePoint now, Duration finishedRetention);

    Jobs &all() { return this->jobs; }
    std::size_t unfinishedCount() const { return this->jobs.size() - this->finished; }
    std::size_t finishedCount() const { return this->finished; }

private:
    LedgerJob *applyTo(const EpochRecord &record, TimePoint now);
    LedgerJob *applyTo(const ClaimRecord &record, TimePoint now);
    LedgerJob *applyTo(const AssignRecord &record, TimePoint now);
    LedgerJob *applyTo(const UnassignRecord &record, TimePoint now);
    LedgerJob *applyTo(const FinishRecord &record, TimePoint now);

    Jobs jobs;
    std::size_t finished = 0;
};

} // namespace Hibiscus
