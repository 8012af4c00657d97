#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// A line of a structured log that speaks of one request, or of what all requests rest on.
struct LogLine
{
    std::int64_t time = 0; ///< Milliseconds since 1970, by the instance's clock.
    std::string instance;
    std::string event;
    std::string details; ///< The other fields, as "name=value" words.
    bool settles = false; ///< Tells the request's final outcome.
};

/// Picks the lines of one request out of instances' logs, and those on leaders, the store and
/// settings between its first and its last line. Text that is no log line is passed over: logs may
/// carry a prefix before the JSON.
class RequestStory
{
public:
    explicit RequestStory(std::string request);

    void read(std::istream &log);
    /// In order of time, equal times in order of reading.
    std::vector<LogLine> lines() const;

private:
    struct Entry
    {
        LogLine line;
        bool ofRequest = false;
    };

    void readLine(std::string_view text);

    std::string request;
    std::vector<Entry> entries;
};

/// One line each: time from the first, instance, event, details; the last that settles is marked.
std::string renderStory(std::span<const LogLine> lines);

} // namespace Hibiscus
