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

/// One message of a watch's stream.
struct GatewayWatchMessage
{
    StoreWatchBatch batch;
    bool canceled = false; ///< The store has ended the watch.
};

/// The key after every key that begins with `prefix`; the whole key space for an empty one.
std::string prefixEnd(std::string_view prefix);

GatewayRequest encodeStoreRequest(const StoreRequest &request);
GatewayRequest encodeWatchRequest(std::string_view prefix, std::int64_t fromRevision);

/// Reads the answer to `request`. What is malformed, or an error that leaves the outcome open, is
/// NoAnswer. A lease that has ended is Conflict.
StoreReply decodeStoreReply(const StoreRequest &request, int httpStatus, std::string_view body);

/// Reads one line of a watch's stream; nothing if it is malformed.
std::optional<GatewayWatchMessage> decodeWatchMessage(std::string_view line);

} // namespace Hibiscus
