#pragma once

#include <Config/ConfigReplica.h>
#include <Config/ConfigurationJson.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Hibiscus {

/// The configuration as of the latest known revision, with the ids of recent changes and the texts
/// of changes that peers may still be missing. The revision never decreases.
class ConfigState
{
public:
    /// Number of recent change ids that are kept, also in snapshots.
    static constexpr std::size_t maxRecentChanges = 1024;
    /// Number of change texts that are kept for peers.
    static constexpr std::size_t maxTexts = 256;

    const Configuration &current() const { return this->configuration; }
    std::uint64_t revision() const { return this->configuration.revision; }
    /// Returns the revision of a change, or nothing if the change id is not among the recent ones.
    std::optional<std::uint64_t> revisionOf(const std::string &changeId) const;

    /// Applies the change of the next revision. Returns false if the text can't be read or is of
    /// another revision.
    bool apply(const std::string &recordText);
    /// Replaces the state by a newer snapshot. Returns false if the snapshot is not newer or can't
    /// be read.
    bool adopt(std::string_view snapshotText);
    std::string snapshotText() const;

    /// Returns what a peer at revision `afterRevision` is missing.
    ConfigReplica::Relay relayAfter(std::uint64_t afterRevision) const;

private:
    /// Records the revision at which the change with this id was applied. Drops the oldest id if
    /// more than `maxRecentChanges` are held.
    void recordChangeId(const std::string &changeId, std::uint64_t revision);

    Configuration configuration;
    std::deque<AppliedChange> recent;
    std::unordered_map<std::string, std::uint64_t> revisions;
    std::deque<std::string> texts; ///< Change texts of the latest revisions, in order.
};

} // namespace Hibiscus
