#pragma once

#include <Gateway/Store.h>

#include <functional>
#include <memory>
#include <stop_token>
#include <string>

namespace Hibiscus {

/// Client of the platform's store over its HTTP/JSON gateway (etcd v3: range, txn, lease, watch).
/// Calls block. Not thread-safe. Never throws. Keeps its connection open between calls; each watch
/// has a separate connection.
class StoreClient
{
public:
    struct Settings
    {
        std::string host; ///< IP address.
        std::uint16_t port = 0;
        Duration timeout = seconds(2); ///< Limit of one call, including connecting.
    };

    explicit StoreClient(const Settings &settings);
    ~StoreClient();
    StoreClient(StoreClient &&) noexcept;
    StoreClient &operator=(StoreClient &&) noexcept;

    StoreReply execute(const StoreRequest &request);

    /// Reports changes of keys with `prefix` from a store revision on. Returns when the watch has
    /// ended: true if a stop was requested, false if the watch broke.
    bool watch(const std::string &prefix, std::int64_t fromRevision,
               const std::function<void(const StoreWatchBatch &)> &deliver,
               const std::stop_token &stop);

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
