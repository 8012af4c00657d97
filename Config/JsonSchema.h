#pragma once

#include <Core/Findings.h>

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

/// One compiled JSON schema. Safe for many threads once built.
class JsonSchema
{
public:
    /// `name` is one of the definitions in Schemas.h.
    explicit JsonSchema(std::string_view name);
    ~JsonSchema();

    /// Everything in the document that breaks the schema, each with its JSON pointer.
    Findings check(const nlohmann::json &document) const;

    /// Parses and checks a text. Malformed JSON is one finding at the document's root.
    tl::expected<nlohmann::json, Findings> parse(std::string_view text,
                                                 std::size_t largestBytes) const;

private:
    struct Data;
    std::unique_ptr<Data> data;
};

/// A JSON pointer one step further down; escapes the key.
std::string pointerTo(std::string_view parent, std::string_view key);

} // namespace Hibiscus
