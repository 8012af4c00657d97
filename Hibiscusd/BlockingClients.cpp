#include <Hibiscusd/BlockingClients.h>

#include <caf/all.hpp>

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::StoreCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::WorkerCall)

namespace Hibiscus {

namespace {

using FetchAtom = caf::atom_constant<caf::atom("fetch")>;

caf::behavior storeClient(caf::event_based_actor *, const StoreClient::Settings &settings,
                          const StoreReplyHandler &handler)
{
    const auto client = std::make_shared<StoreClient>(settings);
    return {
        [client, handler](const StoreCall &call) {
            handler(call.call, client->execute(call.request));
        },
    };
}

caf::behavior workerClient(caf::event_based_actor *, const WorkerClient::Settings &settings,
                           const WorkerReplyHandler &handler)
{
    const auto client = std::make_shared<WorkerClient>(settings);
    return {
        [client, handler](const WorkerCall &call) {
            handler(call.call, client->execute(call.request));
        },
    };
}

caf::behavior liveListClient(caf::event_based_actor *self, const LiveListClient::Settings &settings,
                             Duration interval, const LiveListHandler &handler)
{
    const auto client = std::make_shared<LiveListClient>(settings);
    self->send(self, FetchAtom::value);
    return {
        [=](FetchAtom) {
            handler(client->fetch());
            self->delayed_send(self, interval, FetchAtom::value);
        },
    };
}

} // namespace

caf::actor startStoreClient(caf::actor_system &system, const StoreClient::Settings &settings,
                            StoreReplyHandler handler)
{
    return system.spawn<caf::detached>(storeClient, settings, std::move(handler));
}

caf::actor startWorkerClient(caf::actor_system &system, const WorkerClient::Settings &settings,
                             WorkerReplyHandler handler)
{
    return system.spawn<caf::detached>(workerClient, settings, std::move(handler));
}

caf::actor startLiveListClient(caf::actor_system &system, const LiveListClient::Settings &settings,
                               Duration interval, LiveListHandler handler)
{
    return system.spawn<caf::detached>(liveListClient, settings, interval, std::move(handler));
}

StoreWatch::StoreWatch(const StoreClient::Settings &settings, std::string prefix, Handlers handlers)
    : settings(settings)
    , prefix(std::move(prefix))
    , handlers(std::move(handlers))
    , thread([this] { this->run(); })
{}

StoreWatch::~StoreWatch()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->activeWatch.request_stop();
    }
    this->wakeup.notify_one();
    this->thread.join();
}

void StoreWatch::open(std::int64_t fromRevision)
{
    const std::lock_guard lock(this->mutex);
    this->requestedRevision = fromRevision;
    this->activeWatch.request_stop();
    this->wakeup.notify_one();
}

void StoreWatch::run()
{
    StoreClient client(this->settings);
    for (;;) {
        std::unique_lock lock(this->mutex);
        this->wakeup.wait(lock, [this] { return this->stopping || this->requestedRevision; });
        if (this->stopping)
            return;
        const std::int64_t fromRevision = *this->requestedRevision;
        this->requestedRevision.reset();
        this->activeWatch = std::stop_source();
        const std::stop_token stop = this->activeWatch.get_token();
        lock.unlock();
        if (!client.watch(this->prefix, fromRevision, this->handlers.changed, stop))
            this->handlers.broken();
    }
}

} // namespace Hibiscus
