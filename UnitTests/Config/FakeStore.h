#pragma once

#include <Gateway/Store.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Hibiscus {

/// In-memory store without leases, with a history for watches. As the real store does not guarantee
/// an atomic List, a List shows its last key as of when the call was sent, and the other keys as of
/// when it is answered.
class FakeStore
{
public:
    StoreReply execute(const StoreRequest &request, std::int64_t sentAt)
    {
        StoreReply reply;
        reply.status = StoreStatus::Ok;
        const auto found = this->entries.find(request.key);
        const bool exists = found != this->entries.end();
        const std::int64_t present = exists ? found->second.revision : 0;
        const bool isWrite
            = request.verb == StoreVerb::CompareAndSwap || request.verb == StoreVerb::Remove;
        if (isWrite && request.revision != present)
            reply.status = StoreStatus::Conflict;
        else if (request.verb == StoreVerb::CompareAndSwap)
            this->write(request.key, request.value);
        else if (request.verb == StoreVerb::Remove && exists)
            this->remove(request.key);
        reply.storeRevision = this->revision;
        if (request.verb == StoreVerb::List)
            this->list(request, sentAt, reply);
        else if (this->entries.contains(request.key))
            reply.entries.push_back(this->entries.at(request.key));
        return reply;
    }

    /// Returns what a watch that starts at revision `from` reports.
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

    void list(const StoreRequest &request, std::int64_t sentAt, StoreReply &reply) const
    {
        reply.storeRevision = sentAt;
        auto at = this->entries.lower_bound(request.key);
        const auto limit = static_cast<std::size_t>(request.limit);
        for (; at != this->entries.end() && at->first < request.end; ++at) {
            if (limit != 0 && reply.entries.size() == limit)
                return;
            reply.entries.push_back(at->second);
        }
        if (reply.entries.empty() || reply.entries.back().revision <= sentAt)
            return;
        const std::string last = reply.entries.back().key;
        reply.entries.pop_back();
        const auto isEarlier = [&](const StoreEntry &entry) {
            return entry.key == last && entry.revision <= sentAt;
        };
        const auto earlier = std::find_if(this->written.rbegin(), this->written.rend(), isEarlier);
        if (earlier != this->written.rend())
            reply.entries.push_back(*earlier);
    }

    std::map<std::string, StoreEntry> entries;
    std::vector<StoreEntry> written;
    std::int64_t revision = 0;
};

} // namespace Hibiscus
