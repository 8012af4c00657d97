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

/// Marks a change of owner: the writer of this batch owns the shard from this record on.
struct EpochRecord
{
    bool operator==(const EpochRecord &) const = default;
};

/// A job was accepted.
struct ClaimRecord
{
    std::string key;
    std::string dataCenter; ///< Where the job is to run.
    JobSpec spec;

    bool operator==(const ClaimRecord &) const = default;
};

/// An attempt was assigned to places and may have started there.
struct AssignRecord
{
    std::string key;
    std::uint32_t attempt = 0;
    std::vector<TaskPlace> places;

    bool operator==(const AssignRecord &) const = default;
};

/// The assignment of an attempt was given up. The attempt has certainly not started.
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
    std::uint64_t digest = 0; ///< Digest of the request, see specDigest.
    Duration age{}; ///< Time since the job ended; set only in snapshots.
    JobAnswer answer;

    bool operator==(const FinishRecord &) const = default;
};

using LedgerRecord
    = std::variant<EpochRecord, ClaimRecord, AssignRecord, UnassignRecord, FinishRecord>;

/// Digest that tells different requests under the same key apart. Leaves out what differs between
/// two tries of one request: the deadline, which is reduced in transit, and whether the caller
/// waits.
std::uint64_t specDigest(const JobSpec &spec);

/// Encodes a record as JSON text. Strings that are not UTF-8 are written as hexadecimal digits.
std::string encodeRecord(const LedgerRecord &record);
/// Decodes a record. Malformed input gives findings at `place`. Never throws.
tl::expected<LedgerRecord, Findings> decodeRecord(const nlohmann::json &json,
                                                  std::string_view place);

} // namespace Hibiscus
