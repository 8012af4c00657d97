#pragma once

#include <Gateway/Store.h>

#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus {

/// One HTTP request to the store's JSON gateway (etcd v3).
struct GatewayRequest
{
    std::string path;
    std::string body;

    bool operator==(const GatewayRequest &) const = default;
};

/// One message in the stream of a watch.
struct GatewayWatchMessage
{
    StoreWatchBatch batch;
    bool canceled = false; ///< The store has ended the watch.
};

/// Returns the end of the key range of `prefix`; for an empty prefix, the end of the key space.
std::string prefixEnd(std::string_view prefix);

GatewayRequest encodeStoreRequest(const StoreRequest &request);
GatewayRequest encodeWatchRequest(std::string_view prefix, std::int64_t fromRevision);

/// Decodes the answer to `request`. Malformed answers and errors that leave the outcome open give
/// NoAnswer. A lease that has ended gives Conflict.
StoreReply decodeStoreReply(const StoreRequest &request, int httpStatus, std::string_view body);

/// Decodes one line in the stream of a watch. Returns nothing if the line is malformed.
std::optional<GatewayWatchMessage> decodeWatchMessage(std::string_view line);

} // namespace Hibiscus
