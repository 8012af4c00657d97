#pragma once

#include <Config/Backoff.h>
#include <Config/ConfigKeys.h>
#include <Config/ConfigReplica.h>
#include <Config/StoreChannel.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Hibiscus {

/// Writes a snapshot, then raises the floor, then removes the change keys up to the floor. This
/// order ensures that a key is removed only after both the snapshot and the floor cover it.
class ConfigSnapshotter
{
public:
    ConfigSnapshotter(const ConfigReplicaSettings &settings, const ConfigKeys &keys,
                      std::uint64_t firstCall, std::uint64_t callStep);

    /// Returns the highest known floor.
    std::uint64_t floor() const { return this->knownFloor; }
    /// Handles an entry of the floor that was read.
    void noteFloor(const StoreEntry &entry);
    /// Handles a snapshot that was read. The configuration has to be at least as new.
    void noteSnapshot(const StoreEntry &entry);

    bool isIdle() const { return this->step == Step::Idle; }
    /// Returns true if enough changes follow the floor for a new snapshot.
    bool isDue(std::uint64_t revision) const;
    /// Starts to write `text`, the snapshot of `revision`. Allowed only while idle.
    void start(std::uint64_t revision, std::string text, TimePoint now, ConfigActions &out);

    /// Handles a reply. Returns false if `call` is not a call of this object.
    bool storeReply(CallId call, const StoreReply &reply, TimePoint now, ConfigActions &out);
    void tick(TimePoint now, ConfigActions &out);
    TimePoint nextWakeup() const;

private:
    enum class Step : std::uint8_t {
        Idle,
        WriteSnapshot,
        WriteFloor,
        ListObsolete,
        RemoveObsolete
    };

    void startNextCall(TimePoint now, ConfigActions &out);
    void handle(const StoreReply &reply, TimePoint now, ConfigActions &out);
    void handleSnapshotWrite(const StoreReply &reply);
    void handleFloorWrite(const StoreReply &reply);
    void handleObsolete(const StoreReply &reply);
    void handleRemoved();
    void retryLater(TimePoint now);
    void finish();
    std::uint64_t wantedFloor() const;

    const ConfigKeys &keys;
    std::uint32_t changesPerSnapshot;
    StoreChannel channel;
    Backoff backoff;
    Step step = Step::Idle;
    TimePoint waitUntil;
    int failures = 0;

    std::uint64_t snapshotRevision = 0;
    std::string snapshotText;
    std::int64_t snapshotStoreRevision = 0;
    std::uint64_t knownFloor = 0;
    std::int64_t floorStoreRevision = 0;
    std::deque<StoreEntry> obsolete; ///< Change keys to remove.
};

} // namespace Hibiscus
