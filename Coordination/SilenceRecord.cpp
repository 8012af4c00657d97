#include <Coordination/RecordFields.h>
#include <Coordination/SilenceRecord.h>

#include <nlohmann/json.hpp>

namespace Hibiscus::Coordination {

using nlohmann::json;

std::string encodeSilence(const SilenceRecord &record)
{
    return json{{"leader", record.leader}, {"workers", record.workers}}.dump();
}

std::optional<SilenceRecord> decodeSilence(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    const json *leader = findField(value, "leader", json::value_t::string);
    const json *workers = findField(value, "workers", json::value_t::array);
    if (!leader || !workers)
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
