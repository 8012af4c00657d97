#pragma once

#include <Tasks/TaskProgress.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus::Tasks {

/// Encoding of the stored records of a job. Decoding errors are described in plain text.
std::string encodeJob(const Job &job);
tl::expected<Job, std::string> decodeJob(std::string_view text);

std::string encodeProgress(const JobProgress &progress);
/// Decodes a progress record, which must have been encoded for `job`.
tl::expected<JobProgress, std::string> decodeProgress(std::string_view text, const Job &job);

/// Decodes only the job's state, which is all that answers to callers need.
tl::expected<JobState, std::string> decodeProgressState(std::string_view text);

} // namespace Hibiscus::Tasks
