#pragma once

#include <Gateway/Store.h>

#include <functional>
#include <memory>
#include <stop_token>
#include <string>

namespace Hibiscus {

/// The platform's store over its HTTP/JSON gateway (etcd v3: range, txn, lease, watch).
/// Calls block; use one object from one thread at a time. Never throws. Keeps its connection open
/// between calls; each watch has a connection of its own.
class StoreClient
{
public:
    struct Settings
    {
        std::string host; ///< IP number.
        std::uint16_t port = 0;
        Duration timeout = seconds(2); ///< Of one call, connecting included.
    };

    explicit StoreClient(const Settings &settings);
    ~StoreClient();
    StoreClient(StoreClient &&) noexcept;
    StoreClient &operator=(StoreClient &&) noexcept;

    StoreReply execute(const StoreRequest &request);

    /// Reports changes below `prefix` from a store revision on, until the watch breaks or a stop
    /// is requested. Returns when it has ended; true if a stop was the cause.
    bool watch(const std::string &prefix, std::int64_t fromRevision,
               const std::function<void(const StoreWatchBatch &)> &deliver,
               const std::stop_token &stop);

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
