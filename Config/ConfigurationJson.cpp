#include <Config/ConfigurationJson.h>

#include <Config/ConfigurationValues.h>
#include <Config/JsonSchema.h>
#include <Config/Schemas.h>

namespace Hibiscus {

using nlohmann::json;

namespace {

/// Parses `text`, checks it against the schema and reads the value. Returns the findings of the
/// first step that has any.
template <class Value, class Read>
tl::expected<Value, Findings> parseWith(const JsonSchema &schema, std::string_view text,
                                        std::size_t maxBytes, const Read &read)
{
    const auto document = schema.parse(text, maxBytes);
    if (!document)
        return tl::unexpected(document.error());
    Findings findings;
    Value value = read(*document, findings);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return value;
}

json toValue(const ConfigSnapshot &snapshot)
{
    json changes = json::array();
    for (const AppliedChange &change : snapshot.recentChanges)
        changes.push_back({{"changeId", change.changeId}, {"revision", change.revision}});
    return {{"configuration", Hibiscus::toValue(snapshot.configuration)},
            {"recentChanges", changes}};
}

ConfigSnapshot readSnapshot(const json &value, Findings &findings)
{
    ConfigSnapshot snapshot;
    snapshot.configuration
        = readConfiguration(value.at("configuration"), "/configuration", findings);
    for (const json &item : value.at("recentChanges"))
        snapshot.recentChanges.push_back(
            {item.at("changeId").get<std::string>(), item.at("revision").get<std::uint64_t>()});
    return snapshot;
}

ChangeRecord readRecord(const json &value, Findings &findings)
{
    ChangeRecord record;
    record.revision = value.at("revision").get<std::uint64_t>();
    record.change = readChange(value.at("change"), "/change", findings);
    record.change.author = value.at("author").get<std::string>();
    return record;
}

} // namespace

std::string toJson(const Customer &customer)
{
    return toValue(customer).dump();
}

std::string toJson(const Preset &preset)
{
    return toValue(preset).dump();
}

std::string toJson(const Configuration &configuration)
{
    return toValue(configuration).dump();
}

std::string toJson(const ConfigChange &change)
{
    return toValue(change).dump();
}

std::string toJson(const ChangeRecord &record)
{
    const json value{{"revision", record.revision},
                     {"author", record.change.author},
                     {"change", toValue(record.change)}};
    return value.dump();
}

std::string toJson(const ConfigSnapshot &snapshot)
{
    return toValue(snapshot).dump();
}

tl::expected<Customer, Findings> parseCustomer(std::string_view text)
{
    static const JsonSchema schema(customerSchema);
    return parseWith<Customer>(
        schema, text, maxChangeBytes,
        [](const json &value, Findings &findings) { return readCustomer(value, "", findings); });
}

tl::expected<Preset, Findings> parsePreset(std::string_view text)
{
    static const JsonSchema schema(presetSchema);
    return parseWith<Preset>(
        schema, text, maxChangeBytes,
        [](const json &value, Findings &findings) { return readPreset(value, "", findings); });
}

tl::expected<Configuration, Findings> parseConfiguration(std::string_view text)
{
    static const JsonSchema schema(configurationSchema);
    return parseWith<Configuration>(schema, text, maxSnapshotBytes,
                                    [](const json &value, Findings &findings) {
                                        return readConfiguration(value, "", findings);
                                    });
}

tl::expected<ConfigChange, Findings> parseConfigChange(std::string_view text,
                                                       std::string_view author)
{
    static const JsonSchema schema(changeSchema);
    auto change = parseWith<ConfigChange>(
        schema, text, maxChangeBytes,
        [](const json &value, Findings &findings) { return readChange(value, "", findings); });
    if (change)
        change->author = author;
    return change;
}

tl::expected<ChangeRecord, Findings> parseChangeRecord(std::string_view text)
{
    static const JsonSchema schema(changeRecordSchema);
    // A record holds a change and some more fields, so its limit is higher than that of a change.
    return parseWith<ChangeRecord>(schema, text, 2 * maxChangeBytes, readRecord);
}

tl::expected<ConfigSnapshot, Findings> parseConfigSnapshot(std::string_view text)
{
    static const JsonSchema schema(snapshotSchema);
    return parseWith<ConfigSnapshot>(schema, text, maxSnapshotBytes, readSnapshot);
}

} // namespace Hibiscus
