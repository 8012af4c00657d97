#pragma once

#include "Http.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>

namespace Scene {

/// What the store does with a write of a caller.
struct WriteFate
{
    bool answered = true;
    std::int64_t lateMs = 0; ///< The write is carried out after this time.
};

/// Stand-in for the platform's store, as PROTOCOL.md describes it: keys with revisions, leases,
/// ranges, watches and conditional writes. Each caller gets a port of its own.
class Store
{
public:
    Store();

    /// Opens a port for one caller, and returns its address.
    std::string openPort(const std::string &caller);
    /// Writes as the operator or as a worker does. Returns the revision.
    std::int64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Decides about a write: caller, body of the call.
    std::function<WriteFate(const std::string &, const nlohmann::json &)> fateOf;

private:
    struct Item
    {
        std::string value; ///< As written: base64 for callers.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event
    {
        std::int64_t revision = 0;
        std::string key;
        bool removed = false;
        Item item;
    };
    struct Lease
    {
        std::int64_t ttlMs = 0;
        std::int64_t endsAt = 0;
    };

    Response handle(const std::string &caller, const Request &request);
    Response readKey(const Request &request);
    Response readRange(const Request &request);
    Response watch(const Request &request);
    Response transact(const std::string &caller, const Request &request);
    Response transactNow(const nlohmann::json &body);
    Response grantLease(const Request &request);
    Response keepLease(std::int64_t lease);
    Response endLease(std::int64_t lease);
    void expireLeases();
    void dropLease(std::int64_t lease);
    void write(const std::string &key, const Item &item);
    void erase(const std::string &key);
    static nlohmann::json describe(const std::string &key, const Item &item);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::map<std::int64_t, Lease> leases;
    std::deque<Event> events;
    std::int64_t revision = 100;
    std::int64_t nextLease = 5000;
    std::vector<std::unique_ptr<Server>> servers;
};

std::string toBase64(const std::string &text);

} // namespace Scene
