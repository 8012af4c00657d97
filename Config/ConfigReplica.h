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

/// Creates a customer or replaces the whole customer.
struct PutCustomer
{
    Customer customer;
};
struct RemoveCustomer
{
    std::string name;
};
/// Creates a preset or replaces the whole preset. Allowed for the preset in force as well.
struct PutPreset
{
    Preset preset;
};
/// Removes a preset. The preset in force can't be removed.
struct RemovePreset
{
    std::string name;
};
struct SwitchPreset
{
    std::string name;
};

/// One change by an operator. Idempotent: a change with a known `changeId` gets the first answer
/// and has no further effect.
struct ConfigChange
{
    std::string changeId;
    std::string author;
    /// The revision that the operator has read, or nothing to change the latest revision. A change
    /// that is based on an older revision than the latest one is refused as a conflict.
    std::optional<std::uint64_t> basedOn;
    std::variant<PutCustomer, RemoveCustomer, PutPreset, RemovePreset, SwitchPreset> operation;
};

enum class ChangeStatus : std::uint8_t {
    Accepted, ///< The change is recorded as `revision` and is never lost.
    Invalid, ///< Nothing was changed; `findings` hold the reasons.
    Conflict, ///< Another change was recorded first, as `revision`.
    Unavailable, ///< The outcome is unknown: retry with the same change id.
};

struct ChangeReply
{
    ChangeStatus status = ChangeStatus::Unavailable;
    std::uint64_t revision = 0;
    Findings findings;
};

/// The cells of one data centre if every known worker is free and healthy.
struct DataCenterCells
{
    std::string dataCenter;
    CellCounts total{}; ///< Number of cells of each level.
    /// Number of cells of the next smaller level that the largest cell of each level splits into; 0
    /// if it has to be computed from the ratio of `total`.
    CellCounts smallerPerCell{};
};

struct ConfigActions
{
    std::vector<StoreCall> storeCalls;
    /// Set if a watch on the replica's prefix has to be (re)opened from this store revision.
    std::optional<std::int64_t> watchFrom;
    struct Answer
    {
        CallId call;
        ChangeReply reply;
    };
    std::vector<Answer> answers;
    /// Set if `current()` has a newer revision.
    bool changed = false;
};

struct ConfigReplicaSettings
{
    std::string prefix = "config/";
    Duration storeTimeout = seconds(2); ///< Store calls without a reply time out after it.
    Duration changeTimeout = seconds(5); ///< Time within which every change is answered.
    std::uint32_t changesPerSnapshot = 64;
    Duration pollInterval = seconds(5); ///< Time between two reads of the store without a watch.
    Duration watchedPollInterval = seconds(30); ///< The same while a watch is open.
    Duration backoffFirst
        = milliseconds(100); ///< Delay after the first failure; doubles with each further one.
    Duration backoffLargest = seconds(5);
    std::uint64_t seed = 1; ///< Seed of the jitter; should differ between instances.
};

/// Replica of the operators' configuration in one instance; also records operators' changes. The
/// store holds a snapshot and one key for each later change. A change key is created only if it is
/// absent, so the instance that creates key n has made revision n. Every replica applies the same
/// changes in the same order, and its revision never decreases.
class ConfigReplica
{
public:
    explicit ConfigReplica(const ConfigReplicaSettings &settings);
    ~ConfigReplica();
    ConfigReplica(ConfigReplica &&) noexcept;
    ConfigReplica &operator=(ConfigReplica &&) noexcept;

    /// Sets whether this instance watches the store (one instance of each data centre does).
    /// Idempotent: only a change has an effect.
    void setWatching(bool watching, TimePoint now, ConfigActions &out);
    /// Sets the known fleet, which all guarantees together have to fit.
    void setFleet(std::vector<DataCenterCells> fleet);

    void submitChange(CallId call, const ConfigChange &change, TimePoint now, ConfigActions &out);
    void storeReply(CallId call, const StoreReply &reply, TimePoint now, ConfigActions &out);
    void watchBatch(const StoreWatchBatch &batch, TimePoint now, ConfigActions &out);
    void watchBroken(TimePoint now, ConfigActions &out);

    /// What a peer at revision `afterRevision` is missing: a snapshot, changes, or neither. The
    /// texts are opaque to everything but replicas.
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

    /// Returns the configuration. Its revision is 0 until one is known and never decreases.
    const Configuration &current() const;

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
