#include <Core/Job.h>

#include <array>
#include <string_view>

namespace Hibiscus {

namespace {

constexpr std::array urgencyNames{"urgent", "standard", "background"};
constexpr std::array adjacencyNames{"any", "worker", "rack", "neighboring-racks"};
constexpr std::array statusNames{"unknown", "accepted", "running",   "done",
                                 "failed",  "not-run",  "cancelled", "outcome-unknown"};

template <class Enum, std::size_t size>
std::optional<Enum> find(const std::array<const char *, size> &names, std::string_view text)
{
    for (std::size_t i = 0; i < size; ++i) {
        if (text == names[i])
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

} // namespace

bool isFinal(JobStatus status)
{
    return status >= JobStatus::Done;
}

const char *toString(UrgencyClass urgency)
{
    return urgencyNames[static_cast<std::size_t>(urgency)];
}

const char *toString(Adjacency adjacency)
{
    return adjacencyNames[static_cast<std::size_t>(adjacency)];
}

const char *toString(JobStatus status)
{
    return statusNames[static_cast<std::size_t>(status)];
}

std::optional<UrgencyClass> urgencyClassFromString(std::string_view text)
{
    return find<UrgencyClass>(urgencyNames, text);
}

std::optional<Adjacency> adjacencyFromString(std::string_view text)
{
    return find<Adjacency>(adjacencyNames, text);
}

std::optional<JobStatus> jobStatusFromString(std::string_view text)
{
    return find<JobStatus>(statusNames, text);
}

std::string jobKey(std::string_view customer, std::string_view requestId)
{
    std::string key(customer);
    key += '/';
    key += requestId;
    return key;
}

} // namespace Hibiscus
