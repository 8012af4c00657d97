// Stand-in for the platform's store, as PROTOCOL.md describes it: items with revisions, ranges,
// watches, transactions and leases. The entries of workers come by `beat`, which checks silence.
#pragma once

#include "base.hh"
#include "http.hh"

#include <algorithm>
#include <condition_variable>
#include <deque>

namespace review {

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            value |= static_cast<unsigned char>(bytes[i + 1]) << 8;
        if (i + 2 < bytes.size())
            value |= static_cast<unsigned char>(bytes[i + 2]);
        out.push_back(digits[value >> 18]);
        out.push_back(digits[(value >> 12) & 63]);
        out.push_back(i + 1 < bytes.size() ? digits[(value >> 6) & 63] : '=');
        out.push_back(i + 2 < bytes.size() ? digits[value & 63] : '=');
    }
    return out;
}

class Store
{
public:
    static constexpr std::int64_t heartbeatMs = 1500;
    static constexpr std::size_t valueBytes = 1048576;

    explicit Store(Record &record)
        : record(record)
    {
        std::thread([this] { this->expireLoop(); }).detach();
    }

    Response handle(const Request &request)
    {
        if (request.path == "/kv-key")
            return this->read(request);
        if (request.path == "/kv-range")
            return this->range(request);
        if (request.path == "/kv-watch")
            return this->watch(request);
        if (request.path == "/kv-txn")
            return this->transact(request);
        if (request.path == "/kv-lease")
            return this->grant(request);
        if (request.path.starts_with("/kv-keep/"))
            return this->keep(std::stoll(request.path.substr(9)));
        if (request.path.starts_with("/kv-lease-end/"))
            return this->endLease(std::stoll(request.path.substr(14)));
        return {404, "{}"};
    }

    /// A worker's entry, or what the operator writes. The caller is not a node.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->revision++;
        this->write(key, base64(value), 0);
        this->changed.notify_all();
    }

    void beat(const std::string &key, const std::string &value)
    {
        this->put(key, value);
        const std::lock_guard lock(this->mutex);
        this->beats[key] = steadyMs();
    }

private:
    struct Item
    {
        std::string value; ///< Base64.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event
    {
        std::int64_t revision = 0;
        std::string key;
        json body;
    };
    struct Lease
    {
        std::int64_t ttlMs = 0;
        std::int64_t endsAt = 0;
    };

    static json describe(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", item.value},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
    }

    void write(const std::string &key, const std::string &value, std::int64_t lease)
    {
        Item &item = this->items[key];
        if (item.created == 0)
            item.created = this->revision;
        item.value = value;
        item.revision = this->revision;
        item.lease = lease;
        this->history.push_back({this->revision, key, describe(key, item)});
    }

    void remove(const std::string &key)
    {
        if (this->items.erase(key) == 0)
            return;
        this->history.push_back(
            {this->revision, key, {{"key", key}, {"revision", this->revision}, {"deleted", true}}});
    }

    Response read(const Request &request)
    {
        const std::lock_guard lock(this->mutex);
        const std::string key = request.query.at("key");
        const auto found = this->items.find(key);
        if (found == this->items.end())
            return {404, json{{"storeRevision", this->revision}}.dump()};
        json body = describe(key, found->second);
        body["storeRevision"] = this->revision;
        return {200, body.dump()};
    }

    Response range(const Request &request)
    {
        const std::lock_guard lock(this->mutex);
        const std::string prefix = request.query.at("prefix");
        const auto after = request.query.find("after");
        json rows = json::array();
        std::size_t bytes = 0;
        bool truncated = false;
        for (const auto &[key, item] : this->items) {
            if (!key.starts_with(prefix) || (after != request.query.end() && key <= after->second))
                continue;
            if (rows.size() >= 500 || (!rows.empty() && bytes + item.value.size() > 1048576)) {
                truncated = true;
                break;
            }
            bytes += item.value.size();
            rows.push_back(describe(key, item));
        }
        return {200,
                json{{"items", rows}, {"truncated", truncated}, {"storeRevision", this->revision}}
                    .dump()};
    }

    Response watch(const Request &request)
    {
        const std::string prefix = request.query.at("prefix");
        const std::int64_t after = std::stoll(request.query.at("after"));
        const std::int64_t until = steadyMs() + std::stoll(request.query.at("waitMs"));
        std::unique_lock lock(this->mutex);
        for (;;) {
            json events = json::array();
            for (const Event &event : this->history) {
                if (event.revision > after && event.key.starts_with(prefix))
                    events.push_back(event.body);
            }
            const std::int64_t left = until - steadyMs();
            if (!events.empty() || left <= 0)
                return {200, json{{"events", events}, {"storeRevision", this->revision}}.dump()};
            this->changed.wait_for(lock, std::chrono::milliseconds(left));
        }
    }

    Response transact(const Request &request)
    {
        const json body = json::parse(request.body);
        const std::lock_guard lock(this->mutex);
        bool holds = true;
        json states = json::array();
        for (const json &check : body["expectedRev"]) {
            const std::string key = check["key"];
            const auto found = this->items.find(key);
            const std::int64_t now = found == this->items.end() ? 0 : found->second.revision;
            holds = holds && now == check["revision"].get<std::int64_t>();
            if (found != this->items.end())
                states.push_back(describe(key, found->second));
        }
        if (!holds)
            return {412, json{{"items", states}, {"storeRevision", this->revision}}.dump()};
        for (const json &put : body["puts"]) {
            const std::int64_t lease = put.value("lease", std::int64_t{0});
            if (lease != 0 && !this->leases.contains(lease))
                return {404, "{}"};
            const std::string text = put["value"];
            if (text.size() / 4 * 3 > valueBytes + 2) {
                this->record.line("store: refuses a value of about "
                                  + std::to_string(text.size() / 4 * 3) + " bytes for "
                                  + put["key"].get<std::string>());
                return {400, "{}"};
            }
        }
        this->revision++;
        for (const json &put : body["puts"])
            this->write(put["key"], put["value"], put.value("lease", std::int64_t{0}));
        for (const json &key : body["deletes"])
            this->remove(key);
        this->changed.notify_all();
        return {200, json{{"revision", this->revision}}.dump()};
    }

    Response grant(const Request &request)
    {
        const std::int64_t ttl = json::parse(request.body)["ttlMs"];
        const std::lock_guard lock(this->mutex);
        const std::int64_t id = ++this->lastLease;
        this->leases[id] = {ttl, steadyMs() + ttl};
        return {200, json{{"lease", id}, {"ttlMs", ttl}}.dump()};
    }

    Response keep(std::int64_t id)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->leases.find(id);
        if (found == this->leases.end())
            return {404, "{}"};
        found->second.endsAt = steadyMs() + found->second.ttlMs;
        return {200, json{{"ttlMs", found->second.ttlMs}}.dump()};
    }

    Response endLease(std::int64_t id)
    {
        const std::lock_guard lock(this->mutex);
        this->dropLease(id);
        return {200, "{}"};
    }

    void dropLease(std::int64_t id)
    {
        if (this->leases.erase(id) == 0)
            return;
        this->revision++;
        std::vector<std::string> keys;
        for (const auto &[key, item] : this->items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            this->remove(key);
        this->changed.notify_all();
    }

    void expireLoop()
    {
        for (;;) {
            sleepMs(10);
            const std::lock_guard lock(this->mutex);
            const std::int64_t now = steadyMs();
            std::vector<std::int64_t> over;
            for (const auto &[id, lease] : this->leases) {
                if (now >= lease.endsAt)
                    over.push_back(id);
            }
            for (const std::int64_t id : over)
                this->dropLease(id);
            // Three heartbeat intervals of silence remove a worker's entry.
            for (auto beat = this->beats.begin(); beat != this->beats.end();) {
                if (now < beat->second + 3 * heartbeatMs) {
                    ++beat;
                    continue;
                }
                this->record.line("store: entry " + beat->first + " is removed after silence");
                this->revision++;
                this->remove(beat->first);
                this->changed.notify_all();
                beat = this->beats.erase(beat);
            }
        }
    }

    Record &record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::deque<Event> history;
    std::map<std::int64_t, Lease> leases;
    std::map<std::string, std::int64_t> beats;
    std::int64_t revision = 100;
    std::int64_t lastLease = 77000;
};

} // namespace review
