#include <Core/Base64.h>
#include <Gateway/StoreGateway.h>

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

using Json = nlohmann::json;

constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr std::string_view leaseNotFound = "requested lease not found";

/// Thrown for a malformed answer. Never leaves this file.
struct MalformedReply
{};

Json number(std::int64_t value)
{
    // proto3 JSON represents 64-bit integers as strings.
    return std::to_string(value);
}

std::int64_t readNumber(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end())
        return 0; // proto3 JSON omits fields that are zero.
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    if (!found->is_string())
        throw MalformedReply();
    const auto &text = found->get_ref<const std::string &>();
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        throw MalformedReply();
    return value;
}

std::string readBytes(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end())
        return {};
    if (!found->is_string())
        throw MalformedReply();
    std::optional<std::string> bytes = fromBase64(found->get_ref<const std::string &>());
    if (!bytes)
        throw MalformedReply();
    return *std::move(bytes);
}

const Json &readObject(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_object())
        throw MalformedReply();
    return *found;
}

std::int64_t readStoreRevision(const Json &document)
{
    const std::int64_t revision = readNumber(readObject(document, "header"), "revision");
    if (revision <= 0)
        throw MalformedReply();
    return revision;
}

StoreEntry readEntry(const Json &kv)
{
    if (!kv.is_object())
        throw MalformedReply();
    return {readBytes(kv, "key"), readBytes(kv, "value"), readNumber(kv, "mod_revision")};
}

std::vector<StoreEntry> readEntries(const Json &range)
{
    std::vector<StoreEntry> entries;
    const auto kvs = range.find("kvs");
    if (kvs == range.end())
        return entries;
    if (!kvs->is_array())
        throw MalformedReply();
    for (const Json &kv : *kvs)
        entries.push_back(readEntry(kv));
    return entries;
}

GatewayRequest encodeRange(const StoreRequest &request)
{
    Json body{{"key", toBase64(request.key)}};
    if (request.verb == StoreVerb::List)
        body["range_end"] = toBase64(request.end);
    if (request.limit > 0)
        body["limit"] = number(request.limit);
    return {"/v3/kv/range", body.dump()};
}

Json encodeCompare(const StoreRequest &request)
{
    Json compare{{"key", toBase64(request.key)}, {"result", "EQUAL"}};
    // etcd documents create_revision 0 as the test for an absent key, which has no mod_revision.
    const bool absent = request.revision == 0;
    compare["target"] = absent ? "CREATE" : "MOD";
    compare[absent ? "create_revision" : "mod_revision"] = number(request.revision);
    return compare;
}

GatewayRequest encodeTxn(const StoreRequest &request)
{
    const std::string key = toBase64(request.key);
    Json effect;
    if (request.verb == StoreVerb::CompareAndSwap) {
        effect["request_put"] = {{"key", key}, {"value", toBase64(request.value)}};
        if (request.lease != 0)
            effect["request_put"]["lease"] = number(request.lease);
    } else {
        effect["request_delete_range"] = {{"key", key}};
    }
    const Json present{{"request_range", {{"key", key}}}};
    const Json body{{"compare", Json::array({encodeCompare(request)})},
                    {"success", Json::array({effect})},
                    {"failure", Json::array({present})}};
    return {"/v3/kv/txn", body.dump()};
}

GatewayRequest encodeGrant(const StoreRequest &request)
{
    // The store's TTL is in whole seconds. Rounding up never shortens a lease.
    const auto term = std::chrono::ceil<seconds>(request.term).count();
    return {"/v3/lease/grant", Json{{"TTL", number(term)}}.dump()};
}

GatewayRequest encodeKeep(const StoreRequest &request)
{
    return {"/v3/lease/keepalive", Json{{"ID", number(request.lease)}}.dump()};
}

GatewayRequest encodeRevoke(const StoreRequest &request)
{
    return {"/v3/lease/revoke", Json{{"ID", number(request.lease)}}.dump()};
}

StoreReply decodeRange(const StoreRequest &, const Json &document)
{
    return {StoreStatus::Ok, readEntries(document), readStoreRevision(document), 0};
}

StoreReply decodeTxn(const StoreRequest &request, const Json &document)
{
    StoreReply reply{StoreStatus::Ok, {}, readStoreRevision(document), 0};
    const auto responses = document.find("responses");
    if (responses == document.end() || !responses->is_array() || responses->size() != 1)
        throw MalformedReply();
    const Json &response = responses->front();
    if (!response.is_object())
        throw MalformedReply();
    if (!document.value("succeeded", false)) {
        reply.status = StoreStatus::Conflict;
        reply.entries = readEntries(readObject(response, "response_range"));
        return reply;
    }
    if (request.verb == StoreVerb::CompareAndSwap) {
        readObject(response, "response_put");
        reply.entries.push_back({request.key, request.value, reply.storeRevision});
    } else {
        readObject(response, "response_delete_range");
    }
    return reply;
}

StoreReply decodeGrant(const StoreRequest &, const Json &document)
{
    const std::int64_t lease = readNumber(document, "ID");
    if (lease == 0)
        throw MalformedReply();
    return {StoreStatus::Ok, {}, readStoreRevision(document), lease};
}

StoreReply decodeKeep(const StoreRequest &request, const Json &document)
{
    const Json &result = readObject(document, "result");
    // The store answers with TTL 0, which is omitted, if the lease has ended.
    const bool ended = readNumber(result, "TTL") <= 0;
    return {ended ? StoreStatus::Conflict : StoreStatus::Ok,
            {},
            readStoreRevision(result),
            request.lease};
}

StoreReply decodeRevoke(const StoreRequest &request, const Json &document)
{
    return {StoreStatus::Ok, {}, readStoreRevision(document), request.lease};
}

struct Codec
{
    GatewayRequest (*encode)(const StoreRequest &);
    StoreReply (*decode)(const StoreRequest &, const Json &);
};

// Encoder and decoder of each StoreVerb, indexed by its value.
constexpr std::array<Codec, 7> codecs{{
    {encodeRange, decodeRange},
    {encodeRange, decodeRange},
    {encodeTxn, decodeTxn},
    {encodeTxn, decodeTxn},
    {encodeGrant, decodeGrant},
    {encodeKeep, decodeKeep},
    {encodeRevoke, decodeRevoke},
}};

const Codec &codecOf(StoreVerb verb)
{
    return codecs.at(static_cast<std::size_t>(verb));
}

bool isLeaseEnded(int httpStatus, const Json &document)
{
    if (httpStatus != httpNotFound)
        return false;
    const auto message = document.find("message");
    return message != document.end() && message->is_string()
        && message->get_ref<const std::string &>().find(leaseNotFound) != std::string::npos;
}

void readEvent(const Json &event, StoreWatchBatch &batch)
{
    if (!event.is_object())
        throw MalformedReply();
    StoreEntry entry = readEntry(readObject(event, "kv"));
    if (event.value("type", "PUT") == "DELETE")
        batch.removed.push_back(std::move(entry.key));
    else
        batch.written.push_back(std::move(entry));
}

GatewayWatchMessage readWatchMessage(const Json &document)
{
    if (!document.is_object())
        throw MalformedReply();
    const Json &result = readObject(document, "result");
    GatewayWatchMessage message;
    message.canceled = result.value("canceled", false);
    const auto events = result.find("events");
    if (events == result.end())
        return message;
    if (!events->is_array())
        throw MalformedReply();
    for (const Json &event : *events)
        readEvent(event, message.batch);
    return message;
}

} // namespace

std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xFF)
        end.pop_back();
    if (end.empty())
        return std::string(1, '\0'); // etcd treats "\0" as the end of the key space.
    ++end.back();
    return end;
}

GatewayRequest encodeStoreRequest(const StoreRequest &request)
{
    return codecOf(request.verb).encode(request);
}

GatewayRequest encodeWatchRequest(std::string_view prefix, std::int64_t fromRevision)
{
    const std::string_view key = prefix.empty() ? std::string_view("\0", 1) : prefix;
    const Json create{{"key", toBase64(key)},
                      {"range_end", toBase64(prefixEnd(prefix))},
                      {"start_revision", number(fromRevision)}};
    return {"/v3/watch", Json{{"create_request", create}}.dump()};
}

StoreReply decodeStoreReply(const StoreRequest &request, int httpStatus, std::string_view body)
{
    try {
        const Json document = Json::parse(body, nullptr, false);
        if (!document.is_object())
            return {};
        if (isLeaseEnded(httpStatus, document))
            return {StoreStatus::Conflict, {}, 0, request.lease};
        if (httpStatus != httpOk)
            return {};
        return codecOf(request.verb).decode(request, document);
    } catch (const MalformedReply &) {
        return {};
    } catch (const Json::exception &) {
        return {};
    }
}

std::optional<GatewayWatchMessage> decodeWatchMessage(std::string_view line)
{
    try {
        return readWatchMessage(Json::parse(line, nullptr, false));
    } catch (const MalformedReply &) {
        return std::nullopt;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Hibiscus
