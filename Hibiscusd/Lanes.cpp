#include <Hibiscusd/Lanes.h>

#include <caf/all.hpp>

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::StoreCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::WorkerCall)

namespace Hibiscus {

namespace {

using FetchAtom = caf::atom_constant<caf::atom("fetch")>;

caf::behavior storeLane(caf::event_based_actor *, const StoreClient::Settings &settings,
                        const StoreReplyHandler &handler)
{
    const auto client = std::make_shared<StoreClient>(settings);
    return {
        [client, handler](const StoreCall &call) {
            handler(call.call, client->execute(call.request));
        },
    };
}

caf::behavior workerLane(caf::event_based_actor *, const WorkerClient::Settings &settings,
                         const WorkerReplyHandler &handler)
{
    const auto client = std::make_shared<WorkerClient>(settings);
    return {
        [client, handler](const WorkerCall &call) {
            handler(call.call, client->execute(call.request));
        },
    };
}

caf::behavior liveListLane(caf::event_based_actor *self, const LiveListClient::Settings &settings,
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

caf::actor startStoreLane(caf::actor_system &system, const StoreClient::Settings &settings,
                          StoreReplyHandler handler)
{
    return system.spawn<caf::detached>(storeLane, settings, std::move(handler));
}

caf::actor startWorkerLane(caf::actor_system &system, const WorkerClient::Settings &settings,
                           WorkerReplyHandler handler)
{
    return system.spawn<caf::detached>(workerLane, settings, std::move(handler));
}

caf::actor startLiveListLane(caf::actor_system &system, const LiveListClient::Settings &settings,
                             Duration interval, LiveListHandler handler)
{
    return system.spawn<caf::detached>(liveListLane, settings, interval, std::move(handler));
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
        this->ending = true;
        this->current.request_stop();
    }
    this->wakeup.notify_one();
    this->thread.join();
}

void StoreWatch::open(std::int64_t fromRevision)
{
    const std::lock_guard lock(this->mutex);
    this->wanted = fromRevision;
    this->current.request_stop();
    this->wakeup.notify_one();
}

void StoreWatch::run()
{
    StoreClient client(this->settings);
    for (;;) {
        std::unique_lock lock(this->mutex);
        this->wakeup.wait(lock, [this] { return this->ending || this->wanted; });
        if (this->ending)
            return;
        const std::int64_t fromRevision = *this->wanted;
        this->wanted.reset();
        this->current = std::stop_source();
        const std::stop_token stop = this->current.get_token();
        lock.unlock();
        if (!client.watch(this->prefix, fromRevision, this->handlers.changed, stop))
            this->handlers.broken();
    }
}

} // namespace Hibiscus
