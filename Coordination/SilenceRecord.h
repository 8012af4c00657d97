#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Hibiscus::Coordination {

/// Workers that a leader can't reach. It extends no lease on them from before the record is stored
/// until a record without them is, so that its successor knows a bound for these leases.
struct SilenceRecord
{
    std::string leader; ///< Value of the leader's key in its term.
    std::set<std::string> workers;
};

std::string encodeSilence(const SilenceRecord &record);
/// Returns nothing if the text is not a record.
std::optional<SilenceRecord> decodeSilence(std::string_view text);

} // namespace Hibiscus::Coordination
