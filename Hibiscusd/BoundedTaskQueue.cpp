#include <Hibiscusd/BoundedTaskQueue.h>

namespace Hibiscus {

namespace {

/// Beyond so many refused connections waiting for their refusal, the newest is closed unread.
constexpr std::size_t largestRefusalQueue = 256;

thread_local bool turningAway = false;

} // namespace

BoundedTaskQueue::BoundedTaskQueue(std::size_t threads, std::size_t queued)
    : largestQueue(queued)
{
    for (std::size_t i = 0; i < threads; ++i)
        this->threads.emplace_back([this] { this->serve(this->served, false); });
    this->threads.emplace_back([this] { this->serve(this->turnedAway, true); });
}

BoundedTaskQueue::~BoundedTaskQueue()
{
    this->BoundedTaskQueue::shutdown();
}

bool BoundedTaskQueue::isTurningAway()
{
    return turningAway;
}

void BoundedTaskQueue::enqueue(std::function<void()> connection)
{
    std::unique_lock lock(this->mutex);
    const bool fits = this->served.connections.size() < this->largestQueue;
    Lane &lane = fits ? this->served : this->turnedAway;
    // The connection's closure closes its socket, so it has to run; past the last bound the
    // accepting thread itself runs it, which holds further connections back in the kernel.
    if (!fits && lane.connections.size() >= largestRefusalQueue) {
        lock.unlock();
        turningAway = true;
        connection();
        turningAway = false;
        return;
    }
    lane.connections.push_back(std::move(connection));
    lane.wakeup.notify_one();
}

void BoundedTaskQueue::shutdown()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->served.wakeup.notify_all();
    this->turnedAway.wakeup.notify_all();
    for (std::thread &thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
    this->threads.clear();
}

void BoundedTaskQueue::serve(Lane &lane, bool turnsAway)
{
    turningAway = turnsAway;
    for (;;) {
        std::unique_lock lock(this->mutex);
        lane.wakeup.wait(lock, [&] { return this->stopping || !lane.connections.empty(); });
        if (lane.connections.empty())
            return;
        const std::function<void()> connection = std::move(lane.connections.front());
        lane.connections.pop_front();
        lock.unlock();
        connection();
    }
}

} // namespace Hibiscus
