#include <Coordination/RecordFields.h>
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
    const json record = json::parse(text, nullptr, false);
    const json *leader = findField(record, "leader", json::value_t::string);
    const json *ended = findField(record, "ended", json::value_t::boolean);
    const json *settled = findField(record, "settled", json::value_t::boolean);
    if (!leader || !ended || !settled)
        return std::nullopt;
    return TermRecord{leader->get<std::string>(), ended->get<bool>(), settled->get<bool>()};
}

} // namespace Hibiscus::Coordination
