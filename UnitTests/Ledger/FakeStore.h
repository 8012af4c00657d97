#pragma once

#include <Gateway/Store.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// In-memory store with the single-key guarantees of the real one. Tests can inject faults.
class FakeStore
{
public:
    enum class Fault : std::uint8_t {
        None,
        LostBefore, ///< The request is lost and has no effect.
        LostAfter, ///< The request takes effect, but its answer is lost.
        Late, ///< The request has no answer and takes effect when `applyLate` is called.
    };

    /// Faults by the number of the writing call, counted from 1.
    std::map<std::uint64_t, Fault> faultsOfWrites;
    bool down = false;

    std::uint64_t writes = 0; ///< Number of writing calls, whether or not they took effect.
    std::uint64_t reads = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t bytesRead = 0;
    std::size_t largestValue = 0;

    /// Executes a request. Returns nothing if the answer is lost.
    std::optional<StoreReply> call(const StoreRequest &request)
    {
        const bool isRead = request.verb == StoreVerb::Get || request.verb == StoreVerb::List;
        ++(isRead ? this->reads : this->writes);
        const auto fault = this->faultsOfWrites.find(isRead ? 0 : this->writes);
        const Fault kind = fault == this->faultsOfWrites.end() ? Fault::None : fault->second;
        if (kind == Fault::Late)
            this->late.push_back(request);
        if (this->down || kind == Fault::Late || kind == Fault::LostBefore)
            return std::nullopt;
        StoreReply reply = this->apply(request);
        if (kind == Fault::LostAfter)
            return std::nullopt;
        return reply;
    }

    void applyLate()
    {
        for (const StoreRequest &request : this->late)
            this->apply(request);
        this->late.clear();
    }

    const std::map<std::string, StoreEntry> &all() const { return this->entries; }

private:
    StoreReply apply(const StoreRequest &request)
    {
        if (request.verb == StoreVerb::Get || request.verb == StoreVerb::List)
            return this->read(request);
        const auto found = this->entries.find(request.key);
        const std::int64_t present = found == this->entries.end() ? 0 : found->second.revision;
        StoreReply reply{.status = StoreStatus::Conflict, .storeRevision = this->revision};
        if (present != request.revision) {
            if (present != 0)
                reply.entries.push_back(found->second);
            return reply;
        }
        reply.status = StoreStatus::Ok;
        reply.storeRevision = ++this->revision;
        if (request.verb == StoreVerb::Remove) {
            this->entries.erase(request.key);
            return reply;
        }
        StoreEntry &entry = this->entries[request.key];
        entry = {.key = request.key, .value = request.value, .revision = this->revision};
        this->bytesWritten += request.value.size();
        this->largestValue = std::max(this->largestValue, request.value.size());
        reply.entries.push_back(entry);
        return reply;
    }

    StoreReply read(const StoreRequest &request)
    {
        StoreReply reply{.status = StoreStatus::Ok, .storeRevision = this->revision};
        const bool one = request.verb == StoreVerb::Get;
        for (auto entry = this->entries.lower_bound(request.key); entry != this->entries.end();
             ++entry) {
            const bool full = request.limit != 0
                && reply.entries.size() >= static_cast<std::size_t>(request.limit);
            if (full || (one ? entry->first != request.key : entry->first >= request.end))
                break;
            this->bytesRead += entry->second.value.size();
            reply.entries.push_back(entry->second);
        }
        return reply;
    }

    std::map<std::string, StoreEntry> entries;
    std::vector<StoreRequest> late;
    std::int64_t revision = 0;
};

} // namespace Hibiscus
