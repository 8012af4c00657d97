#pragma once

#include <Core/Time.h>

#include <array>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Hibiscus::Runtime {

/// Kinds of log lines. Each kind has its own limit of lines per second.
enum class LogKind : std::uint8_t {
    Process, ///< Start, stop or reload of the process.
    Dependency, ///< A store, worker or configuration was lost, regained or changed.
    Leadership,
    Request, ///< A decision on a caller's request.
    Refusal, ///< A call was rejected for its API key, its path or its deadline.
    Task, ///< A task was assigned, started, stopped or ended.
    Record, ///< Records of jobs were written to the store.
    Fault, ///< Unexpected condition, such as malformed input.
    Count,
};

/// Fields of one log line. Keys are in camel case; values are plain JSON.
using LogFields = nlohmann::ordered_json;

/// Structured log on standard output with one JSON object per line. Writing never blocks: lines
/// that standard output does not take at once are kept in a bounded buffer, and lines that do not
/// fit into the buffer are dropped and counted.
class EventLog
{
public:
    struct Settings
    {
        std::string instance;
        int descriptor = 1;
        std::uint32_t linesPerSecond = 200; ///< Limit for each kind of line.
        std::size_t bufferBytes = std::size_t{64} * 1024;
    };

    explicit EventLog(const Settings &settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Writes one line unless the limit of its kind is reached. `event` is a fixed short text that
    /// names the event.
    void write(LogKind kind, std::string_view event, const LogFields &fields, TimePoint now,
               std::int64_t wallMs);

    std::uint64_t droppedLines() const { return this->dropped; }

private:
    class Sink;

    struct RateLimit
    {
        TimePoint windowStart{};
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0; ///< Lines over the limit in this window.
    };

    bool admitLine(RateLimit &limit, LogKind kind, TimePoint now, std::int64_t wallMs);
    void emitLine(LogKind kind, std::string_view event, const LogFields &fields,
                  std::int64_t wallMs);

    Settings settings;
    std::shared_ptr<Sink> sink;
    std::array<RateLimit, static_cast<std::size_t>(LogKind::Count)> rateLimits{};
    std::uint64_t dropped = 0;
};

} // namespace Hibiscus::Runtime
