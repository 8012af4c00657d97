#pragma once

#include <Gateway/Store.h>

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// Faults that are injected into the stand-in store.
struct StoreFaults
{
    bool down = false; ///< Calls have no effect and no answer; watches break.
    std::uint32_t slowMs = 0; ///< Delay before a call takes effect; applied by the caller.
    std::uint32_t loseAnswers = 0; ///< Number of next writes that take effect without an answer.
    bool breakWatches = false; ///< Watches end and new watches are refused.

    bool operator==(const StoreFaults &) const = default;
};

/// Calls and bytes, counted as the platform counts them.
struct StoreCounters
{
    static constexpr std::size_t verbCount = 7;

    std::array<std::uint64_t, verbCount> calls{}; ///< Indexed by StoreVerb.
    std::uint64_t watches = 0; ///< A watch counts once, however long it lasts.
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;

    std::uint64_t callCount(StoreVerb verb) const
    {
        return this->calls[static_cast<std::size_t>(verb)];
    }
};

/// Reason for which the store definitely refused a call.
enum class StoreRefusal : std::uint8_t {
    None,
    ValueTooLarge,
    LeaseNotFound,
};

struct StoreOutcome
{
    StoreReply reply; ///< Reply that the caller receives, after injected faults.
    StoreRefusal refusal = StoreRefusal::None;
};

/// One write or removal of one key.
struct StoreChange
{
    std::int64_t revision = 0;
    bool removed = false;
    StoreEntry entry;
};

/// New changes for a watch, and whether the watch continues.
struct StoreWatchResult
{
    std::vector<StoreChange> changes;
    bool broken = false; ///< The watch has ended.
    std::int64_t nextRevision = 0; ///< First revision to request in the next poll.
};

/// Simulates the platform's store: compare-and-swap on one key, leases and watches, with the
/// semantics of etcd. A state machine for tests and for the stand-in program; not thread-safe.
class StandInStore
{
public:
    static constexpr std::size_t maxValueBytes = std::size_t{1} << 20;
    static constexpr std::size_t maxHistoryChanges = 100'000;

    StoreOutcome execute(const StoreRequest &request, TimePoint now);

    /// Counts the start of a watch.
    void countWatch();
    /// Returns the changes of keys in [key, end) from a revision on. The watch is broken by a fault
    /// or if the requested changes are no longer in the history.
    StoreWatchResult pollChanges(std::string_view key, std::string_view end,
                                 std::int64_t fromRevision, TimePoint now);

    void countBytes(std::size_t received, std::size_t sent);
    const StoreCounters &counters() const { return this->storeCounters; }

    void setFaults(const StoreFaults &faults) { this->activeFaults = faults; }
    const StoreFaults &faults() const { return this->activeFaults; }

    std::int64_t revision() const { return this->storeRevision; }

private:
    struct Record
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };

    struct Lease
    {
        Duration term{};
        TimePoint expiresAt;
        std::set<std::string, std::less<>> keys;
    };

    StoreOutcome apply(const StoreRequest &request, TimePoint now);
    StoreOutcome get(const StoreRequest &request, TimePoint now);
    StoreOutcome list(const StoreRequest &request, TimePoint now);
    StoreOutcome compareAndSwap(const StoreRequest &request, TimePoint now);
    StoreOutcome remove(const StoreRequest &request, TimePoint now);
    StoreOutcome grantLease(const StoreRequest &request, TimePoint now);
    StoreOutcome keepLease(const StoreRequest &request, TimePoint now);
    StoreOutcome revokeLease(const StoreRequest &request, TimePoint now);

    StoreOutcome makeOutcome(StoreStatus status, std::vector<StoreEntry> entries = {},
                             std::int64_t lease = 0) const;
    StoreOutcome makeRefusal(StoreRefusal refusal) const;
    std::vector<StoreEntry> findEntry(std::string_view key) const;
    std::int64_t keyRevision(std::string_view key) const;

    void expireLeases(TimePoint now);
    void removeLease(std::int64_t id);
    void detachFromLease(std::int64_t lease, const std::string &key);
    void appendToHistory(bool removed, const StoreEntry &entry);

    std::map<std::string, Record, std::less<>> records;
    std::map<std::int64_t, Lease> leases;
    std::deque<StoreChange> history;
    std::int64_t storeRevision = 1;
    std::int64_t lastLeaseId = 0;
    std::int64_t compactedRevision = 0;
    StoreFaults activeFaults;
    StoreCounters storeCounters;
};

} // namespace Hibiscus
