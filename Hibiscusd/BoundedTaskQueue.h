#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace Hibiscus {

/// Connection queue of one HTTP listener: a fixed number of threads, a bounded queue in front of
/// them, and one more thread that refuses connections which do not fit into the queue, so that
/// clients are answered at once.
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
    BoundedTaskQueue(std::size_t threads, std::size_t queued);
    ~BoundedTaskQueue() override;

    void enqueue(std::function<void()> connection) override;
    void shutdown() override;

    /// True in a thread that is refusing a connection, where handlers answer "not run".
    static bool isRefusing();

private:
    struct Queue
    {
        std::deque<std::function<void()>> connections;
        std::condition_variable wakeup;
    };

    void serve(Queue &queue, bool refuses);

    std::size_t largestQueue;
    std::mutex mutex;
    bool stopping = false;
    Queue served;
    Queue refused;
    std::vector<std::thread> threads;
};

} // namespace Hibiscus
