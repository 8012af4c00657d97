#pragma once

#include <Coordination/TimerService.h>

#include <boost/asio/io_context.hpp>

namespace Hibiscus::Node {

/// Timers on the process's event loop.
class LoopTimers final : public Coordination::TimerService
{
public:
    explicit LoopTimers(boost::asio::io_context &loop)
        : loop(loop)
    {}

    void after(Duration delay, std::function<void(TimePoint now)> handler) override;

private:
    boost::asio::io_context &loop;
};

/// The system clock of the machine.
class SystemWallClock final : public Coordination::WallClock
{
public:
    std::int64_t nowMs() const override;
};

} // namespace Hibiscus::Node
