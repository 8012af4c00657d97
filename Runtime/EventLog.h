#pragma once

#include <Core/Time.h>

#include <array>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Hibiscus::Runtime {

/// Kinds of lines; each kind has its own limit of lines a second.
enum class LogKind : std::uint8_t {
    Process, ///< Start, stop, reload.
    Dependency, ///< Store, worker or configuration lost, regained or changed.
    Leadership,
    Request, ///< A caller's request was decided.
    Refusal, ///< A call was turned away for its key, its path or its time.
    Task, ///< A task was assigned, started, stopped or ended.
    Fault, ///< Something unexpected, such as input that can't be read.
    Count,
};

/// Fields of one line. Keys are in camel case; values are plain JSON.
using LogFields = nlohmann::ordered_json;

/// Structured log on standard output: one JSON object a line. Writing never blocks: what standard
/// output does not take is held in a bounded buffer, and what does not fit there is dropped and
/// counted.
class EventLog
{
public:
    struct Settings
    {
        std::string instance;
        int descriptor = 1;
        std::uint32_t linesPerSecond = 200; ///< Of each kind.
        std::size_t bufferBytes = std::size_t{64} * 1024;
    };

    explicit EventLog(const Settings &settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// `event` names what happened in a few fixed words.
    void write(LogKind kind, std::string_view event, const LogFields &fields, TimePoint now,
               std::int64_t wallMs);

    std::uint64_t droppedLines() const { return this->dropped; }

private:
    class Sink;

    struct Budget
    {
        TimePoint windowStart{};
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0; ///< In this window.
    };

    bool admit(Budget &budget, LogKind kind, TimePoint now, std::int64_t wallMs);
    void emitLine(LogKind kind, std::string_view event, const LogFields &fields,
                  std::int64_t wallMs);

    Settings settings;
    std::shared_ptr<Sink> sink;
    std::array<Budget, static_cast<std::size_t>(LogKind::Count)> budgets{};
    std::uint64_t dropped = 0;
};

} // namespace Hibiscus::Runtime
