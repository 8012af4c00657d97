#include <Coordination/RecordFields.h>

namespace Hibiscus::Coordination {

const nlohmann::json *findField(const nlohmann::json &record, const char *name,
                                nlohmann::json::value_t type)
{
    if (!record.is_object())
        return nullptr;
    const auto field = record.find(name);
    return field != record.end() && field->type() == type ? &*field : nullptr;
}

} // namespace Hibiscus::Coordination
