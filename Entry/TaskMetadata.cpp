#include <Entry/TaskMetadata.h>

#include <nlohmann/json.hpp>

namespace Hibiscus {

using Json = nlohmann::json;

namespace {

Json placesToJson(const TaskMetadata &metadata)
{
    Json members = Json::array();
    for (std::size_t i = 0; i < metadata.places.size(); ++i) {
        const TaskPlace &place = metadata.places[i];
        members.push_back({{"worker", place.worker},
                           {"incarnation", place.incarnation},
                           {"slots", place.slots},
                           {"task", metadata.tasks[i]}});
    }
    return members;
}

TaskMetadata fromJson(const Json &json)
{
    TaskMetadata metadata;
    JobSpec &spec = metadata.spec;
    spec.requestId = json.at("requestId").get<std::string>();
    spec.customer = json.at("customer").get<std::string>();
    spec.caller = json.at("caller").get<std::string>();
    spec.kind = json.at("kind").get<std::string>();
    spec.urgency = urgencyClassFromString(json.at("urgency").get<std::string>()).value();
    spec.adjacency = adjacencyFromString(json.at("adjacency").get<std::string>()).value();
    spec.idempotent = json.at("idempotent").get<bool>();
    spec.durable = json.at("durable").get<bool>();
    spec.accelerators = json.at("accelerators").get<std::uint16_t>();
    spec.memoryMiB = json.at("memoryMiB").get<std::uint32_t>();
    spec.declaredRunTime = milliseconds(json.at("declaredRunTimeMs").get<std::int64_t>());
    metadata.requester = json.at("requester").get<std::string>();
    metadata.attempt = json.at("attempt").get<std::uint32_t>();
    for (const Json &member : json.at("members")) {
        metadata.places.push_back({member.at("worker").get<std::string>(),
                                   member.at("incarnation").get<std::string>(),
                                   member.at("slots").get<SlotMask>()});
        metadata.tasks.push_back(member.at("task").get<std::string>());
    }
    return metadata;
}

} // namespace

std::string toJson(const TaskMetadata &metadata)
{
    const JobSpec &spec = metadata.spec;
    const auto runTime = std::chrono::duration_cast<milliseconds>(spec.declaredRunTime);
    const Json json{{"key", jobKey(spec.customer, spec.requestId)},
                    {"requestId", spec.requestId},
                    {"customer", spec.customer},
                    {"caller", spec.caller},
                    {"kind", spec.kind},
                    {"urgency", toString(spec.urgency)},
                    {"adjacency", toString(spec.adjacency)},
                    {"idempotent", spec.idempotent},
                    {"durable", spec.durable},
                    {"accelerators", spec.accelerators},
                    {"memoryMiB", spec.memoryMiB},
                    {"declaredRunTimeMs", runTime.count()},
                    {"requester", metadata.requester},
                    {"attempt", metadata.attempt},
                    {"members", placesToJson(metadata)}};
    return json.dump();
}

std::optional<TaskMetadata> parseTaskMetadata(std::string_view metadata)
{
    try {
        return fromJson(Json::parse(metadata));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Hibiscus
