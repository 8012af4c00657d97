#include "Store.h"
#include "Record.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace Scene {

using nlohmann::json;

namespace {

constexpr std::int64_t minTtlMs = 1000;
constexpr std::int64_t maxTtlMs = 600'000;
constexpr std::int64_t answerMs = 4; ///< Time that the store takes for an answer.
constexpr std::size_t itemsPerPage = 500;
constexpr std::size_t valueBytes = 1048576;

} // namespace

std::string toBase64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        const std::size_t bytes = std::min<std::size_t>(3, text.size() - i);
        for (std::size_t j = 0; j < 3; j++)
            bits = (bits << 8) | (j < bytes ? static_cast<unsigned char>(text[i + j]) : 0);
        for (std::size_t j = 0; j < 4; j++)
            encoded.push_back(j <= bytes ? digits[(bits >> (18 - 6 * j)) & 63] : '=');
    }
    return encoded;
}

Store::Store()
{
    std::thread([this] {
        while (true) {
            sleepMs(20);
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->expireLeases();
        }
    }).detach();
}

std::string Store::openPort(const std::string &caller)
{
    this->servers.push_back(std::make_unique<Server>(
        [this, caller](const Request &request) { return this->handle(caller, request); }));
    return this->servers.back()->address();
}

std::int64_t Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->revision++;
    const auto known = this->items.find(key);
    const std::int64_t created
        = known == this->items.end() ? this->revision : known->second.created;
    this->write(key, {toBase64(value), this->revision, created, 0});
    return this->revision;
}

void Store::remove(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->revision++;
    this->erase(key);
}

Response Store::handle(const std::string &caller, const Request &request)
{
    sleepMs(answerMs);
    const auto idOf = [&request](const char *prefix) {
        return std::strtoll(request.path.substr(std::string(prefix).size()).c_str(), nullptr, 10);
    };
    if (request.path == "/kv-key")
        return this->readKey(request);
    if (request.path == "/kv-range")
        return this->readRange(request);
    if (request.path == "/kv-watch")
        return this->watch(request);
    if (request.path == "/kv-txn")
        return this->transact(caller, request);
    if (request.path == "/kv-lease")
        return this->grantLease(request);
    if (request.path.starts_with("/kv-keep/"))
        return this->keepLease(idOf("/kv-keep/"));
    if (request.path.starts_with("/kv-lease-end/"))
        return this->endLease(idOf("/kv-lease-end/"));
    return {400, "{}"};
}

json Store::describe(const std::string &key, const Item &item)
{
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

Response Store::readKey(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto key = request.query.find("key");
    const auto found
        = key == request.query.end() ? this->items.end() : this->items.find(key->second);
    if (found == this->items.end())
        return {404, json{{"storeRevision", this->revision}}.dump()};
    json body = describe(found->first, found->second);
    body["storeRevision"] = this->revision;
    return {200, body.dump()};
}

Response Store::readRange(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto valueOf = [&request](const char *name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    const std::string prefix = valueOf("prefix");
    const std::string after = valueOf("after");
    json list = json::array();
    bool truncated = false;
    for (auto at = this->items.lower_bound(prefix); at != this->items.end(); ++at) {
        if (!at->first.starts_with(prefix))
            break;
        if (!after.empty() && at->first <= after)
            continue;
        if (list.size() >= itemsPerPage) {
            truncated = true;
            break;
        }
        list.push_back(describe(at->first, at->second));
    }
    return {
        200,
        json{{"items", list}, {"truncated", truncated}, {"storeRevision", this->revision}}.dump()};
}

Response Store::watch(const Request &request)
{
    const std::string prefix = request.query.at("prefix");
    const std::int64_t after = std::strtoll(request.query.at("after").c_str(), nullptr, 10);
    const std::int64_t waitMs = std::strtoll(request.query.at("waitMs").c_str(), nullptr, 10);
    const std::int64_t until = nowMs() + std::min<std::int64_t>(waitMs, 30'000);
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        json list = json::array();
        for (const Event &event : this->events) {
            if (event.revision <= after || !event.key.starts_with(prefix))
                continue;
            if (event.removed)
                list.push_back(
                    {{"key", event.key}, {"revision", event.revision}, {"deleted", true}});
            else
                list.push_back(describe(event.key, event.item));
        }
        const std::int64_t left = until - nowMs();
        if (!list.empty() || left <= 0)
            return {200, json{{"events", list}, {"storeRevision", this->revision}}.dump()};
        this->changed.wait_for(lock, std::chrono::milliseconds(left));
    }
}

Response Store::transact(const std::string &caller, const Request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return {400, "{}"};
    const WriteFate fate = this->fateOf ? this->fateOf(caller, body) : WriteFate{};
    if (fate.lateMs > 0) {
        std::thread([this, body, fate] {
            sleepMs(fate.lateMs);
            const Response response = this->transactNow(body);
            note("store: a late write is carried out with status "
                 + std::to_string(response.status));
        }).detach();
        return {0, ""};
    }
    const Response response = this->transactNow(body);
    return fate.answered ? response : Response{0, ""};
}

Response Store::transactNow(const json &body)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->expireLeases();
    json current = json::array();
    bool holds = true;
    for (const json &row : body.value("expectedRev", json::array())) {
        const std::string key = row.at("key");
        const auto found = this->items.find(key);
        const std::int64_t revisionNow = found == this->items.end() ? 0 : found->second.revision;
        holds = holds && revisionNow == row.at("revision").get<std::int64_t>();
        if (found != this->items.end())
            current.push_back(describe(key, found->second));
    }
    if (!holds)
        return {412, json{{"items", current}, {"storeRevision", this->revision}}.dump()};
    const json puts = body.value("puts", json::array());
    for (const json &put : puts) {
        const std::int64_t lease = put.value("lease", std::int64_t{0});
        if (lease != 0 && !this->leases.contains(lease))
            return {404, "{}"};
        // Four characters of base64 stand for three bytes.
        if (put.at("value").get_ref<const std::string &>().size() / 4 * 3 > valueBytes + 2)
            return {400, "{}"};
    }
    this->revision++;
    for (const json &put : puts) {
        const std::string key = put.at("key");
        const auto known = this->items.find(key);
        const std::int64_t created
            = known == this->items.end() ? this->revision : known->second.created;
        this->write(
            key, {put.at("value"), this->revision, created, put.value("lease", std::int64_t{0})});
    }
    for (const json &key : body.value("deletes", json::array()))
        this->erase(key);
    return {200, json{{"revision", this->revision}}.dump()};
}

Response Store::grantLease(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const json body = json::parse(request.body, nullptr, false);
    const std::int64_t wanted = body.is_object() ? body.value("ttlMs", minTtlMs) : minTtlMs;
    const std::int64_t ttl = std::clamp(wanted, minTtlMs, maxTtlMs);
    this->leases[++this->nextLease] = {ttl, nowMs() + ttl};
    return {200, json{{"lease", this->nextLease}, {"ttlMs", ttl}}.dump()};
}

Response Store::keepLease(std::int64_t lease)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->expireLeases();
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return {404, "{}"};
    found->second.endsAt = nowMs() + found->second.ttlMs;
    return {200, json{{"ttlMs", found->second.ttlMs}}.dump()};
}

Response Store::endLease(std::int64_t lease)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->leases.contains(lease))
        return {404, "{}"};
    this->dropLease(lease);
    return {200, "{}"};
}

void Store::expireLeases()
{
    std::vector<std::int64_t> ended;
    for (const auto &[id, lease] : this->leases) {
        if (nowMs() >= lease.endsAt)
            ended.push_back(id);
    }
    for (const std::int64_t id : ended)
        this->dropLease(id);
}

void Store::dropLease(std::int64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : this->items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (!keys.empty())
        this->revision++;
    for (const std::string &key : keys)
        this->erase(key);
}

void Store::write(const std::string &key, const Item &item)
{
    this->items[key] = item;
    this->events.push_back({item.revision, key, false, item});
    this->changed.notify_all();
}

void Store::erase(const std::string &key)
{
    if (this->items.erase(key) == 0)
        return;
    this->events.push_back({this->revision, key, true, {}});
    this->changed.notify_all();
}

} // namespace Scene
