#pragma once

#include <string_view>

namespace Hibiscus {

/// Names of the schemas of complete documents.
inline constexpr std::string_view customerSchema = "customer";
inline constexpr std::string_view presetSchema = "preset";
inline constexpr std::string_view configurationSchema = "configuration";
inline constexpr std::string_view changeSchema = "change";
inline constexpr std::string_view changeRecordSchema = "changeRecord";
inline constexpr std::string_view snapshotSchema = "snapshot";
inline constexpr std::string_view instanceSettingsSchema = "instanceSettings";
inline constexpr std::string_view requestSchema = "request";
inline constexpr std::string_view answerSchema = "answer";

/// Returns all schemas as one JSON object by name. They refer to each other as
/// "#/definitions/NAME".
std::string_view schemaDefinitions();

} // namespace Hibiscus
