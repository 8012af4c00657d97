#pragma once

#include <StandIns/HttpServer.h>
#include <StandIns/StandInWorker.h>

#include <condition_variable>
#include <fstream>
#include <mutex>

namespace Hibiscus {

/// A worker over HTTP: POST /v1/worker, GET /v1/runs, GET and POST /v1/faults.
class StandInWorkerServer
{
public:
    struct Settings
    {
        StandInWorker::Settings worker;
        std::string host = "127.0.0.1";
        std::uint16_t port = 0; ///< 0 takes a free one.
        std::size_t connections = 128;
        seconds idleTimeout{5}; ///< Of a connection without a request.
        std::string runLogFile; ///< Starts and ends are appended as lines; empty for none.
    };

    explicit StandInWorkerServer(const Settings &settings);
    ~StandInWorkerServer();

    /// Starts to serve; returns the port, or nothing if it is taken.
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
    std::mutex mutex; ///< Guards all below but the HTTP server.
    std::condition_variable changed;
    bool stopping = false;
    StandInWorker worker;
    std::ofstream runLogFile;
    HttpServer http;
};

} // namespace Hibiscus
