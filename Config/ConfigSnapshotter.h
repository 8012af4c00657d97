#pragma once

#include <Config/Backoff.h>
#include <Config/ConfigKeys.h>
#include <Config/ConfigReplica.h>
#include <Config/StoreLane.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Hibiscus {

/// Writes a snapshot, then raises the floor, then removes the change keys up to it. In this order
/// a key is removed only after both a snapshot and the floor tell that it may be missing.
class ConfigSnapshotter
{
public:
    ConfigSnapshotter(const ConfigReplicaSettings &settings, const ConfigKeys &keys,
                      std::uint64_t firstCall, std::uint64_t callStep);

    /// The highest floor that was seen, and the store's revision of its key.
    std::uint64_t floor() const { return this->knownFloor; }
    void floorSeen(const StoreEntry &entry);
    /// A snapshot was seen, and the configuration is at least as new as it.
    void snapshotSeen(const StoreEntry &entry);

    bool isIdle() const { return this->step == Step::Idle; }
    /// True if so many changes follow the floor that a snapshot should be written.
    bool isDue(std::uint64_t revision) const;
    /// Starts to write `text`, a snapshot of `revision`. Must be idle.
    void start(std::uint64_t revision, std::string text, TimePoint now, ConfigActions &out);

    /// True if the reply was for this object.
    bool storeReply(CallId call, const StoreReply &reply, TimePoint now, ConfigActions &out);
    void tick(TimePoint now, ConfigActions &out);
    TimePoint nextWakeup() const;

private:
    enum class Step : std::uint8_t { Idle, SwapSnapshot, SwapFloor, ListOld, RemoveOld };

    void perform(TimePoint now, ConfigActions &out);
    void handle(const StoreReply &reply, TimePoint now, ConfigActions &out);
    void snapshotSwapped(const StoreReply &reply);
    void floorSwapped(const StoreReply &reply);
    void oldListed(const StoreReply &reply);
    void oldRemoved();
    void retryLater(TimePoint now);
    void finish();
    std::uint64_t wantedFloor() const;

    const ConfigKeys &keys;
    std::uint32_t changesPerSnapshot;
    StoreLane lane;
    Backoff backoff;
    Step step = Step::Idle;
    TimePoint waitUntil;
    int failures = 0;

    std::uint64_t snapshotRevision = 0;
    std::string snapshotText;
    std::int64_t snapshotStoreRevision = 0;
    std::uint64_t knownFloor = 0;
    std::int64_t floorStoreRevision = 0;
    std::deque<StoreEntry> old;
};

} // namespace Hibiscus
