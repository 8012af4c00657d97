#include <Node/LoopTimers.h>
#include <Runtime/Clock.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace Hibiscus::Node {

void LoopTimers::after(Duration delay, std::function<void(TimePoint now)> handler)
{
    if (delay <= Duration{}) {
        boost::asio::post(this->loop,
                          [handler = std::move(handler)] { handler(Runtime::monotonicNow()); });
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, handler = std::move(handler)](boost::system::error_code error) {
        if (!error)
            handler(Runtime::monotonicNow());
    });
}

std::int64_t SystemWallClock::nowMs() const
{
    const TimePoint now = Runtime::monotonicNow();
    const std::int64_t filtered = this->filter.filter(Runtime::wallClockMs(), now);
    if (const std::optional<Duration> jump = this->filter.newJump())
        this->jumped(*jump, now);
    return filtered;
}

} // namespace Hibiscus::Node
