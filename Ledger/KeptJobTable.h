#pragma once

#include <Ledger/KeptJob.h>

#include <map>
#include <string>
#include <vector>

namespace Hibiscus {

/// The jobs of one shard. Records, applied in the log's order, are the only way in which what must
/// last changes; recovery applies the same records again.
class KeptJobTable
{
public:
    using Jobs = std::map<std::string, KeptJob>;

    KeptJob *find(const std::string &key);
    /// A job whose claim is not durable yet.
    KeptJob &add(const std::string &key);
    /// Only of a job whose claim never became durable.
    void remove(const std::string &key) { this->jobs.erase(key); }
    void clear();

    /// Returns the job that the record changed; null if it changes nothing.
    KeptJob *apply(const LedgerRecord &record, TimePoint now);

    /// Drops what ended longer ago than `finishedRetention` and returns the rest as encoded
    /// records.
    std::vector<std::string> snapshot(TimePoint now, Duration finishedRetention);

    Jobs &all() { return this->jobs; }
    std::size_t unfinishedCount() const { return this->jobs.size() - this->finished; }
    std::size_t finishedCount() const { return this->finished; }

private:
    KeptJob *applyTo(const EpochRecord &record, TimePoint now);
    KeptJob *applyTo(const ClaimRecord &record, TimePoint now);
    KeptJob *applyTo(const AssignRecord &record, TimePoint now);
    KeptJob *applyTo(const UnassignRecord &record, TimePoint now);
    KeptJob *applyTo(const FinishRecord &record, TimePoint now);

    Jobs jobs;
    std::size_t finished = 0;
};

} // namespace Hibiscus
