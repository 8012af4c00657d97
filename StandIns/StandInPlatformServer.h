#pragma once

#include <StandIns/GatewayServerCodec.h>
#include <StandIns/HttpServer.h>
#include <StandIns/StandInLiveList.h>
#include <StandIns/StandInStore.h>

#include <condition_variable>
#include <mutex>

namespace Hibiscus {

/// Serves the simulated store and live list of the platform over HTTP: the store's gateway, GET and
/// POST /v1/live, POST /v1/leaving/<name>, GET and POST /v1/faults, GET /v1/counters.
class StandInPlatformServer
{
public:
    struct Settings
    {
        std::string host = "127.0.0.1";
        std::uint16_t port = 0; ///< 0 selects a free port.
        Duration liveListLag{};
        std::size_t connections = 128; ///< Maximum number of concurrent connections.
        seconds idleTimeout{5}; ///< Time until a connection without a request is closed.
    };

    explicit StandInPlatformServer(const Settings &settings);
    ~StandInPlatformServer();

    /// Starts to serve. Returns the port, or nothing if it cannot be bound.
    std::optional<std::uint16_t> start();
    void stop();

    void setLiveList(const LiveList &list);
    void setFaults(const StoreFaults &faults);

private:
    void addStoreRoutes();
    void addLiveListRoutes();
    void addControlRoutes();

    void serveStore(const httplib::Request &http, httplib::Response &response);
    void serveWatch(const httplib::Request &http, httplib::Response &response);
    bool streamWatch(WatchRequest &watch, httplib::DataSink &sink);
    void serveFaults(const httplib::Request &http, httplib::Response &response);
    std::string countersJson();

    /// Waits for the delay of the fault `slowMs`, or until the server stops.
    void waitForSlowFault();
    void countBytes(std::size_t received, std::size_t sent);

    Settings settings;
    std::mutex mutex; ///< Guards all members below except the HTTP server.
    std::condition_variable changed;
    bool stopping = false;
    StandInStore store;
    StandInLiveList liveList;
    HttpServer http;
};

} // namespace Hibiscus
