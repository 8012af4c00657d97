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

/// What is wrong with the stand-in store at present.
struct StoreFaults
{
    bool down = false; ///< No call has an effect or an answer; watches break.
    std::uint32_t slowMs = 0; ///< Passes before a call takes effect; kept by whoever calls.
    std::uint32_t loseAnswers = 0; ///< So many writes to come take effect and are not answered.
    bool breakWatches = false; ///< Watches end and new ones are refused.

    bool operator==(const StoreFaults &) const = default;
};

/// Calls and bytes as the platform would count them.
struct StoreCounters
{
    static constexpr std::size_t verbCount = 7;

    std::array<std::uint64_t, verbCount> calls{}; ///< In the order of StoreVerb.
    std::uint64_t watches = 0; ///< Each watch counts once, for as long as it waits.
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;

    std::uint64_t callCount(StoreVerb verb) const
    {
        return this->calls[static_cast<std::size_t>(verb)];
    }
};

/// Why the store refused a call for certain.
enum class StoreRefusal : std::uint8_t {
    None,
    ValueTooLarge,
    LeaseNotFound,
};

struct StoreOutcome
{
    StoreReply reply; ///< As the caller sees it, faults included.
    StoreRefusal refusal = StoreRefusal::None;
};

/// One write or removal of one key.
struct StoreChange
{
    std::int64_t revision = 0;
    bool removed = false;
    StoreEntry entry;
};

/// What a watch has to tell, and whether it goes on.
struct StoreWatchResult
{
    std::vector<StoreChange> changes;
    bool broken = false;
    std::int64_t nextRevision = 0; ///< To ask from in the next step.
};

/// Stands in for the platform's store: compare-and-swap on one key, leases and watches, with the
/// rules of etcd. A state machine for tests and for the program around it; not thread-safe.
class StandInStore
{
public:
    static constexpr std::size_t maxValueBytes = std::size_t{1} << 20;
    static constexpr std::size_t maxHistoryChanges = 100'000;

    StoreOutcome execute(const StoreRequest &request, TimePoint now);

    /// Counts a watch that begins.
    void countWatch();
    /// Changes of keys in [key, end) since a revision. Broken by a fault, or if the changes asked
    /// for are no longer kept.
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
