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

/// Blocking clients live in lanes: actors with a thread of their own that make one call at a time
/// and hand the reply to a function, which must only pass it on.
using StoreReplyHandler = std::function<void(CallId call, const StoreReply &reply)>;
using WorkerReplyHandler = std::function<void(CallId call, const WorkerReply &reply)>;
using LiveListHandler = std::function<void(tl::expected<LiveList, Findings> list)>;

/// Takes StoreCall messages.
caf::actor startStoreLane(caf::actor_system &system, const StoreClient::Settings &settings,
                          StoreReplyHandler handler);

/// Takes WorkerCall messages for one worker.
caf::actor startWorkerLane(caf::actor_system &system, const WorkerClient::Settings &settings,
                           WorkerReplyHandler handler);

/// Fetches the live list at once and then at each interval.
caf::actor startLiveListLane(caf::actor_system &system, const LiveListClient::Settings &settings,
                             Duration interval, LiveListHandler handler);

/// One watch on the store in a thread of its own. No call of another thread waits for the store.
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

    /// Opens the watch from a store revision on, in place of an older one.
    void open(std::int64_t fromRevision);

private:
    void run();

    StoreClient::Settings settings;
    std::string prefix;
    Handlers handlers;
    std::mutex mutex;
    std::condition_variable wakeup;
    std::optional<std::int64_t> wanted; ///< Revision of the watch that is to be opened.
    std::stop_source current; ///< Stops the watch that stands.
    bool ending = false;
    std::thread thread;
};

} // namespace Hibiscus
