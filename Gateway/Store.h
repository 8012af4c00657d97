#pragma once

#include <Core/Ids.h>
#include <Core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hibiscus {

/// Operations of the platform's store. The store guarantees each of them for single keys only.
enum class StoreVerb : std::uint8_t {
    Get, ///< Reads one key.
    List, ///< Reads the keys from `key` (inclusive) to `end` (exclusive), at most `limit` of them.
    CompareAndSwap, ///< Writes `value` if the key's revision is `revision`; 0 means that it must be
                    ///< absent.
    Remove, ///< Removes the key if its revision is `revision`.
    GrantLease, ///< Creates a lease with the duration `term`.
    KeepLease, ///< Renews `lease`.
    RevokeLease, ///< Ends `lease` and removes the keys bound to it.
};

struct StoreRequest
{
    StoreVerb verb = StoreVerb::Get;
    std::string key;
    std::string end;
    std::string value;
    std::int64_t revision = 0; ///< Store revision of the key's last write.
    std::int64_t lease = 0; ///< With CompareAndSwap: 0 or the lease to bind the key to.
    std::int64_t limit = 0; ///< With List: 0 means no limit.
    Duration term{};

    bool operator==(const StoreRequest &) const = default;
};

struct StoreEntry
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;

    bool operator==(const StoreEntry &) const = default;
};

enum class StoreStatus : std::uint8_t {
    Ok,
    Conflict, ///< CompareAndSwap or Remove: the revision differs; `entries` holds the present
              ///< entry, if any.
    NoAnswer, ///< No answer or an unclear one. A write may have taken effect or may do so later.
};

struct StoreReply
{
    StoreStatus status = StoreStatus::NoAnswer;
    std::vector<StoreEntry>
        entries; ///< Get, List: the entries found. CompareAndSwap: the entry as written.
    std::int64_t storeRevision = 0; ///< Revision of the whole store. Watches start from the next.
    std::int64_t lease = 0; ///< Lease of a lease operation.

    bool operator==(const StoreReply &) const = default;
};

/// A store call requested by a state machine. The reply is returned with the same id.
struct StoreCall
{
    CallId call;
    StoreRequest request;

    bool operator==(const StoreCall &) const = default;
};

/// Changes below a watched prefix, in the store's order.
struct StoreWatchBatch
{
    std::vector<StoreEntry> written;
    std::vector<std::string> removed;
};

} // namespace Hibiscus
