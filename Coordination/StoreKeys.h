#pragma once

#include <string>
#include <string_view>

/// Keys of this system in the platform's store.
namespace Hibiscus::Coordination::StoreKeys {

inline constexpr const char *leader = "hibiscus/leader";
/// Accepted jobs and their cancellations, in one prefix so that one watch tells of both.
inline constexpr const char *jobs = "hibiscus/job/";
inline constexpr const char *progress = "hibiscus/progress/";
/// How many jobs wait, by queue. Read on demand.
inline constexpr const char *load = "hibiscus/load";
/// How long new jobs would wait, by queue, where that is long. Watched by all instances.
inline constexpr const char *waits = "hibiscus/waits";

std::string job(std::string_view id);
std::string cancellation(std::string_view id);
std::string progressOf(std::string_view id);

/// A key below `jobs`, taken apart.
struct JobKey
{
    std::string id;
    bool cancellation = false;
};
JobKey parseJobKey(std::string_view key);

} // namespace Hibiscus::Coordination::StoreKeys
