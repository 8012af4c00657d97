#pragma once

#include <Core/Findings.h>

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

/// One compiled JSON schema. Thread-safe once constructed.
class JsonSchema
{
public:
    /// Compiles the definition `name` of Schemas.h.
    explicit JsonSchema(std::string_view name);
    ~JsonSchema();

    /// Returns all violations of the schema with their JSON pointers.
    Findings check(const nlohmann::json &document) const;

    /// Parses a text and checks it against the schema. Malformed JSON gives one finding at the
    /// root.
    tl::expected<nlohmann::json, Findings> parse(std::string_view text, std::size_t maxBytes) const;

private:
    struct Data;
    std::unique_ptr<Data> data;
};

/// Returns the JSON pointer of member `key` of `parent`; escapes the key.
std::string pointerTo(std::string_view parent, std::string_view key);

} // namespace Hibiscus
