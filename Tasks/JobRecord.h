#pragma once

#include <Tasks/TaskProgress.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus::Tasks {

/// What stands in the store under a job's keys, as text. Decoding tells what is wrong in words.
std::string encodeJob(const Job &job);
tl::expected<Job, std::string> decodeJob(std::string_view text);

/// Stands under a job's key in place of the job: it was refused, and an earlier sending of it that
/// is still on its way can't enter any more. A later submission may replace it.
std::string encodeRefusal();
bool isRefusal(std::string_view text);

std::string encodeProgress(const JobProgress &progress);
/// The record must have been made for `job`.
tl::expected<JobProgress, std::string> decodeProgress(std::string_view text, const Job &job);

/// The state alone, for answers to callers.
tl::expected<JobState, std::string> decodeProgressState(std::string_view text);

} // namespace Hibiscus::Tasks
