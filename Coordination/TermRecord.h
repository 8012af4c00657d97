#pragma once

#include <Core/Time.h>

#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus::Coordination {

/// How long after the end of its own lease a former leader keeps renewing the leases of runs, so
/// that they survive an outage of the store.
inline constexpr Duration defaultRenewalGrace = seconds(5);

/// What the store keeps of the newest leader after its lease has ended. The next leader derives
/// from it whether a former leader may still renew leases of runs.
struct TermRecord
{
    std::string leader; ///< Value of the leader's key in that term.
    bool ended = false; ///< The leader's process certainly exists no more.
    bool settled = false; ///< The leaders before this one have certainly ceased to renew leases.
};

std::string encodeTerm(const TermRecord &record);
/// Returns nothing if the text is not a record.
std::optional<TermRecord> decodeTerm(std::string_view text);

} // namespace Hibiscus::Coordination
