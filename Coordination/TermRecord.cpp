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

} // namespace Hibiscus::Coordination
