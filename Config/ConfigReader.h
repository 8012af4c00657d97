#pragma once

#include <Config/ConfigKeys.h>
#include <Config/ConfigState.h>
#include <Gateway/Store.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// Brings a ConfigState up to date from the store, relying on single-key guarantees only. Lists the
/// missing changes, reads the floor, and reads the snapshot if the floor is above the state's
/// revision. One round may take several calls; make each `request` and pass its reply to `reply`.
class ConfigReader
{
public:
    enum class Outcome : std::uint8_t {
        Continue, ///< Make the next request.
        Done, ///< The state is at least as new as the store was when the round began.
        Failed, ///< No answer or unreadable data: begin again later.
    };

    explicit ConfigReader(const ConfigKeys &keys)
        : keys(keys)
    {}

    void begin() { this->step = Step::ListChanges; }
    StoreRequest request(const ConfigState &state) const;
    Outcome reply(const StoreReply &reply, ConfigState &state);

    /// After Done: the store revision of the list. A watch that starts at the next store revision
    /// misses no change.
    std::int64_t listedAt() const { return this->listRevision; }
    /// Returns the entry of the floor if the last reply contained it.
    const std::optional<StoreEntry> &floorEntry() const { return this->floor; }

private:
    enum class Step : std::uint8_t { ListChanges, ReadFloor, ReadSnapshot };

    Outcome handleChanges(const StoreReply &reply, const ConfigState &state);
    Outcome handleFloor(ConfigState &state);
    Outcome handleSnapshot(const StoreReply &reply, ConfigState &state);
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
