#pragma once

#include <Core/Findings.h>
#include <StandIns/StandInStore.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

// The store's side of the etcd v3 JSON gateway, as far as one key at a time needs it.

struct WatchRequest
{
    std::string key;
    std::string rangeEnd;
    std::int64_t fromRevision = 0;
};

struct GatewayResponse
{
    int httpStatus = 200;
    std::string body;
};

/// Reads a request by its path, e.g. "/v3/kv/txn"; what is beyond the subset is a finding.
tl::expected<StoreRequest, Findings> decodeStoreRequest(std::string_view path,
                                                        std::string_view body);
tl::expected<WatchRequest, Findings> decodeWatchRequest(std::string_view body);

/// Writes an outcome that has an answer: refused, or not NoAnswer.
GatewayResponse encodeStoreResponse(const StoreRequest &request, const StoreOutcome &outcome);
GatewayResponse encodeBadRequest(const Findings &findings);

/// One line of a watch's stream, its newline included.
std::string encodeWatchCreated(std::int64_t storeRevision);
std::string encodeWatchChanges(const StoreWatchResult &result);

} // namespace Hibiscus
