#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// A line of a structured log about one request, or about the state of the system that affects all
/// requests.
struct LogLine
{
    std::int64_t time = 0; ///< Milliseconds since 1970, by the instance's clock.
    std::string instance;
    std::string event;
    std::string details; ///< The other fields, as "name=value" words.
    bool isFinalOutcome = false; ///< Reports the request's final outcome.
};

/// Collects the lines of one request from instances' logs, and the lines about leaders, the store
/// and settings between the request's first and last line. Text that is not a log line is ignored.
/// The JSON of a line may have a prefix.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string request);

    void read(std::istream &log);
    /// Returns the lines in order of time; lines of equal time stay in the order in which they were
    /// read.
    std::vector<LogLine> lines() const;

private:
    struct Entry
    {
        LogLine line;
        bool isOfRequest = false;
    };

    void readLine(std::string_view text);

    std::string request;
    std::vector<Entry> entries;
};

/// Renders each line as the time since the first line, the instance, the event and the details. The
/// last line that reports a final outcome is marked.
std::string renderTimeline(std::span<const LogLine> lines);

} // namespace Hibiscus
