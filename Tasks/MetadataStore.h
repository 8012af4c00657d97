#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Tasks {

/// One key of the platform's store. A key that does not exist has revision 0.
struct StoredItem
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< Revision of the last write.
    std::int64_t lease = 0; ///< Lease that the key is bound to; 0: none.
    bool removed = false; ///< In answers to a watch: the key was removed at `revision`.
};

/// Precondition of a commit: the key has this revision; 0: the key does not exist.
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

/// Transaction: if all checks hold, all writes and removals are applied, otherwise none.
struct StoreCommit
{
    std::vector<RevisionCheck> checks;
    std::vector<StoredWrite> writes;
    std::vector<std::string> removals;
};

/// The store accepts at most this many checks, writes and removals together in one commit.
inline constexpr std::size_t maxCommitEntries = 32;

enum class StoreOutcome : std::uint8_t {
    Done,
    Absent, ///< The key or lease does not exist.
    Conflict, ///< A check failed and nothing was applied; the answer has the checked items.
    HistoryCompacted, ///< A watch can't continue from its revision; the caller has to list again.
    Refused, ///< The store rejected the call; nothing was applied.
    Unknown, ///< No answer; a commit may have been applied, or may be applied later.
};

struct StoreAnswer
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::vector<StoredItem> items; ///< Items read, listed or changed; those checked on a conflict.
    std::int64_t revision = 0; ///< Revision of the commit; for other calls, of the store.
    bool truncated = false; ///< The list has more items after the last one of this page.
    std::int64_t lease = 0;
    Duration leaseTerm{};

    /// The item of a key that exists; null if the answer has none.
    const StoredItem *find(std::string_view key) const;
};

using StoreHandler = std::function<void(const StoreAnswer &, TimePoint now)>;

/// Key-value store of the platform. Each call invokes its handler exactly once, at the latest after
/// its timeout.
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    virtual void read(const std::string &key, Duration timeout, StoreHandler handler) = 0;
    /// Lists one page of keys that start with `prefix`, from the first key after `after`.
    virtual void list(const std::string &prefix, const std::string &after, Duration timeout,
                      StoreHandler handler)
        = 0;
    /// Answers with the changes after `revision` as soon as there are any, or without changes
    /// after `wait`.
    virtual void watch(const std::string &prefix, std::int64_t revision, Duration wait,
                       StoreHandler handler)
        = 0;
    virtual void commit(const StoreCommit &commit, Duration timeout, StoreHandler handler) = 0;
    virtual void grantLease(Duration term, Duration timeout, StoreHandler handler) = 0;
    virtual void renewLease(std::int64_t lease, Duration timeout, StoreHandler handler) = 0;
    virtual void revokeLease(std::int64_t lease, Duration timeout, StoreHandler handler) = 0;
};

} // namespace Hibiscus::Tasks
