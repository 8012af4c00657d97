#include <Ledger/LedgerRecord.h>

#define XXH_INLINE_ALL
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <stdexcept>

namespace Hibiscus {

namespace {

using Json = nlohmann::json;

constexpr char hexDigits[] = "0123456789abcdef";

bool isUtf8(const std::string &text)
{
    try {
        (void)Json(text).dump();
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

Json textToJson(const std::string &text)
{
    if (isUtf8(text))
        return text;
    std::string digits;
    digits.reserve(text.size() * 2);
    for (const char c : text) {
        digits += hexDigits[static_cast<unsigned char>(c) >> 4U];
        digits += hexDigits[static_cast<unsigned char>(c) & 15U];
    }
    return {{"hex", digits}};
}

std::string textFromJson(const Json &json)
{
    if (json.is_string())
        return json.get<std::string>();
    const std::string digits = json.at("hex").get<std::string>();
    std::string text;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        text += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
    return text;
}

template <class Enum>
Enum enumFromJson(std::optional<Enum> value)
{
    if (!value)
        throw std::invalid_argument("unknown enum value name");
    return *value;
}

Json durationToJson(const std::optional<Duration> &duration)
{
    return duration ? Json(duration->count()) : Json();
}

std::optional<Duration> durationFromJson(const Json &json)
{
    if (json.is_null())
        return std::nullopt;
    return Duration(json.get<Duration::rep>());
}

Json specToJson(const JobSpec &spec)
{
    return {{"requestId", textToJson(spec.requestId)},
            {"customer", textToJson(spec.customer)},
            {"caller", textToJson(spec.caller)},
            {"kind", textToJson(spec.kind)},
            {"urgency", toString(spec.urgency)},
            {"idempotent", spec.idempotent},
            {"durable", spec.durable},
            {"accelerators", spec.accelerators},
            {"adjacency", toString(spec.adjacency)},
            {"memoryMiB", spec.memoryMiB},
            {"declaredRunTimeUs", spec.declaredRunTime.count()},
            {"deadlineUs", durationToJson(spec.deadline)},
            {"payload", textToJson(spec.payload)}};
}

JobSpec specFromJson(const Json &json)
{
    JobSpec spec;
    spec.requestId = textFromJson(json.at("requestId"));
    spec.customer = textFromJson(json.at("customer"));
    spec.caller = textFromJson(json.at("caller"));
    spec.kind = textFromJson(json.at("kind"));
    spec.urgency = enumFromJson(urgencyClassFromString(json.at("urgency").get<std::string>()));
    spec.idempotent = json.at("idempotent").get<bool>();
    spec.durable = json.at("durable").get<bool>();
    spec.accelerators = json.at("accelerators").get<std::uint16_t>();
    spec.adjacency = enumFromJson(adjacencyFromString(json.at("adjacency").get<std::string>()));
    spec.memoryMiB = json.at("memoryMiB").get<std::uint32_t>();
    spec.declaredRunTime = Duration(json.at("declaredRunTimeUs").get<Duration::rep>());
    spec.deadline = durationFromJson(json.at("deadlineUs"));
    spec.payload = textFromJson(json.at("payload"));
    return spec;
}

Json placeToJson(const TaskPlace &place)
{
    return {{"worker", textToJson(place.worker)},
            {"incarnation", textToJson(place.incarnation)},
            {"slots", place.slots}};
}

TaskPlace placeFromJson(const Json &json)
{
    return {.worker = textFromJson(json.at("worker")),
            .incarnation = textFromJson(json.at("incarnation")),
            .slots = json.at("slots").get<SlotMask>()};
}

Json answerToJson(const JobAnswer &answer)
{
    return {{"status", toString(answer.status)},
            {"result", textToJson(answer.result)},
            {"reason", textToJson(answer.reason)},
            {"retryAfterUs", durationToJson(answer.retryAfter)}};
}

JobAnswer answerFromJson(const Json &json)
{
    JobAnswer answer;
    answer.status = enumFromJson(jobStatusFromString(json.at("status").get<std::string>()));
    answer.result = textFromJson(json.at("result"));
    answer.reason = textFromJson(json.at("reason"));
    answer.retryAfter = durationFromJson(json.at("retryAfterUs"));
    return answer;
}

struct Encoder
{
    Json operator()(const EpochRecord &) const { return {{"type", "epoch"}}; }

    Json operator()(const ClaimRecord &record) const
    {
        return {{"type", "claim"},
                {"key", textToJson(record.key)},
                {"dataCenter", textToJson(record.dataCenter)},
                {"spec", specToJson(record.spec)}};
    }

    Json operator()(const AssignRecord &record) const
    {
        Json places = Json::array();
        for (const TaskPlace &place : record.places)
            places.push_back(placeToJson(place));
        return {{"type", "assign"},
                {"key", textToJson(record.key)},
                {"attempt", record.attempt},
                {"places", std::move(places)}};
    }

    Json operator()(const UnassignRecord &record) const
    {
        return {{"type", "unassign"}, {"key", textToJson(record.key)}, {"attempt", record.attempt}};
    }

    Json operator()(const FinishRecord &record) const
    {
        return {{"type", "finish"},
                {"key", textToJson(record.key)},
                {"digest", record.digest},
                {"ageUs", record.age.count()},
                {"answer", answerToJson(record.answer)}};
    }
};

LedgerRecord claimFromJson(const Json &json)
{
    return ClaimRecord{.key = textFromJson(json.at("key")),
                       .dataCenter = textFromJson(json.at("dataCenter")),
                       .spec = specFromJson(json.at("spec"))};
}

LedgerRecord assignFromJson(const Json &json)
{
    AssignRecord record;
    record.key = textFromJson(json.at("key"));
    record.attempt = json.at("attempt").get<std::uint32_t>();
    for (const Json &place : json.at("places"))
        record.places.push_back(placeFromJson(place));
    return record;
}

LedgerRecord unassignFromJson(const Json &json)
{
    return UnassignRecord{.key = textFromJson(json.at("key")),
                          .attempt = json.at("attempt").get<std::uint32_t>()};
}

LedgerRecord finishFromJson(const Json &json)
{
    return FinishRecord{.key = textFromJson(json.at("key")),
                        .digest = json.at("digest").get<std::uint64_t>(),
                        .age = Duration(json.at("ageUs").get<Duration::rep>()),
                        .answer = answerFromJson(json.at("answer"))};
}

LedgerRecord epochFromJson(const Json & /*json*/)
{
    return EpochRecord{};
}

struct Decoder
{
    std::string_view type;
    LedgerRecord (*decode)(const Json &json);
};

constexpr Decoder decoders[] = {{"epoch", epochFromJson},
                                {"claim", claimFromJson},
                                {"assign", assignFromJson},
                                {"unassign", unassignFromJson},
                                {"finish", finishFromJson}};

Findings finding(std::string_view place, std::string_view message)
{
    Findings findings;
    findings.add(place, message);
    return findings;
}

} // namespace

std::uint64_t specDigest(const JobSpec &spec)
{
    JobSpec content = spec;
    content.deadline.reset();
    content.durable = false;
    const std::string text = specToJson(content).dump();
    return XXH3_64bits(text.data(), text.size());
}

std::string encodeRecord(const LedgerRecord &record)
{
    return std::visit(Encoder{}, record).dump();
}

tl::expected<LedgerRecord, Findings> decodeRecord(const Json &json, std::string_view place)
{
    try {
        const std::string type = json.at("type").get<std::string>();
        for (const Decoder &decoder : decoders) {
            if (decoder.type == type)
                return decoder.decode(json);
        }
        return tl::unexpected(finding(place, "unknown record type: " + type));
    } catch (const std::exception &error) {
        return tl::unexpected(finding(place, error.what()));
    }
}

} // namespace Hibiscus
