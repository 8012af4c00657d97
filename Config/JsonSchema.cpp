#include <Config/JsonSchema.h>

#include <Config/Schemas.h>

#include <cassert>
#include <cstdint>
#include <optional>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace Hibiscus {

namespace {

using Error = valijson::ValidationResults::Error;

// Maximum nesting depth of a document. The schemas describe much shallower documents; the limit
// bounds the memory that hostile input can use before it is checked against a schema.
constexpr int maxDepth = 16;

const nlohmann::json &definitions()
{
    static const nlohmann::json document = nlohmann::json::parse(schemaDefinitions());
    return document;
}

std::string place(const Error &error)
{
    std::string pointer;
    for (const std::string &step : error.context) {
        if (step == "<root>")
            continue;
        pointer = pointerTo(pointer, std::string_view(step).substr(1, step.size() - 2));
    }
    return pointer;
}

/// Returns the name that valijson quotes at the end of a message if the message begins with
/// `start`.
std::optional<std::string> quotedName(const std::string &text, std::string_view start)
{
    if (!text.starts_with(start))
        return std::nullopt;
    const std::size_t first = text.find('\'');
    const std::size_t last = text.rfind('\'');
    return text.substr(first + 1, last - first - 1);
}

void addFinding(const Error &error, Findings &findings)
{
    const std::string &text = error.description;
    // Each enclosing value reports that a value in it failed. Only the innermost message has the
    // reason.
    if (text.starts_with("Failed to validate "))
        return;
    if (const auto missing = quotedName(text, "Missing required property")) {
        findings.add(pointerTo(place(error), *missing), "is missing");
        return;
    }
    if (text.starts_with("Target should not validate")) {
        findings.add(place(error), "is an unknown key");
        return;
    }
    findings.add(place(error), text);
}

/// Parser callback that limits the nesting depth and rejects duplicate keys in an object. Which
/// duplicate counts would otherwise depend on the parser.
class StrictParser
{
public:
    explicit StrictParser(Findings &findings)
        : findings(findings)
    {}

    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        if (depth > maxDepth)
            this->tooDeep = true;
        if (event == Event::object_start)
            this->keys.emplace_back();
        if (event == Event::object_end && !this->keys.empty())
            this->keys.pop_back();
        if (event == Event::key)
            this->addKey(parsed.get_ref<const std::string &>());
        return !this->tooDeep;
    }

    bool isTooDeep() const { return this->tooDeep; }

private:
    void addKey(const std::string &key)
    {
        if (!this->keys.empty() && !this->keys.back().insert(key).second)
            this->findings.add("", "the key '" + key + "' is used twice in one object");
    }

    Findings &findings;
    std::vector<std::set<std::string>> keys;
    bool tooDeep = false;
};

} // namespace

struct JsonSchema::Data
{
    valijson::Schema schema;
};

JsonSchema::JsonSchema(std::string_view name)
    : data(std::make_unique<Data>())
{
    const auto found = definitions().find(std::string(name));
    assert(found != definitions().end());
    nlohmann::json root = *found;
    root["definitions"] = definitions();
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(root), this->data->schema);
}

JsonSchema::~JsonSchema() = default;

Findings JsonSchema::check(const nlohmann::json &document) const
{
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapter(document);
    Findings findings;
    if (validator.validate(this->data->schema, adapter, &results))
        return findings;
    for (const Error &error : results)
        addFinding(error, findings);
    if (findings.isEmpty())
        findings.add("", "does not match the schema");
    return findings;
}

tl::expected<nlohmann::json, Findings> JsonSchema::parse(std::string_view text,
                                                         std::size_t maxBytes) const
{
    Findings findings;
    if (text.size() > maxBytes) {
        findings.add("", "is longer than " + std::to_string(maxBytes) + " bytes");
        return tl::unexpected(findings);
    }
    try {
        StrictParser strict(findings);
        const nlohmann::json document = nlohmann::json::parse(text, std::ref(strict));
        if (strict.isTooDeep())
            findings.add("", "is nested too deeply");
        if (findings.isEmpty())
            findings = this->check(document);
        if (findings.isEmpty())
            return document;
    } catch (const nlohmann::json::parse_error &error) {
        findings.add("", "is not JSON: byte " + std::to_string(error.byte));
    } catch (const std::exception &error) {
        findings.add("", std::string("cannot be read: ") + error.what());
    }
    return tl::unexpected(findings);
}

std::string pointerTo(std::string_view parent, std::string_view key)
{
    std::string pointer(parent);
    pointer += '/';
    for (const char c : key) {
        if (c == '~')
            pointer += "~0";
        else if (c == '/')
            pointer += "~1";
        else
            pointer += c;
    }
    return pointer;
}

} // namespace Hibiscus
