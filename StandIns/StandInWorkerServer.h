#pragma once

#include <StandIns/HttpServer.h>
#include <StandIns/StandInWorker.h>

#include <condition_variable>
#include <fstream>
#include <mutex>

namespace Hibiscus {

/// Serves a stand-in worker over HTTP: POST /v1/worker, GET /v1/runs, GET and POST /v1/faults.
class StandInWorkerServer
{
public:
    struct Settings
    {
        StandInWorker::Settings worker;
        std::string host = "127.0.0.1";
        std::uint16_t port = 0; ///< 0 selects a free port.
        std::size_t connections = 128; ///< Maximum number of concurrent connections.
        seconds idleTimeout{5}; ///< Time until a connection without a request is closed.
        std::string runLogFile; ///< File to which starts and ends are appended; empty for none.
    };

    explicit StandInWorkerServer(const Settings &settings);
    ~StandInWorkerServer();

    /// Starts to serve. Returns the port, or nothing if it cannot be bound.
    std::optional<std::uint16_t> start();
    void stop();

    void setFaults(const WorkerFaults &faults);

private:
    void addRoutes();
    void serveWorker(const httplib::Request &http, httplib::Response &response);
    void serveFaults(const httplib::Request &http, httplib::Response &response);
    WorkerReply execute(const WorkerRequest &request);
    void waitForReports(const WorkerRequest &request, WorkerReply &reply,
                        std::unique_lock<std::mutex> &lock);
    void writeRunLog();

    Settings settings;
    std::mutex mutex; ///< Guards all members below except the HTTP server.
    std::condition_variable changed;
    bool stopping = false;
    StandInWorker worker;
    std::ofstream runLogFile;
    HttpServer http;
};

} // namespace Hibiscus
