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

/// The connections of one HTTP listener: a fixed number of threads, a bounded queue before them,
/// and one thread more that turns away what does not fit, so that nobody waits in the dark.
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
    BoundedTaskQueue(std::size_t threads, std::size_t queued);
    ~BoundedTaskQueue() override;

    void enqueue(std::function<void()> connection) override;
    void shutdown() override;

    /// True on the thread that turns connections away; handlers answer "not run" there.
    static bool isTurningAway();

private:
    struct Lane
    {
        std::deque<std::function<void()>> connections;
        std::condition_variable wakeup;
    };

    void serve(Lane &lane, bool turnsAway);

    std::size_t largestQueue;
    std::mutex mutex;
    bool stopping = false;
    Lane served;
    Lane turnedAway;
    std::vector<std::thread> threads;
};

} // namespace Hibiscus
