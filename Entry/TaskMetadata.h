#pragma once

#include <Core/Job.h>
#include <Wire/PeerMessage.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// Description of a job that each of its tasks carries, so that a dispatcher can rebuild its
/// running jobs from the workers' reports alone. The payload is left out, as the keeper or
/// requester that may run the job again still holds it.
struct TaskMetadata
{
    JobSpec spec; ///< Without payload.
    std::string requester; ///< Instance that waits for the answer of a job that is not durable.
    std::uint32_t attempt = 0;
    std::vector<TaskPlace> places; ///< Places of all members, in order.
    std::vector<std::string> tasks; ///< Task ids of all members, in the same order.
};

/// Renders the metadata as one JSON object, whose "key" is the job's key.
std::string toJson(const TaskMetadata &metadata);
/// Returns nothing if the text is not valid task metadata.
std::optional<TaskMetadata> parseTaskMetadata(std::string_view metadata);

} // namespace Hibiscus
