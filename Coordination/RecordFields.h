#pragma once

#include <nlohmann/json.hpp>

namespace Hibiscus::Coordination {

/// Returns the field of a stored record, which is a JSON object. Null if the record is no object,
/// or if the field is absent or of another type.
const nlohmann::json *findField(const nlohmann::json &record, const char *name,
                                nlohmann::json::value_t type);

} // namespace Hibiscus::Coordination
