#include <Ledger/LedgerBatch.h>

#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

using Json = nlohmann::json;

LedgerBatch headFromJson(const Json &json)
{
    LedgerBatch batch;
    const Json &writer = json.at("writer");
    batch.writer.instance = writer.at("instance").get<std::string>();
    batch.writer.incarnation = writer.at("incarnation").get<std::uint64_t>();
    batch.writer.counter = writer.at("counter").get<std::uint64_t>();
    batch.sequence = json.at("sequence").get<std::uint64_t>();
    if (json.contains("parts"))
        batch.parts = json.at("parts").get<std::vector<std::string>>();
    return batch;
}

} // namespace

std::string encodeBatch(const WriterId &writer, std::uint64_t sequence,
                        std::span<const std::string> records, std::span<const std::string> parts)
{
    Json head{{"writer",
               {{"instance", writer.instance},
                {"incarnation", writer.incarnation},
                {"counter", writer.counter}}},
              {"sequence", sequence}};
    if (!parts.empty())
        head["parts"] = std::vector<std::string>(parts.begin(), parts.end());
    // The records are JSON texts already. Joining them saves parsing them again.
    std::string text = head.dump(-1, ' ', false, Json::error_handler_t::replace);
    text.pop_back();
    text += ",\"records\":[";
    for (std::size_t i = 0; i < records.size(); ++i) {
        if (i != 0)
            text += ',';
        text += records[i];
    }
    text += "]}";
    return text;
}

tl::expected<LedgerBatch, Findings> decodeBatch(std::string_view text, std::string_view place)
{
    Findings findings;
    try {
        const Json json = Json::parse(text);
        LedgerBatch batch = headFromJson(json);
        for (const Json &entry : json.at("records")) {
            tl::expected<LedgerRecord, Findings> record = decodeRecord(entry, place);
            if (record)
                batch.records.push_back(std::move(*record));
            else
                findings.append(record.error());
        }
        if (findings.isEmpty())
            return batch;
    } catch (const std::exception &error) {
        findings.add(place, error.what());
    }
    return tl::unexpected(std::move(findings));
}

} // namespace Hibiscus
