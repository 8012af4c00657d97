#include <Core/Base64.h>
#include <Gateway/JsonFields.h>
#include <StandIns/GatewayServerCodec.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Hibiscus {

namespace {

using Json = nlohmann::json;

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
// gRPC status codes, which the gateway returns in the body besides the HTTP status.
constexpr int grpcInvalidArgument = 3;
constexpr int grpcNotFound = 5;

/// Reads the members of one JSON object and adds a finding for each invalid member.
class ObjectReader
{
public:
    ObjectReader(const Json &object, std::string place, Findings &findings)
        : object(object)
        , place(std::move(place))
        , findings(findings)
    {
        if (!object.is_object())
            findings.add(this->place, "must be an object");
    }

    bool has(const char *key) const { return this->object.contains(key); }

    std::string bytes(const char *key) const
    {
        if (!this->has(key))
            return {};
        const Json &value = this->object[key];
        if (value.is_string()) {
            if (std::optional<std::string> bytes = fromBase64(value.get<std::string>()))
                return *std::move(bytes);
        }
        this->fail(key, "must be a base64 string");
        return {};
    }

    std::int64_t number(const char *key) const
    {
        if (!this->has(key))
            return 0;
        const Json &value = this->object[key];
        if (value.is_number_integer())
            return value.get<std::int64_t>();
        std::int64_t parsed = 0;
        const std::string text = value.is_string() ? value.get<std::string>() : "";
        const char *const end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, parsed);
        if (text.empty() || result.ec != std::errc() || result.ptr != end)
            this->fail(key, "must be a whole number");
        return parsed;
    }

    std::string text(const char *key) const
    {
        const bool present = this->has(key) && this->object[key].is_string();
        return present ? this->object[key].get<std::string>() : "";
    }

    ObjectReader member(const char *key) const
    {
        return {this->has(key) ? this->object[key] : nullJson(), this->place + "/" + key,
                this->findings};
    }

    /// Reader of the array at `key`, which must have exactly one element.
    ObjectReader onlyElement(const char *key) const
    {
        const Json &array = this->has(key) ? this->object[key] : nullJson();
        const bool hasOne = array.is_array() && array.size() == 1;
        if (!hasOne)
            this->fail(key, "must be an array of exactly one element");
        return {hasOne ? array[0] : nullJson(), this->place + "/" + key + "/0", this->findings};
    }

    void fail(const char *key, std::string_view message) const
    {
        this->findings.add(this->place + "/" + key, message);
    }

private:
    static const Json &nullJson()
    {
        static const Json null;
        return null;
    }

    const Json &object;
    std::string place;
    Findings &findings;
};

void readRange(const ObjectReader &reader, StoreRequest &request)
{
    request.verb = reader.has("range_end") ? StoreVerb::List : StoreVerb::Get;
    request.key = reader.bytes("key");
    request.end = reader.bytes("range_end");
    request.limit = reader.number("limit");
}

void readCompare(const ObjectReader &compare, StoreRequest &request)
{
    request.key = compare.bytes("key");
    const std::string target = compare.text("target");
    if (compare.has("result") && compare.text("result") != "EQUAL")
        compare.fail("result", "must be EQUAL");
    if (target == "MOD") {
        request.revision = compare.number("mod_revision");
        return;
    }
    if (target != "CREATE" && target != "VERSION") {
        compare.fail("target", "must be MOD, CREATE or VERSION");
        return;
    }
    const char *const member = target == "CREATE" ? "create_revision" : "version";
    if (compare.number(member) != 0)
        compare.fail(member, "must be 0");
}

void requireComparedKey(const ObjectReader &operation, const StoreRequest &request)
{
    if (operation.bytes("key") != request.key || operation.has("range_end"))
        operation.fail("key", "must be the compared key, without a range");
}

void readTxn(const ObjectReader &reader, StoreRequest &request)
{
    readCompare(reader.onlyElement("compare"), request);
    const ObjectReader success = reader.onlyElement("success");
    const bool isPut = success.has("request_put");
    const ObjectReader operation = success.member(isPut ? "request_put" : "request_delete_range");
    request.verb = isPut ? StoreVerb::CompareAndSwap : StoreVerb::Remove;
    request.value = operation.bytes("value");
    request.lease = operation.number("lease");
    requireComparedKey(operation, request);
    requireComparedKey(reader.onlyElement("failure").member("request_range"), request);
}

void readGrantLease(const ObjectReader &reader, StoreRequest &request)
{
    constexpr std::int64_t maxTtlSeconds = 9'000'000'000; // Limit of etcd.
    request.verb = StoreVerb::GrantLease;
    const std::int64_t term = reader.number("TTL");
    if (term < 1 || term > maxTtlSeconds)
        reader.fail("TTL", "must be from 1 to 9000000000");
    else
        request.term = seconds(term);
}

void readKeepLease(const ObjectReader &reader, StoreRequest &request)
{
    request.verb = StoreVerb::KeepLease;
    request.lease = reader.number("ID");
}

void readRevokeLease(const ObjectReader &reader, StoreRequest &request)
{
    request.verb = StoreVerb::RevokeLease;
    request.lease = reader.number("ID");
}

struct Route
{
    std::string_view path;
    void (*read)(const ObjectReader &, StoreRequest &);
};

constexpr std::array<Route, 6> routes{{
    {"/v3/kv/range", readRange},
    {"/v3/kv/txn", readTxn},
    {"/v3/lease/grant", readGrantLease},
    {"/v3/lease/keepalive", readKeepLease},
    {"/v3/lease/revoke", readRevokeLease},
    {"/v3/kv/lease/revoke", readRevokeLease},
}};

Json header(std::int64_t revision)
{
    return {{"revision", std::to_string(revision)}};
}

Json encodeEntry(const StoreEntry &entry)
{
    return {{"key", toBase64(entry.key)},
            {"value", toBase64(entry.value)},
            {"mod_revision", std::to_string(entry.revision)}};
}

Json encodeRange(const StoreRequest &, const StoreReply &reply)
{
    Json range{{"header", header(reply.storeRevision)}};
    // The JSON encoding of proto3 omits empty and zero fields.
    if (reply.entries.empty())
        return range;
    range["count"] = std::to_string(reply.entries.size());
    for (const StoreEntry &entry : reply.entries)
        range["kvs"].push_back(encodeEntry(entry));
    return range;
}

Json encodeTxn(const StoreRequest &request, const StoreReply &reply)
{
    Json body{{"header", header(reply.storeRevision)}};
    Json response;
    if (reply.status == StoreStatus::Conflict) {
        response["response_range"] = encodeRange(request, reply);
    } else {
        const char *const kind
            = request.verb == StoreVerb::CompareAndSwap ? "response_put" : "response_delete_range";
        response[kind] = {{"header", header(reply.storeRevision)}};
        body["succeeded"] = true;
    }
    body["responses"] = Json::array({response});
    return body;
}

Json encodeGrantLease(const StoreRequest &request, const StoreReply &reply)
{
    const auto term = std::chrono::ceil<seconds>(request.term).count();
    return {{"header", header(reply.storeRevision)},
            {"ID", std::to_string(reply.lease)},
            {"TTL", std::to_string(term)}};
}

Json encodeKeepLease(const StoreRequest &, const StoreReply &reply)
{
    Json result{{"header", header(reply.storeRevision)}, {"ID", std::to_string(reply.lease)}};
    if (reply.status == StoreStatus::Ok)
        result["TTL"] = "1"; // Any positive value: clients only check that the lease is valid.
    return {{"result", result}};
}

Json encodeRevokeLease(const StoreRequest &, const StoreReply &reply)
{
    return {{"header", header(reply.storeRevision)}};
}

using Encoder = Json (*)(const StoreRequest &, const StoreReply &);

// Indexed by StoreVerb.
constexpr std::array<Encoder, StoreCounters::verbCount> encoders{
    encodeRange,      encodeRange,     encodeTxn,        encodeTxn,
    encodeGrantLease, encodeKeepLease, encodeRevokeLease};

GatewayResponse encodeError(int httpStatus, int code, const std::string &message)
{
    return {httpStatus, jsonText({{"error", message}, {"code", code}, {"message", message}})};
}

} // namespace

tl::expected<StoreRequest, Findings> decodeStoreRequest(std::string_view path,
                                                        std::string_view body)
{
    Findings findings;
    StoreRequest request;
    const Json document = parseJson(body, findings);
    const auto *const route = std::find_if(routes.begin(), routes.end(),
                                           [&](const Route &known) { return known.path == path; });
    if (route == routes.end())
        findings.add(path, "is not a supported path");
    if (findings.isEmpty())
        route->read(ObjectReader(document, "", findings), request);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return request;
}

tl::expected<WatchRequest, Findings> decodeWatchRequest(std::string_view body)
{
    Findings findings;
    WatchRequest request;
    const Json document = parseJson(body, findings);
    if (findings.isEmpty()) {
        const ObjectReader create = ObjectReader(document, "", findings).member("create_request");
        request.key = create.bytes("key");
        request.rangeEnd = create.bytes("range_end");
        request.fromRevision = create.number("start_revision");
    }
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return request;
}

GatewayResponse encodeStoreResponse(const StoreRequest &request, const StoreOutcome &outcome)
{
    if (outcome.refusal == StoreRefusal::ValueTooLarge)
        return encodeError(httpBadRequest, grpcInvalidArgument, "etcdserver: request is too large");
    if (outcome.refusal == StoreRefusal::LeaseNotFound)
        return encodeError(httpNotFound, grpcNotFound, "etcdserver: requested lease not found");
    const Encoder encode = encoders.at(static_cast<std::size_t>(request.verb));
    return {httpOk, jsonText(encode(request, outcome.reply))};
}

GatewayResponse encodeBadRequest(const Findings &findings)
{
    return encodeError(httpBadRequest, grpcInvalidArgument, findings.toString());
}

std::string encodeWatchCreated(std::int64_t storeRevision)
{
    const Json result{{"header", header(storeRevision)}, {"watch_id", "0"}, {"created", true}};
    return jsonText({{"result", result}}) + "\n";
}

std::string encodeWatchChanges(const StoreWatchResult &watchResult)
{
    Json events = Json::array();
    for (const StoreChange &change : watchResult.changes) {
        Json event{{"kv", encodeEntry(change.entry)}};
        if (change.removed)
            event["type"] = "DELETE";
        events.push_back(std::move(event));
    }
    const Json result{{"header", header(watchResult.nextRevision - 1)},
                      {"events", std::move(events)}};
    return jsonText({{"result", result}}) + "\n";
}

} // namespace Hibiscus
