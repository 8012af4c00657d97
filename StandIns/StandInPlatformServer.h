#pragma once

#include <StandIns/GatewayServerCodec.h>
#include <StandIns/HttpServer.h>
#include <StandIns/StandInLiveList.h>
#include <StandIns/StandInStore.h>

#include <condition_variable>
#include <mutex>

namespace Hibiscus {

/// The platform's store and live list over HTTP: the store's gateway, GET and POST /v1/live,
/// POST /v1/leaving/<name>, GET and POST /v1/faults, GET /v1/counters.
class StandInPlatformServer
{
public:
    struct Settings
    {
        std::string host = "127.0.0.1";
        std::uint16_t port = 0; ///< 0 takes a free one.
        Duration liveListLag{};
        std::size_t connections = 128;
        seconds idleTimeout{5}; ///< Of a connection without a request.
    };

    explicit StandInPlatformServer(const Settings &settings);
    ~StandInPlatformServer();

    /// Starts to serve; returns the port, or nothing if it is taken.
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

    /// Waits as long as the store is slow; ends early with a stop.
    void waitForSlowFault();
    void countBytes(std::size_t received, std::size_t sent);

    Settings settings;
    std::mutex mutex; ///< Guards all below but the HTTP server.
    std::condition_variable changed;
    bool stopping = false;
    StandInStore store;
    StandInLiveList liveList;
    HttpServer http;
};

} // namespace Hibiscus
