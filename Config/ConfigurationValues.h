#pragma once

#include <Config/ConfigurationJson.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Hibiscus {

/// Conversion of the parts of a configuration to and from JSON values. Reading requires a value
/// that matches its schema. Violations that the schema can't express (characters in names) are
/// added to `findings`.
nlohmann::json toValue(const ApiKey &key);
nlohmann::json toValue(const Customer &customer);
nlohmann::json toValue(const Preset &preset);
nlohmann::json toValue(const Configuration &configuration);
nlohmann::json toValue(const ConfigChange &change);

ApiKey readKey(const nlohmann::json &value, const std::string &place, Findings &findings);
Customer readCustomer(const nlohmann::json &value, const std::string &place, Findings &findings);
Preset readPreset(const nlohmann::json &value, const std::string &place, Findings &findings);
Configuration readConfiguration(const nlohmann::json &value, const std::string &place,
                                Findings &findings);
ConfigChange readChange(const nlohmann::json &value, const std::string &place, Findings &findings);

} // namespace Hibiscus
