#pragma once

#include <Ledger/LedgerRecord.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// Who wrote a value, unlike any other value ever written by anyone.
struct WriterId
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0; ///< Of the writer's values.

    bool operator==(const WriterId &) const = default;
};

/// One value of a shard: a batch of its log, a part of a snapshot, or the snapshot's head.
struct LedgerBatch
{
    WriterId writer;
    /// Of the batch in its log, from 1 on. In a snapshot: of the last batch that it covers.
    std::uint64_t sequence = 0;
    std::vector<LedgerRecord> records;
    std::vector<std::string> parts; ///< Keys of a snapshot's parts; only in its head.

    bool operator==(const LedgerBatch &) const = default;
};

/// `records` are texts made by encodeRecord.
std::string encodeBatch(const WriterId &writer, std::uint64_t sequence,
                        std::span<const std::string> records, std::span<const std::string> parts);
/// Never throws.
tl::expected<LedgerBatch, Findings> decodeBatch(std::string_view text, std::string_view place);

} // namespace Hibiscus
