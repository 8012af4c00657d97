#pragma once

#include <Config/Configuration.h>
#include <Core/Findings.h>
#include <Core/Ids.h>
#include <Gateway/Store.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Hibiscus {

/// Creates the customer or replaces all of it.
struct PutCustomer
{
    Customer customer;
};
struct RemoveCustomer
{
    std::string name;
};
/// Creates the preset or replaces all of it. The one in force may be changed.
struct PutPreset
{
    Preset preset;
};
/// The preset in force can't be removed.
struct RemovePreset
{
    std::string name;
};
struct SwitchPreset
{
    std::string name;
};

/// One operator's change. The same `changeId` again gets the same answer and no second effect.
struct ConfigChange
{
    std::string changeId;
    std::string author;
    /// The revision the operator looked at, or nothing for "whatever is in force". A change made
    /// on an older revision than the latest one is refused as a conflict.
    std::optional<std::uint64_t> basedOn;
    std::variant<PutCustomer, RemoveCustomer, PutPreset, RemovePreset, SwitchPreset> operation;
};

enum class ChangeStatus : std::uint8_t {
    Accepted, ///< Recorded; `revision` holds it, and it never reverts.
    Invalid, ///< `findings` say why; nothing was changed.
    Conflict, ///< Another change came first; `revision` is the winning one.
    Unavailable, ///< The store gave no answer: retry with the same change id.
};

struct ChangeReply
{
    ChangeStatus status = ChangeStatus::Unavailable;
    std::uint64_t revision = 0;
    Findings findings;
};

/// The cells of one data centre when every known worker is free and well.
struct DataCenterCells
{
    std::string dataCenter;
    CellCounts total{}; ///< How many cells of each level there are in all.
    /// How many cells of the next smaller level the largest cell of each level splits into; 0 where
    /// it has to be taken from the ratio of `total`.
    CellCounts smallerPerCell{};
};

struct ConfigActions
{
    std::vector<StoreCall> storeCalls;
    /// Revision from which the store watch has to be (re)opened on the keeper's prefix.
    std::optional<std::int64_t> watchFrom;
    struct Answer
    {
        CallId call;
        ChangeReply reply;
    };
    std::vector<Answer> answers;
    /// Set when `current()` has become newer.
    bool changed = false;
};

struct ConfigReplicaSettings
{
    std::string prefix = "config/";
    Duration storeTimeout = seconds(2); ///< A call without a reply counts as NoAnswer after it.
    Duration changeTimeout = seconds(5); ///< An operator's change is answered within it.
    std::uint32_t changesPerSnapshot = 64;
    Duration pollInterval = seconds(5); ///< Between two looks at the store without a watch.
    Duration watchedPollInterval = seconds(30); ///< The same beside a watch.
    Duration backoffFirst = milliseconds(100); ///< Wait after a first NoAnswer; doubles.
    Duration backoffLargest = seconds(5);
    std::uint64_t seed = 1; ///< Of the jitter; should differ between instances.
};

/// Follows the operators' configuration and makes their changes. The store holds a snapshot and
/// one key for each later change, created only if absent: whoever creates revision n has it, and
/// every instance applies the same changes in the same order, so a revision never falls.
class ConfigReplica
{
public:
    explicit ConfigReplica(const ConfigReplicaSettings &settings);
    ~ConfigReplica();
    ConfigReplica(ConfigReplica &&) noexcept;
    ConfigReplica &operator=(ConfigReplica &&) noexcept;

    /// Whether this instance watches the store itself (one does in each data centre). May be said
    /// again and again; only a change has an effect.
    void setWatching(bool watching, TimePoint now, ConfigActions &out);
    /// The fleet as known, to check that guarantees fit it together.
    void setFleet(std::vector<DataCenterCells> fleet);

    void submitChange(CallId call, const ConfigChange &change, TimePoint now, ConfigActions &out);
    void storeReply(CallId call, const StoreReply &reply, TimePoint now, ConfigActions &out);
    void watchBatch(const StoreWatchBatch &batch, TimePoint now, ConfigActions &out);
    void watchBroken(TimePoint now, ConfigActions &out);

    /// What a peer lacks that knows `afterRevision`: a snapshot, changes, or neither. Texts are
    /// opaque to everyone but keepers.
    struct Relay
    {
        std::uint64_t snapshotRevision = 0;
        std::string snapshot;
        std::uint64_t firstRevision = 0;
        std::vector<std::string> changes;
    };
    Relay relayAfter(std::uint64_t afterRevision) const;
    void relayed(const Relay &relay, TimePoint now, ConfigActions &out);

    void tick(TimePoint now, ConfigActions &out);
    TimePoint nextWakeup() const;

    /// Revision 0 until something is known; then it only rises.
    const Configuration &current() const;

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
