#pragma once

#include <Config/ConfigurationJson.h>

#include <nlohmann/json.hpp>
#include <string>

namespace Hibiscus {

/// JSON values of the configuration's parts. Reading expects a value that its schema accepts;
/// what a schema can't say (characters of names) is added to `findings`.
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
