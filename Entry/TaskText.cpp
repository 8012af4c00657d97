#include <Entry/TaskText.h>

#include <nlohmann/json.hpp>

namespace Hibiscus {

using Json = nlohmann::json;

namespace {

Json placesToJson(const TaskText &text)
{
    Json members = Json::array();
    for (std::size_t i = 0; i < text.places.size(); ++i) {
        const TaskPlace &place = text.places[i];
        members.push_back({{"worker", place.worker},
                           {"incarnation", place.incarnation},
                           {"slots", place.slots},
                           {"task", text.tasks[i]}});
    }
    return members;
}

TaskText fromJson(const Json &json)
{
    TaskText text;
    JobSpec &spec = text.spec;
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
    text.requester = json.at("requester").get<std::string>();
    text.attempt = json.at("attempt").get<std::uint32_t>();
    for (const Json &member : json.at("members")) {
        text.places.push_back({member.at("worker").get<std::string>(),
                               member.at("incarnation").get<std::string>(),
                               member.at("slots").get<SlotMask>()});
        text.tasks.push_back(member.at("task").get<std::string>());
    }
    return text;
}

} // namespace

std::string toJson(const TaskText &text)
{
    const JobSpec &spec = text.spec;
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
                    {"requester", text.requester},
                    {"attempt", text.attempt},
                    {"members", placesToJson(text)}};
    return json.dump();
}

std::optional<TaskText> parseTaskText(std::string_view text)
{
    try {
        return fromJson(Json::parse(text));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Hibiscus
