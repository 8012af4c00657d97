#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Tasks {

/// A caller's claim to a job id: the queue that it calls, and the customer of its API key.
struct JobClaim
{
    std::string queue;
    std::string customer; ///< Empty if the queue was called without a key.

    bool operator==(const JobClaim &) const = default;
};

/// Record that is stored under the key of a job that does not exist, after a caller was told so:
/// the job was refused for load, or its callers have cancelled it. A delayed write that was to
/// accept the job fails, since it requires the key to be absent or to have an earlier revision.
struct JobTombstone
{
    bool isRefused = false; ///< A later submission of the job may replace the refusal.
    std::vector<JobClaim> cancellations; ///< Each holds for its own claim only.

    /// Whether a cancellation covers the job that is submitted with this claim.
    bool isCancelledFor(const JobClaim &claim) const;
    /// Adds the claim's cancellation. Returns false, with no effect, if too many others are there.
    bool addCancellation(const JobClaim &claim);

    bool operator==(const JobTombstone &) const = default;
};

std::string encodeTombstone(const JobTombstone &tombstone);
/// Returns nothing if the text is not a tombstone, but a job or damaged.
std::optional<JobTombstone> decodeTombstone(std::string_view text);

} // namespace Hibiscus::Tasks
