#pragma once

#include <Core/Findings.h>
#include <Core/Job.h>
#include <Wire/PeerMessage.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace Hibiscus {

/// The writer of the batch owns the shard from here on.
struct EpochRecord
{
    bool operator==(const EpochRecord &) const = default;
};

/// A job was accepted.
struct ClaimRecord
{
    std::string key;
    std::string dataCenter; ///< Where it is to run.
    JobSpec spec;

    bool operator==(const ClaimRecord &) const = default;
};

/// An attempt may have been started in these places.
struct AssignRecord
{
    std::string key;
    std::uint32_t attempt = 0;
    std::vector<TaskPlace> places;

    bool operator==(const AssignRecord &) const = default;
};

/// An attempt was given up, proven unstarted.
struct UnassignRecord
{
    std::string key;
    std::uint32_t attempt = 0;

    bool operator==(const UnassignRecord &) const = default;
};

/// A job ended.
struct FinishRecord
{
    std::string key;
    std::uint64_t digest = 0; ///< Of the request, see specDigest.
    Duration age{}; ///< Since it ended; in snapshots only.
    JobAnswer answer;

    bool operator==(const FinishRecord &) const = default;
};

using LedgerRecord
    = std::variant<EpochRecord, ClaimRecord, AssignRecord, UnassignRecord, FinishRecord>;

/// Tells requests under the same key apart. What differs between two tries of one request is left
/// out: the deadline, which is cut on the way, and whether the caller waits.
std::uint64_t specDigest(const JobSpec &spec);

/// One record as JSON text. Strings that are not UTF-8 are kept as hexadecimal digits.
std::string encodeRecord(const LedgerRecord &record);
/// Never throws; whatever is wrong is a finding at `place`.
tl::expected<LedgerRecord, Findings> decodeRecord(const nlohmann::json &json,
                                                  std::string_view place);

} // namespace Hibiscus
