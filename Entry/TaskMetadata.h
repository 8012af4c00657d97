#pragma once

#include <Core/Job.h>
#include <Wire/PeerMessage.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// What a task carries about its job, so that the workers' reports alone rebuild what runs. The
/// payload is left out: whoever wants the job run again still has it.
struct TaskMetadata
{
    JobSpec spec; ///< Without payload.
    std::string requester; ///< Instance that waits for the answer of a job that is not durable.
    std::uint32_t attempt = 0;
    std::vector<TaskPlace> places; ///< All members in order.
    std::vector<std::string> tasks; ///< Their task ids in the same order.
};

/// As one JSON object. "key" names the job.
std::string toJson(const TaskMetadata &metadata);
/// Nothing if the text is not one of ours.
std::optional<TaskMetadata> parseTaskMetadata(std::string_view metadata);

} // namespace Hibiscus
