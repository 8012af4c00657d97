#pragma once

#include <Endpoint/WorkerClient.h>
#include <Gateway/LiveList.h>
#include <Gateway/StoreClient.h>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>
#include <tl/expected.hpp>

namespace Hibiscus {

/// Blocking clients run in actors with their own thread, which make one call at a time and pass the
/// reply to a handler. Handlers must only forward the reply.
using StoreReplyHandler = std::function<void(CallId call, const StoreReply &reply)>;
using WorkerReplyHandler = std::function<void(CallId call, const WorkerReply &reply)>;
using LiveListHandler = std::function<void(tl::expected<LiveList, Findings> list)>;

/// Starts an actor that executes StoreCall messages.
caf::actor startStoreClient(caf::actor_system &system, const StoreClient::Settings &settings,
                            StoreReplyHandler handler);

/// Starts an actor that executes WorkerCall messages for one worker.
caf::actor startWorkerClient(caf::actor_system &system, const WorkerClient::Settings &settings,
                             WorkerReplyHandler handler);

/// Starts an actor that fetches the live list at once and then once per interval.
caf::actor startLiveListClient(caf::actor_system &system, const LiveListClient::Settings &settings,
                               Duration interval, LiveListHandler handler);

/// A watch on the store that runs in its own thread, so that calls from other threads never wait
/// for the store.
class StoreWatch
{
public:
    struct Handlers
    {
        std::function<void(const StoreWatchBatch &batch)> changed;
        std::function<void()> broken;
    };

    StoreWatch(const StoreClient::Settings &settings, std::string prefix, Handlers handlers);
    ~StoreWatch();

    /// Opens the watch from a store revision on and replaces the previous watch.
    void open(std::int64_t fromRevision);

private:
    void run();

    StoreClient::Settings settings;
    std::string prefix;
    Handlers handlers;
    std::mutex mutex;
    std::condition_variable wakeup;
    std::optional<std::int64_t> requestedRevision; ///< Start revision of the watch to open.
    std::stop_source activeWatch; ///< Stops the open watch.
    bool stopping = false;
    std::thread thread;
};

} // namespace Hibiscus
