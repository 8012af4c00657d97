#include <Runtime/EventLog.h>

#include <cerrno>
#include <fcntl.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

namespace Hibiscus::Runtime {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(LogKind::Count)> kindNames{
    "process", "dependency", "leadership", "request", "refusal", "task", "record", "fault",
};
constexpr Duration rateLimitWindow = seconds(1);

std::string_view nameOf(LogKind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

} // namespace

/// Buffers lines and writes as many bytes to a descriptor as it takes without blocking.
class EventLog::Sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    Sink(int descriptor, std::size_t capacity)
        : descriptor(descriptor)
        , capacity(capacity)
    {}

    std::uint64_t takeDropped() { return std::exchange(this->droppedLines, 0); }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        if (this->pending.size() + message.payload.size() >= this->capacity)
            this->flush_();
        if (this->pending.size() + message.payload.size() >= this->capacity) {
            this->droppedLines++;
            return;
        }
        this->pending.append(message.payload.data(), message.payload.size());
        this->pending.push_back('\n');
        this->flush_();
    }

    void flush_() override
    {
        while (!this->pending.empty() && this->isWritable()) {
            const std::size_t size = std::min(this->pending.size(), atomicPipeWrite);
            const ssize_t written = ::write(this->descriptor, this->pending.data(), size);
            if (written <= 0)
                return;
            this->pending.erase(0, static_cast<std::size_t>(written));
        }
    }

private:
    // A pipe that polls as writable takes this many bytes without blocking. The descriptor itself
    // is not set to non-blocking, since other processes may share it.
    static constexpr std::size_t atomicPipeWrite = 4096;

    bool isWritable() const
    {
        pollfd request{this->descriptor, POLLOUT, 0};
        return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
    }

    int descriptor;
    std::size_t capacity;
    std::string pending;
    std::uint64_t droppedLines = 0;
};

EventLog::EventLog(const Settings &settings)
    : settings(settings)
    , sink(std::make_shared<Sink>(settings.descriptor, settings.bufferBytes))
{}

EventLog::~EventLog()
{
    this->sink->flush();
}

void EventLog::write(LogKind kind, std::string_view event, const LogFields &fields, TimePoint now,
                     std::int64_t wallMs)
{
    RateLimit &limit = this->rateLimits[static_cast<std::size_t>(kind)];
    if (this->admitLine(limit, kind, now, wallMs))
        this->emitLine(kind, event, fields, wallMs);
}

bool EventLog::admitLine(RateLimit &limit, LogKind kind, TimePoint now, std::int64_t wallMs)
{
    if (now - limit.windowStart >= rateLimitWindow) {
        const std::uint64_t suppressed = std::exchange(limit.suppressed, 0);
        limit.windowStart = now;
        limit.written = 0;
        if (suppressed > 0)
            this->emitLine(kind, "lines left out", {{"lines", suppressed}}, wallMs);
    }
    if (limit.written >= this->settings.linesPerSecond) {
        limit.suppressed++;
        this->dropped++;
        return false;
    }
    limit.written++;
    return true;
}

void EventLog::emitLine(LogKind kind, std::string_view event, const LogFields &fields,
                        std::int64_t wallMs)
{
    LogFields line;
    line["time"] = wallMs;
    line["instance"] = this->settings.instance;
    line["kind"] = nameOf(kind);
    line["event"] = event;
    if (fields.is_object())
        line.update(fields);
    const std::string text = line.dump(-1, ' ', false, LogFields::error_handler_t::replace);
    const spdlog::details::log_msg message(spdlog::source_loc{}, "", spdlog::level::info, text);
    this->sink->log(message);
    this->dropped += this->sink->takeDropped();
}

} // namespace Hibiscus::Runtime
