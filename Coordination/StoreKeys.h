#pragma once

#include <string>
#include <string_view>

/// Keys of this system in the platform's store.
namespace Hibiscus::Coordination::StoreKeys {

inline constexpr const char *leader = "hibiscus/leader";
/// Key of the newest leader's TermRecord, which outlives its lease.
inline constexpr const char *term = "hibiscus/term";
/// Prefix of accepted jobs and their cancellations, so that one watch reports both.
inline constexpr const char *jobs = "hibiscus/job/";
inline constexpr const char *progress = "hibiscus/progress/";
/// Key of the number of waiting jobs by queue, which instances read on demand.
inline constexpr const char *load = "hibiscus/load";
/// Key of the forecast wait of new jobs, for queues where it is long; all instances watch this key.
inline constexpr const char *waits = "hibiscus/waits";

/// Key of the learned speeds of workers, which the next leader reads.
inline constexpr const char *speeds = "hibiscus/speeds";

/// Key of the leaders' TermTimeRecord.
inline constexpr const char *termTime = "hibiscus/term-time";

/// Key of the leader's SilenceRecord.
inline constexpr const char *silence = "hibiscus/silence";

std::string job(std::string_view id);
std::string cancellation(std::string_view id);
std::string progressOf(std::string_view id);

/// Parts of a key with the prefix `jobs`.
struct JobKey
{
    std::string id;
    bool cancellation = false;
};
JobKey parseJobKey(std::string_view key);

} // namespace Hibiscus::Coordination::StoreKeys
