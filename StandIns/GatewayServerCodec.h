#pragma once

#include <Core/Findings.h>
#include <StandIns/StandInStore.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

// Server side of the etcd v3 JSON gateway, limited to operations on one key at a time.

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

/// Decodes the request to a path, e.g. "/v3/kv/txn". Anything outside the supported subset is
/// reported as a finding.
tl::expected<StoreRequest, Findings> decodeStoreRequest(std::string_view path,
                                                        std::string_view body);
tl::expected<WatchRequest, Findings> decodeWatchRequest(std::string_view body);

/// Encodes the response to a request that was refused or whose status is not NoAnswer. Outcomes
/// without an answer must not be passed.
GatewayResponse encodeStoreResponse(const StoreRequest &request, const StoreOutcome &outcome);
GatewayResponse encodeBadRequest(const Findings &findings);

/// Encodes the line that confirms the start of a watch, including its newline.
std::string encodeWatchCreated(std::int64_t storeRevision);
/// Encodes one line of a watch stream with the given changes, including its newline.
std::string encodeWatchChanges(const StoreWatchResult &result);

} // namespace Hibiscus
