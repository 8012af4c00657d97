#pragma once

#include <Coordination/TimerService.h>
#include <Runtime/JumpFilter.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>

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

/// The system clock of the machine, without its short jumps.
class SystemWallClock final : public Coordination::WallClock
{
public:
    using JumpHandler = std::function<void(Duration jump, TimePoint now)>;

    /// `jumped` is called when the machine's clock has jumped.
    explicit SystemWallClock(JumpHandler jumped)
        : jumped(std::move(jumped))
    {}

    std::int64_t nowMs() const override;

private:
    JumpHandler jumped;
    mutable Runtime::JumpFilter filter{{}};
};

} // namespace Hibiscus::Node
