#pragma once

#include <Platform/Store.h>

#include <map>
#include <string>
#include <vector>

namespace Hibiscus {

/// The platform's store in memory, without leases, and its history for watches.
class FakeStore
{
public:
    StoreReply execute(const StoreRequest &request)
    {
        StoreReply reply;
        reply.status = StoreStatus::Ok;
        const auto found = this->entries.find(request.key);
        const bool exists = found != this->entries.end();
        const std::int64_t present = exists ? found->second.revision : 0;
        const bool isWrite = request.verb == StoreVerb::Swap || request.verb == StoreVerb::Remove;
        if (isWrite && request.revision != present)
            reply.status = StoreStatus::Conflict;
        else if (request.verb == StoreVerb::Swap)
            this->write(request.key, request.value);
        else if (request.verb == StoreVerb::Remove && exists)
            this->remove(request.key);
        if (request.verb == StoreVerb::List)
            this->list(request, reply);
        else if (this->entries.contains(request.key))
            reply.entries.push_back(this->entries.at(request.key));
        reply.storeRevision = this->revision;
        return reply;
    }

    /// What a watch from a revision on reports.
    StoreWatchBatch since(std::int64_t from) const
    {
        StoreWatchBatch batch;
        for (const StoreEntry &entry : this->written) {
            if (entry.revision >= from)
                batch.written.push_back(entry);
        }
        return batch;
    }

    std::int64_t latest() const { return this->revision; }
    const std::map<std::string, StoreEntry> &all() const { return this->entries; }

private:
    void write(const std::string &key, const std::string &value)
    {
        const StoreEntry entry{key, value, ++this->revision};
        this->entries[key] = entry;
        this->written.push_back(entry);
    }

    void remove(const std::string &key)
    {
        ++this->revision;
        this->entries.erase(key);
    }

    void list(const StoreRequest &request, StoreReply &reply) const
    {
        auto at = this->entries.lower_bound(request.key);
        const auto limit = static_cast<std::size_t>(request.limit);
        for (; at != this->entries.end() && at->first < request.end; ++at) {
            if (limit != 0 && reply.entries.size() == limit)
                return;
            reply.entries.push_back(at->second);
        }
    }

    std::map<std::string, StoreEntry> entries;
    std::vector<StoreEntry> written;
    std::int64_t revision = 0;
};

} // namespace Hibiscus
