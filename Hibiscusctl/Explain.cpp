#include <Hibiscusctl/Explain.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

using nlohmann::ordered_json;

/// Events that report the final outcome of a request.
constexpr std::array<std::string_view, 3> finalOutcomeEvents{"job over", "job refused",
                                                             "call turned away"};
/// Kinds of lines about the state of the system rather than about one request.
constexpr std::array<std::string_view, 3> contextKinds{"leadership", "process", "fault"};

bool isContext(std::string_view kind, std::string_view event)
{
    const bool store = event.starts_with("store ");
    return store || std::find(contextKinds.begin(), contextKinds.end(), kind) != contextKinds.end();
}

std::string describe(const ordered_json &line)
{
    std::string details;
    for (const auto &[name, value] : line.items()) {
        if (name == "time" || name == "instance" || name == "kind" || name == "event"
            || name == "request" || name == "requests")
            continue;
        const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
        if (!details.empty())
            details += ' ';
        details.append(name).append("=").append(text);
    }
    return details;
}

std::string textOf(const ordered_json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// Whether the line concerns the request, alone ("request") or with others ("requests").
bool concerns(const ordered_json &line, const std::string &request)
{
    const auto several = line.find("requests");
    if (several == line.end() || !several->is_array())
        return textOf(line, "request") == request;
    return std::find(several->begin(), several->end(), request) != several->end();
}

} // namespace

RequestTimeline::RequestTimeline(std::string request)
    : request(std::move(request))
{}

void RequestTimeline::read(std::istream &log)
{
    std::string text;
    while (std::getline(log, text))
        this->readLine(text);
}

void RequestTimeline::readLine(std::string_view text)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string_view::npos)
        return;
    const ordered_json line = ordered_json::parse(text.substr(begin), nullptr, false);
    if (!line.is_object() || !line.contains("time") || !line["time"].is_number_integer())
        return;
    const std::string event = textOf(line, "event");
    const bool isOfRequest = concerns(line, this->request);
    if (!isOfRequest && !isContext(textOf(line, "kind"), event))
        return;
    const bool isFinalOutcome = isOfRequest
        && std::find(finalOutcomeEvents.begin(), finalOutcomeEvents.end(), event)
            != finalOutcomeEvents.end();
    LogLine entry{line["time"].get<std::int64_t>(), textOf(line, "instance"), event, describe(line),
                  isFinalOutcome};
    this->entries.push_back({std::move(entry), isOfRequest});
}

std::vector<LogLine> RequestTimeline::lines() const
{
    std::vector<Entry> sorted = this->entries;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Entry &left, const Entry &right) {
        return left.line.time < right.line.time;
    });
    const auto concernsRequest = [](const Entry &entry) { return entry.isOfRequest; };
    const auto first = std::find_if(sorted.begin(), sorted.end(), concernsRequest);
    const auto last = std::find_if(sorted.rbegin(), sorted.rend(), concernsRequest).base();
    std::vector<LogLine> lines;
    for (auto entry = first; entry < last; ++entry)
        lines.push_back(entry->line);
    return lines;
}

std::string renderTimeline(std::span<const LogLine> lines)
{
    const auto isFinalOutcome = [](const LogLine &line) { return line.isFinalOutcome; };
    const auto finalLine = std::find_if(lines.rbegin(), lines.rend(), isFinalOutcome);
    std::string text;
    for (const LogLine &line : lines) {
        std::array<char, 32> offset{};
        std::snprintf(offset.data(), offset.size(), "%+10.3f s",
                      static_cast<double>(line.time - lines.front().time) / 1000.0);
        const bool isFinalLine = finalLine != lines.rend() && &*finalLine == &line;
        text += std::string(isFinalLine ? "=> " : "   ") + offset.data() + "  " + line.instance
            + "  " + line.event + "  " + line.details + "\n";
    }
    return text;
}

} // namespace Hibiscus
