#include <Core/Base64.h>
#include <Soak/StandInWire.h>

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <platform/Formats.h>
#include <platform/TaskName.h>

namespace Hibiscus::Soak {

namespace http = boost::beast::http;
using nlohmann::json;
using Runtime::HttpRequest;
using Runtime::HttpResponder;
using Runtime::HttpResponse;
using Tasks::EndCause;
using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;
using Tasks::WorkerAnswer;
using Tasks::WorkerOutcome;

namespace {

/// Timeout of calls without an answer, far longer than the product's own timeouts.
constexpr Duration noAnswerTimeout = seconds(20);

void reply(const HttpResponder &responder, http::status status, const json &body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump();
    responder(std::move(response));
}

std::string decodeEscapes(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); i++) {
        unsigned char byte = 0;
        const bool escaped = text[i] == '%' && i + 2 < text.size()
            && std::from_chars(&text[i + 1], &text[i + 3], byte, 16).ec == std::errc();
        decoded.push_back(escaped ? static_cast<char>(byte) : text[i]);
        i += escaped ? 2 : 0;
    }
    return decoded;
}

/// A request target, split into its path and query fields.
struct Target
{
    explicit Target(std::string_view target)
        : path(target.substr(0, target.find('?')))
    {
        std::string_view rest = target.substr(std::min(target.size(), this->path.size() + 1));
        while (!rest.empty()) {
            const std::string_view field = rest.substr(0, rest.find('&'));
            const std::size_t equals = std::min(field.find('='), field.size() - 1);
            this->fields[std::string(field.substr(0, equals))]
                = decodeEscapes(field.substr(equals + 1));
            rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        }
    }

    std::int64_t number(const std::string &name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? 0 : std::atoll(found->second.c_str());
    }
    std::string text(const std::string &name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string() : found->second;
    }

    std::string path;
    std::map<std::string, std::string> fields;
};

json encodeItem(const StoredItem &item)
{
    if (item.removed)
        return {{"key", item.key}, {"revision", item.revision}, {"deleted", true}};
    return {{"key", item.key},
            {"value", toBase64(item.value)},
            {"revision", item.revision},
            {"lease", item.lease}};
}

json encodeItems(const StoreAnswer &answer)
{
    json items = json::array();
    for (const StoredItem &item : answer.items)
        items.push_back(encodeItem(item));
    return items;
}

/// Encodes the body of a successful answer.
using EncodeDone = std::function<json(const StoreAnswer &)>;

Tasks::StoreHandler makeAnswerHandler(const HttpResponder &responder, EncodeDone encode)
{
    return [responder, encode = std::move(encode)](const StoreAnswer &answer, TimePoint) {
        switch (answer.outcome) {
        case StoreOutcome::Done:
            reply(responder, http::status::ok, encode(answer));
            return;
        case StoreOutcome::Absent:
            reply(responder, http::status::not_found, {{"storeRevision", answer.revision}});
            return;
        case StoreOutcome::Conflict:
            reply(responder, http::status::precondition_failed, {{"items", encodeItems(answer)}});
            return;
        case StoreOutcome::HistoryCompacted:
            reply(responder, http::status::gone, json::object());
            return;
        case StoreOutcome::Refused:
            reply(responder, http::status::service_unavailable, json::object());
            return;
        case StoreOutcome::Unknown:
            return;
        }
    };
}

Tasks::StoreCommit decodeCommit(const json &body)
{
    Tasks::StoreCommit commit;
    for (const json &row : body.at("expectedRev"))
        commit.checks.push_back({row.at("key"), row.at("revision")});
    for (const json &row : body.at("puts"))
        commit.writes.push_back({row.at("key"),
                                 fromBase64(row.at("value").get<std::string>()).value(),
                                 row.value("lease", std::int64_t{0})});
    commit.removals = body.at("deletes").get<std::vector<std::string>>();
    return commit;
}

/// Returns the platform's name of the cause, as in the lists of a worker.
const char *wireNameOf(EndCause cause)
{
    switch (cause) {
    case EndCause::Done:
        return "done";
    case EndCause::Failed:
        return "failed";
    case EndCause::Stopped:
        return "stopped";
    case EndCause::LeaseExpired:
        return "lapsed";
    case EndCause::GangMemberEnded:
        return "broken";
    case EndCause::GangIncomplete:
        return "alone";
    }
    return "failed";
}

json encodeLists(const WorkerAnswer &answer)
{
    json running = json::array();
    for (const Tasks::RunningTask &task : answer.running)
        running.push_back(
            {Platform::taskName(task.run), task.run.run, task.checkpoint, task.percent, task.load});
    json ended = json::array();
    for (const Tasks::EndedTask &task : answer.ended)
        ended.push_back({task.number, Platform::taskName(task.run), task.run.run,
                         wireNameOf(task.cause), task.checkpoint});
    json body{
        {"clockMs", answer.clock}, {"running", std::move(running)}, {"ended", std::move(ended)}};
    // Only an answer with the worker's lists names its process.
    if (answer.incarnation != 0)
        body["born"] = answer.incarnation;
    return body;
}

Tasks::WorkerHandler makeAnswerHandler(const HttpResponder &responder)
{
    return [responder](const WorkerAnswer &answer, TimePoint) {
        json body = encodeLists(answer);
        const auto reject = [&](const char *reason) {
            body["reason"] = reason;
            reply(responder, http::status::conflict, body);
        };
        switch (answer.outcome) {
        case WorkerOutcome::Done:
            reply(responder, http::status::ok, body);
            return;
        case WorkerOutcome::Fenced:
            reject("fence");
            return;
        case WorkerOutcome::Superseded:
            reject("old");
            return;
        case WorkerOutcome::LeaseExpired:
            reject("late");
            return;
        case WorkerOutcome::NoRoom:
            reject("room");
            return;
        case WorkerOutcome::Unknown:
            return;
        default:
            reply(responder, http::status::bad_request, body);
        }
    };
}

Tasks::RunRef runOf(const json &body)
{
    return Platform::parseTaskName(body.at("task").get<std::string>(), body.at("run")).value();
}

} // namespace

void serveStore(Tasks::MetadataStore &store, const HttpRequest &request,
                const HttpResponder &responder)
{
    const Target target(std::string_view(request.target().data(), request.target().size()));
    const auto withRevision = [](const char *list) {
        return [list](const StoreAnswer &answer) {
            return json{{list, encodeItems(answer)},
                        {"truncated", answer.truncated},
                        {"storeRevision", answer.revision}};
        };
    };
    const auto body = [&request] { return json::parse(request.body()); };
    if (target.path == "/kv-key") {
        store.read(target.text("key"), noAnswerTimeout,
                   makeAnswerHandler(responder, [](const StoreAnswer &answer) {
                       json item = encodeItem(answer.items.front());
                       item["storeRevision"] = answer.revision;
                       return item;
                   }));
    } else if (target.path == "/kv-range") {
        store.list(target.text("prefix"), target.text("after"), noAnswerTimeout,
                   makeAnswerHandler(responder, withRevision("items")));
    } else if (target.path == "/kv-watch") {
        store.watch(target.text("prefix"), target.number("after"),
                    milliseconds(target.number("waitMs")),
                    makeAnswerHandler(responder, withRevision("events")));
    } else if (target.path == "/kv-txn") {
        store.commit(decodeCommit(body()), noAnswerTimeout,
                     makeAnswerHandler(responder, [](const StoreAnswer &answer) {
                         return json{{"revision", answer.revision}};
                     }));
    } else if (target.path == "/kv-lease") {
        store.grantLease(
            milliseconds(body().at("ttlMs").get<std::int64_t>()), noAnswerTimeout,
            makeAnswerHandler(responder, [](const StoreAnswer &answer) {
                return json{{"lease", answer.lease}, {"ttlMs", toMs(answer.leaseTerm)}};
            }));
    } else {
        const std::int64_t lease
            = std::atoll(target.path.substr(target.path.rfind('/') + 1).c_str());
        const auto done
            = makeAnswerHandler(responder, [](const StoreAnswer &) { return json::object(); });
        if (target.path.starts_with("/kv-keep/"))
            store.renewLease(lease, noAnswerTimeout, done);
        else
            store.revokeLease(lease, noAnswerTimeout, done);
    }
}

void serveWorker(Tasks::WorkerLink &link, const Tasks::WorkerEntry &worker,
                 const HttpRequest &request, const HttpResponder &responder)
{
    const Target target(std::string_view(request.target().data(), request.target().size()));
    const json body = json::parse(request.body());
    const std::int64_t token = body.at("fencingToken");
    if (target.path == "/run-start") {
        Tasks::StartOrder order;
        order.run = runOf(body);
        order.payload = body.at("spec");
        order.checkpoint = body.value("checkpoint", "");
        order.leaseUntil = body.at("deadlineMs");
        order.fencingToken = token;
        link.start(worker, order, noAnswerTimeout, makeAnswerHandler(responder));
    } else if (target.path == "/run-stop") {
        link.stop(worker, {runOf(body), token}, noAnswerTimeout, makeAnswerHandler(responder));
    } else if (target.path == "/pace") {
        link.setPace(worker, {runOf(body), body.at("percent"), token}, noAnswerTimeout,
                     makeAnswerHandler(responder));
    } else {
        Tasks::RenewOrder order;
        order.fencingToken = token;
        order.endsRecorded = body.at("ackedUpto");
        order.leaseUntil = body.value("deadlineMs", std::int64_t{0});
        order.wait = milliseconds(body.value("waitMs", 0));
        link.renew(worker, order, noAnswerTimeout, makeAnswerHandler(responder));
    }
}

std::string registryKey(const std::string &worker)
{
    return std::string(Platform::workerRegistryPrefix) + worker;
}

std::string encodeEntry(const Tasks::WorkerEntry &worker, std::int64_t sequence)
{
    return json{{"backend", worker.service},
                {"address", worker.address},
                {"zone", worker.dataCenter},
                {"state", worker.draining ? "draining" : "ready"},
                {"labels", worker.labels},
                {"capacity",
                 {{"cpu", worker.capacity.milliCores},
                  {"memMb", worker.capacity.memoryMiB},
                  {"gpu", worker.capacity.accelerators}}},
                {"born", worker.incarnation},
                {"seq", sequence}}
        .dump();
}

std::string encodeConfiguration(std::int64_t version, const std::vector<std::string> &keys)
{
    json routes = json::array();
    for (int priority = 0; priority < 3; priority++) {
        const std::string number = std::to_string(priority);
        routes.push_back({{"name", "queue-" + number},
                          {"host", configurationHost},
                          {"prefix", "/p" + number + "/"},
                          {"backend", "blend"},
                          {"priority", priority},
                          {"maxAttempts", 3},
                          {"stretch", 3.0},
                          {"targetLatencyMs", 1000}});
    }
    return json{
        {"version", version},
        {"routes", std::move(routes)},
        {"tenants", {{{"name", "parks"}, {"apiKeys", keys}, {"guaranteed", {{"gpu", 16}}}}}}}
        .dump();
}

std::string encodeJob(const std::string &payload, std::int32_t tasks, std::int32_t accelerators,
                      bool gang, bool checkpoints)
{
    json step = {{"count", tasks},
                 {"cpu", 1000},
                 {"memMb", 1000},
                 {"gpu", accelerators},
                 {"estimateMs", 1000}};
    if (gang)
        step["gang"] = true;
    if (checkpoints)
        step["savesProgress"] = true;
    return json{{"spec", payload}, {"steps", {step}}}.dump();
}

std::string encodeSettings(const InstanceAddresses &addresses)
{
    return "node = \"" + addresses.name
        + "\"\nzone = \"north\"\nip = \"127.0.0.1\"\n[listen]\nfront = \"" + addresses.callers
        + "\"\nready = \"" + addresses.readiness + "\"\n[platform]\naddress = \"" + addresses.store
        + "\"\n[bounds]\nrevokeMs = 5000\ngraceS = 6\n";
}

} // namespace Hibiscus::Soak
