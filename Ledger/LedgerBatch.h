#pragma once

#include <Ledger/LedgerRecord.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// Identifies the write of one value. No two values written by any instance have the same id.
struct WriterId
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0; ///< Number of the value among those of this incarnation.

    bool operator==(const WriterId &) const = default;
};

/// One value of a shard in the store: a batch of the log, a part of a snapshot, or the head of a
/// snapshot.
struct LedgerBatch
{
    WriterId writer;
    /// Sequence number of the batch in the log, starting with 1. In a snapshot: number of the last
    /// batch that the snapshot covers.
    std::uint64_t sequence = 0;
    std::vector<LedgerRecord> records;
    std::vector<std::string> parts; ///< Keys of the snapshot's parts; set only in the head.

    bool operator==(const LedgerBatch &) const = default;
};

/// Encodes a batch as JSON text. `records` are texts made by encodeRecord.
std::string encodeBatch(const WriterId &writer, std::uint64_t sequence,
                        std::span<const std::string> records, std::span<const std::string> parts);
/// Decodes a batch. Malformed text gives findings at `place`. Never throws.
tl::expected<LedgerBatch, Findings> decodeBatch(std::string_view text, std::string_view place);

} // namespace Hibiscus
