#include <Hibiscusd/BoundedTaskQueue.h>

namespace Hibiscus {

namespace {

/// Limit of connections that wait to be refused. Beyond it, the accepting thread refuses new
/// connections itself.
constexpr std::size_t largestRefusalQueue = 256;

thread_local bool refusing = false;

} // namespace

BoundedTaskQueue::BoundedTaskQueue(std::size_t threads, std::size_t queued)
    : largestQueue(queued)
{
    for (std::size_t i = 0; i < threads; ++i)
        this->threads.emplace_back([this] { this->serve(this->served, false); });
    this->threads.emplace_back([this] { this->serve(this->refused, true); });
}

BoundedTaskQueue::~BoundedTaskQueue()
{
    this->BoundedTaskQueue::shutdown();
}

bool BoundedTaskQueue::isRefusing()
{
    return refusing;
}

void BoundedTaskQueue::enqueue(std::function<void()> connection)
{
    std::unique_lock lock(this->mutex);
    const bool fits = this->served.connections.size() < this->largestQueue;
    Queue &queue = fits ? this->served : this->refused;
    // The connection's function closes its socket, so it has to run in any case. If the refusal
    // queue is full too, the accepting thread runs it, which keeps further connections in the
    // kernel's queue.
    if (!fits && queue.connections.size() >= largestRefusalQueue) {
        lock.unlock();
        refusing = true;
        connection();
        refusing = false;
        return;
    }
    queue.connections.push_back(std::move(connection));
    queue.wakeup.notify_one();
}

void BoundedTaskQueue::shutdown()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->served.wakeup.notify_all();
    this->refused.wakeup.notify_all();
    for (std::thread &thread : this->threads) {
        if (thread.joinable())
            thread.join();
    }
    this->threads.clear();
}

void BoundedTaskQueue::serve(Queue &queue, bool refuses)
{
    refusing = refuses;
    for (;;) {
        std::unique_lock lock(this->mutex);
        queue.wakeup.wait(lock, [&] { return this->stopping || !queue.connections.empty(); });
        if (queue.connections.empty())
            return;
        const std::function<void()> connection = std::move(queue.connections.front());
        queue.connections.pop_front();
        lock.unlock();
        connection();
    }
}

} // namespace Hibiscus
