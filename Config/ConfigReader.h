#pragma once

#include <Config/ConfigKeys.h>
#include <Config/ConfigState.h>
#include <Gateway/Store.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// Brings a ConfigState up to date from the store by single-key promises alone: lists the changes
/// it lacks, reads the floor, and reads the snapshot where the floor has passed it. One round may
/// take several calls; ask `request` for each and hand its reply to `reply`.
class ConfigReader
{
public:
    enum class Outcome : std::uint8_t {
        Continue, ///< Make the next request.
        Done, ///< The state is as new as the store was when the round began, or newer.
        Failed, ///< No answer, or something unreadable: start again later.
    };

    explicit ConfigReader(const ConfigKeys &keys)
        : keys(keys)
    {}

    void begin() { this->step = Step::ListChanges; }
    StoreRequest request(const ConfigState &state) const;
    Outcome reply(const StoreReply &reply, ConfigState &state);

    /// After Done: a watch from the store revision behind this one misses no change.
    std::int64_t listedAt() const { return this->listRevision; }
    /// The floor's entry if the last reply held it.
    const std::optional<StoreEntry> &floorEntry() const { return this->floor; }

private:
    enum class Step : std::uint8_t { ListChanges, ReadFloor, ReadSnapshot };

    Outcome changesListed(const StoreReply &reply, const ConfigState &state);
    Outcome floorRead(ConfigState &state);
    Outcome snapshotRead(const StoreReply &reply, ConfigState &state);
    Outcome applyListed(ConfigState &state);
    void noteFloor(const std::vector<StoreEntry> &entries);

    const ConfigKeys &keys;
    Step step = Step::ListChanges;
    std::int64_t listRevision = 0;
    bool listWasFull = false;
    std::vector<StoreEntry> listed;
    std::optional<StoreEntry> floor;
    std::uint64_t floorRevision = 0;
};

} // namespace Hibiscus
