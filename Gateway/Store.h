#pragma once

#include <Core/Ids.h>
#include <Core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Hibiscus {

/// What is asked of the platform's store. It promises these on one key at a time and no more.
enum class StoreVerb : std::uint8_t {
    Get, ///< One key.
    List, ///< Every key from `key` (inclusive) to `end` (exclusive), at most `limit` of them.
    CompareAndSwap, ///< Writes `value` if the key's revision is `revision`; 0 means that it must be
                    ///< absent.
    Remove, ///< Removes the key if its revision is `revision`.
    GrantLease, ///< A new lease of `term`.
    KeepLease, ///< Renews `lease`.
    RevokeLease, ///< Ends `lease` and removes the keys bound to it.
};

struct StoreRequest
{
    StoreVerb verb = StoreVerb::Get;
    std::string key;
    std::string end;
    std::string value;
    std::int64_t revision = 0; ///< Of the key's last write, as the store counts.
    std::int64_t lease = 0; ///< With CompareAndSwap: 0 or the lease that the key is bound to.
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
    NoAnswer, ///< Down, too slow or broken off. A write may have taken effect, or may yet.
};

struct StoreReply
{
    StoreStatus status = StoreStatus::NoAnswer;
    std::vector<StoreEntry>
        entries; ///< Get, List: what was found. CompareAndSwap: the entry as written.
    std::int64_t storeRevision = 0; ///< Of the whole store; watches start from the next one.
    std::int64_t lease = 0;

    bool operator==(const StoreReply &) const = default;
};

/// One call that a state machine wants made; the reply comes back under the same id.
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
