#include <Coordination/TermRecord.h>

#include <nlohmann/json.hpp>

namespace Hibiscus::Coordination {

using nlohmann::json;

std::string encodeTerm(const TermRecord &record)
{
    return json{{"leader", record.leader}, {"ended", record.ended}, {"settled", record.settled}}
        .dump();
}

std::optional<TermRecord> decodeTerm(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    const auto leader = value.find("leader");
    const auto ended = value.find("ended");
    const auto settled = value.find("settled");
    const bool isComplete = leader != value.end() && leader->is_string() && ended != value.end()
        && ended->is_boolean() && settled != value.end() && settled->is_boolean();
    if (!isComplete)
        return std::nullopt;
    return TermRecord{leader->get<std::string>(), ended->get<bool>(), settled->get<bool>()};
}

std::string encodeSilence(const SilenceRecord &record)
{
    return json{{"leader", record.leader}, {"workers", record.workers}}.dump();
}

std::optional<SilenceRecord> decodeSilence(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    const auto leader = value.find("leader");
    const auto workers = value.find("workers");
    const bool isComplete = leader != value.end() && leader->is_string() && workers != value.end()
        && workers->is_array();
    if (!isComplete)
        return std::nullopt;
    SilenceRecord record{leader->get<std::string>(), {}};
    for (const json &worker : *workers) {
        if (!worker.is_string())
            return std::nullopt;
        record.workers.insert(worker.get<std::string>());
    }
    return record;
}

} // namespace Hibiscus::Coordination
