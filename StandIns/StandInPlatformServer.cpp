#include <Gateway/JsonFields.h>
#include <StandIns/StandInPlatformServer.h>

#include <array>

namespace Hibiscus {

namespace {

/// Maximum time until a waiting watch detects an expired lease or a disconnected client.
constexpr milliseconds watchPollInterval{250};

constexpr int httpNoContent = 204;
constexpr int httpNotFound = 404;
constexpr int httpUnavailable = 503;

constexpr std::array<JsonField<StoreFaults>, 4> faultFields{{
    {"down", &StoreFaults::down},
    {"slowMs", &StoreFaults::slowMs},
    {"loseAnswers", &StoreFaults::loseAnswers},
    {"breakWatches", &StoreFaults::breakWatches},
}};

// Indexed by StoreVerb.
constexpr std::array<const char *, StoreCounters::verbCount> verbNames{
    "get", "list", "swap", "remove", "grantLease", "keepLease", "revokeLease"};

void sendGatewayResponse(httplib::Response &response, const GatewayResponse &answer)
{
    sendJson(response, answer.body, answer.httpStatus);
}

} // namespace

StandInPlatformServer::StandInPlatformServer(const Settings &settings)
    : settings(settings)
    , liveList(settings.liveListLag)
    , http(settings.connections, settings.idleTimeout)
{
    this->addStoreRoutes();
    this->addLiveListRoutes();
    this->addControlRoutes();
}

StandInPlatformServer::~StandInPlatformServer()
{
    this->stop();
}

std::optional<std::uint16_t> StandInPlatformServer::start()
{
    return this->http.listen(this->settings.host, this->settings.port);
}

void StandInPlatformServer::stop()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->http.stop();
}

void StandInPlatformServer::setLiveList(const LiveList &list)
{
    const std::scoped_lock lock(this->mutex);
    this->liveList.set(list, steadyNow());
}

void StandInPlatformServer::setFaults(const StoreFaults &faults)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->store.setFaults(faults);
    }
    this->changed.notify_all();
}

void StandInPlatformServer::addStoreRoutes()
{
    const auto serve = [this](const httplib::Request &http, httplib::Response &response) {
        this->serveStore(http, response);
    };
    httplib::Server &routes = this->http.routes();
    routes.Post("/v3/kv/.*", serve);
    routes.Post("/v3/lease/.*", serve);
    routes.Post("/v3/watch", [this](const httplib::Request &http, httplib::Response &response) {
        this->serveWatch(http, response);
    });
}

void StandInPlatformServer::addLiveListRoutes()
{
    httplib::Server &routes = this->http.routes();
    routes.Get("/v1/live", [this](const httplib::Request &, httplib::Response &response) {
        const std::scoped_lock lock(this->mutex);
        sendJson(response, toJson(this->liveList.visibleAt(steadyNow())));
    });
    routes.Post("/v1/live", [this](const httplib::Request &http, httplib::Response &response) {
        const tl::expected<LiveList, Findings> list = parseLiveList(http.body);
        if (!list)
            return sendFindings(response, list.error());
        if (!list->leftOut.isEmpty())
            return sendFindings(response, list->leftOut);
        this->setLiveList(*list);
        response.status = httpNoContent;
    });
    routes.Post(
        "/v1/leaving/(.+)", [this](const httplib::Request &http, httplib::Response &response) {
            const std::scoped_lock lock(this->mutex);
            const bool found = this->liveList.markLeaving(http.matches[1].str(), steadyNow());
            response.status = found ? httpNoContent : httpNotFound;
        });
}

void StandInPlatformServer::addControlRoutes()
{
    httplib::Server &routes = this->http.routes();
    routes.Post("/v1/faults", [this](const httplib::Request &http, httplib::Response &response) {
        this->serveFaults(http, response);
    });
    routes.Get("/v1/faults", [this](const httplib::Request &, httplib::Response &response) {
        const std::scoped_lock lock(this->mutex);
        sendJson(response, jsonText(writeFields<StoreFaults>(faultFields, this->store.faults())));
    });
    routes.Get("/v1/counters", [this](const httplib::Request &, httplib::Response &response) {
        sendJson(response, this->countersJson());
    });
}

void StandInPlatformServer::serveStore(const httplib::Request &http, httplib::Response &response)
{
    const tl::expected<StoreRequest, Findings> request = decodeStoreRequest(http.path, http.body);
    if (!request)
        return sendGatewayResponse(response, encodeBadRequest(request.error()));
    this->waitForSlowFault();
    StoreOutcome outcome;
    {
        const std::scoped_lock lock(this->mutex);
        outcome = this->store.execute(*request, steadyNow());
    }
    this->changed.notify_all();
    const bool answerLost
        = outcome.reply.status == StoreStatus::NoAnswer && outcome.refusal == StoreRefusal::None;
    if (answerLost) {
        this->countBytes(http.body.size(), 0);
        return abortResponse(response);
    }
    const GatewayResponse answer = encodeStoreResponse(*request, outcome);
    this->countBytes(http.body.size(), answer.body.size());
    sendGatewayResponse(response, answer);
}

void StandInPlatformServer::waitForSlowFault()
{
    std::unique_lock lock(this->mutex);
    const milliseconds delay(this->store.faults().slowMs);
    if (delay.count() > 0)
        this->changed.wait_for(lock, delay, [this] { return this->stopping; });
}

void StandInPlatformServer::countBytes(std::size_t received, std::size_t sent)
{
    const std::scoped_lock lock(this->mutex);
    this->store.countBytes(received, sent);
}

void StandInPlatformServer::serveWatch(const httplib::Request &http, httplib::Response &response)
{
    const tl::expected<WatchRequest, Findings> request = decodeWatchRequest(http.body);
    if (!request)
        return sendGatewayResponse(response, encodeBadRequest(request.error()));
    const auto watch = std::make_shared<WatchRequest>(*request);
    const std::scoped_lock lock(this->mutex);
    this->store.countWatch();
    this->store.countBytes(http.body.size(), 0);
    const StoreFaults &faults = this->store.faults();
    if (faults.down || faults.breakWatches) {
        response.status = httpUnavailable;
        return;
    }
    const std::int64_t revision = this->store.revision();
    if (watch->fromRevision == 0)
        watch->fromRevision = revision + 1; // As in etcd, 0 means from the next change.
    response.set_chunked_content_provider(
        "application/json", [this, watch, revision](std::size_t offset, httplib::DataSink &sink) {
            if (offset > 0)
                return this->streamWatch(*watch, sink);
            const std::string created = encodeWatchCreated(revision);
            return sink.write(created.data(), created.size());
        });
}

bool StandInPlatformServer::streamWatch(WatchRequest &watch, httplib::DataSink &sink)
{
    StoreWatchResult result;
    {
        std::unique_lock lock(this->mutex);
        result
            = this->store.pollChanges(watch.key, watch.rangeEnd, watch.fromRevision, steadyNow());
        const bool idle = !result.broken && result.changes.empty();
        if (idle && !this->stopping) {
            this->changed.wait_for(lock, watchPollInterval);
            result = this->store.pollChanges(watch.key, watch.rangeEnd, watch.fromRevision,
                                             steadyNow());
        }
        // Closes the connection without ending the stream, as a server that fails does.
        if (result.broken || this->stopping)
            return false;
    }
    watch.fromRevision = result.nextRevision;
    // httplib detects a disconnected client only when it writes.
    if (result.changes.empty())
        return sink.is_writable();
    const std::string line = encodeWatchChanges(result);
    this->countBytes(0, line.size());
    return sink.write(line.data(), line.size());
}

void StandInPlatformServer::serveFaults(const httplib::Request &http, httplib::Response &response)
{
    Findings findings;
    StoreFaults faults;
    {
        const std::scoped_lock lock(this->mutex);
        faults = this->store.faults();
    }
    const nlohmann::json document = parseJson(http.body, findings);
    if (findings.isEmpty())
        readFields<StoreFaults>(document, faultFields, faults, "", findings);
    if (!findings.isEmpty())
        return sendFindings(response, findings);
    this->setFaults(faults);
    response.status = httpNoContent;
}

std::string StandInPlatformServer::countersJson()
{
    const std::scoped_lock lock(this->mutex);
    const StoreCounters &counters = this->store.counters();
    nlohmann::json calls = nlohmann::json::object();
    for (std::size_t verb = 0; verb < verbNames.size(); ++verb)
        calls[verbNames[verb]] = counters.calls[verb];
    calls["watch"] = counters.watches;
    return jsonText({{"calls", calls},
                     {"bytesReceived", counters.bytesReceived},
                     {"bytesSent", counters.bytesSent}});
}

} // namespace Hibiscus
