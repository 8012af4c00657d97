#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Hibiscus::Tasks {

/// One key of the platform's store. Revision 0 stands for a key that does not exist.
struct StoredItem
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< Of the last write.
    std::int64_t lease = 0; ///< 0: bound to none.
    bool removed = false; ///< In a watch: the key was removed at `revision`.
};

/// The key must be at this revision for a commit to happen; 0: it must not exist.
struct RevisionCheck
{
    std::string key;
    std::int64_t revision = 0;
};

struct StoredWrite
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/// All or nothing.
struct StoreCommit
{
    std::vector<RevisionCheck> checks;
    std::vector<StoredWrite> writes;
    std::vector<std::string> removals;
};

/// The store takes at most this many checks, writes and removals in one commit.
inline constexpr std::size_t maxCommitEntries = 32;

enum class StoreOutcome : std::uint8_t {
    Done,
    Absent, ///< No such key or lease.
    Conflict, ///< A check failed; nothing was done; the items checked come back.
    HistoryCompacted, ///< A watch can't continue from its revision; list again.
    Refused, ///< The store turned the call away; nothing was done.
    Unknown, ///< No answer; a commit may have been done, or may be done later.
};

struct StoreAnswer
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<StoredItem> items; ///< Of a read, list or watch; of a conflict, those checked.
    std::int64_t revision = 0; ///< Of the store, or of the commit.
    bool truncated = false; ///< A list goes on after its last item.
    std::int64_t lease = 0;
    Duration leaseTerm{};
};

using StoreHandler = std::function<void(const StoreAnswer &, TimePoint now)>;

/// The platform's store. Each call answers exactly once, at the latest after its timeout.
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    virtual void read(const std::string &key, Duration timeout, StoreHandler handler) = 0;
    /// One page of keys below `prefix`, from the first after `after`.
    virtual void list(const std::string &prefix, const std::string &after, Duration timeout,
                      StoreHandler handler)
        = 0;
    /// Answers with the changes after `revision`, or after `wait` with none.
    virtual void watch(const std::string &prefix, std::int64_t revision, Duration wait,
                       StoreHandler handler)
        = 0;
    virtual void commit(const StoreCommit &commit, Duration timeout, StoreHandler handler) = 0;
    virtual void grantLease(Duration term, Duration timeout, StoreHandler handler) = 0;
    virtual void renewLease(std::int64_t lease, Duration timeout, StoreHandler handler) = 0;
    virtual void revokeLease(std::int64_t lease, Duration timeout, StoreHandler handler) = 0;
};

} // namespace Hibiscus::Tasks
