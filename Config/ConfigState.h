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

/// The configuration as of its latest revision, with the ids of recent changes and with the texts
/// of those that peers may still lack. Only ever moves to higher revisions.
class ConfigState
{
public:
    /// Change ids that are remembered, in snapshots as well.
    static constexpr std::size_t rememberedChanges = 1024;
    /// Texts of changes that are kept for peers.
    static constexpr std::size_t keptTexts = 256;

    const Configuration &current() const { return this->configuration; }
    std::uint64_t revision() const { return this->configuration.revision; }
    /// The revision that a change id got, if it is one of the recent ones.
    std::optional<std::uint64_t> revisionOf(const std::string &changeId) const;

    /// Makes the change of the next revision. False if the text can't be read or is of another
    /// revision.
    bool apply(const std::string &recordText);
    /// Takes over a snapshot that is newer. False if it is not, or can't be read.
    bool adopt(std::string_view snapshotText);
    std::string snapshotText() const;

    /// What a peer lacks that knows `afterRevision`.
    ConfigReplica::Relay relayAfter(std::uint64_t afterRevision) const;

private:
    void remember(const std::string &changeId, std::uint64_t revision);

    Configuration configuration;
    std::deque<AppliedChange> recent;
    std::unordered_map<std::string, std::uint64_t> revisions;
    std::deque<std::string> texts; ///< Of the latest revisions, the last one last.
};

} // namespace Hibiscus
