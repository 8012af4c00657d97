#include <Config/ConfigState.h>

#include <Config/ConfigurationRules.h>

#include <numeric>

namespace Hibiscus {

namespace {

// Keeps a relay well below the size limit of a peer frame. For more changes a snapshot is shorter.
constexpr std::size_t maxRelayedBytes = std::size_t(512) * 1024;

} // namespace

std::optional<std::uint64_t> ConfigState::revisionOf(const std::string &changeId) const
{
    const auto found = this->revisions.find(changeId);
    if (found == this->revisions.end())
        return std::nullopt;
    return found->second;
}

bool ConfigState::apply(const std::string &recordText)
{
    const auto record = parseChangeRecord(recordText);
    if (!record || record->revision != this->revision() + 1)
        return false;
    applyAcceptedChange(record->change, this->configuration);
    this->recordChangeId(record->change.changeId, record->revision);
    this->texts.push_back(recordText);
    if (this->texts.size() > maxTexts)
        this->texts.pop_front();
    return true;
}

bool ConfigState::adopt(std::string_view snapshotText)
{
    auto snapshot = parseConfigSnapshot(snapshotText);
    if (!snapshot || snapshot->configuration.revision <= this->revision())
        return false;
    this->configuration = std::move(snapshot->configuration);
    this->recent.clear();
    this->revisions.clear();
    this->texts.clear();
    for (const AppliedChange &change : snapshot->recentChanges)
        this->recordChangeId(change.changeId, change.revision);
    return true;
}

std::string ConfigState::snapshotText() const
{
    ConfigSnapshot snapshot;
    snapshot.configuration = this->configuration;
    snapshot.recentChanges.assign(this->recent.begin(), this->recent.end());
    return toJson(snapshot);
}

ConfigReplica::Relay ConfigState::relayAfter(std::uint64_t afterRevision) const
{
    ConfigReplica::Relay relay;
    if (afterRevision >= this->revision())
        return relay;
    const std::uint64_t missing = this->revision() - afterRevision;
    if (missing <= this->texts.size()) {
        const auto first = this->texts.end() - static_cast<std::ptrdiff_t>(missing);
        const auto addSize = [](std::size_t sum, const std::string &t) { return sum + t.size(); };
        const auto bytes = std::accumulate(first, this->texts.end(), std::size_t(0), addSize);
        if (bytes <= maxRelayedBytes) {
            relay.firstRevision = afterRevision + 1;
            relay.changes.assign(first, this->texts.end());
            return relay;
        }
    }
    relay.snapshotRevision = this->revision();
    relay.snapshot = this->snapshotText();
    return relay;
}

void ConfigState::recordChangeId(const std::string &changeId, std::uint64_t revision)
{
    this->recent.push_back({changeId, revision});
    this->revisions[changeId] = revision;
    if (this->recent.size() <= maxRecentChanges)
        return;
    const AppliedChange &oldest = this->recent.front();
    const auto found = this->revisions.find(oldest.changeId);
    if (found != this->revisions.end() && found->second == oldest.revision)
        this->revisions.erase(found);
    this->recent.pop_front();
}

} // namespace Hibiscus
