#pragma once

#include <Core/Findings.h>
#include <Core/Time.h>

#include <cstdint>
#include <httplib.h>
#include <optional>
#include <string>
#include <thread>

namespace Hibiscus {

/// The present time for the adapters of the stand-ins; processes of one machine share it.
TimePoint steadyNow();

/// An HTTP server in a thread of its own, with a thread for each connection up to a bound.
class HttpServer
{
public:
    /// An idle connection is closed after `idleTimeout`.
    explicit HttpServer(std::size_t connections, seconds idleTimeout);
    ~HttpServer();

    /// To add routes, before listen().
    httplib::Server &routes() { return this->server; }

    /// Listens on `port`, or on a free one for 0. Returns the port, or nothing if it is taken.
    std::optional<std::uint16_t> listen(const std::string &host, std::uint16_t port);

    /// Finishes the requests that run and takes no new ones. Streams have to end by themselves.
    /// An idle connection that its client keeps open delays the end by up to the idle timeout.
    void stop();

private:
    httplib::Server server;
    std::thread thread;
};

/// Answers with JSON text.
void sendJson(httplib::Response &response, const std::string &body, int httpStatus = 200);

/// Answers 400 with the findings.
void sendFindings(httplib::Response &response, const Findings &findings);

/// Closes the connection in the middle of the answer, so that its content is lost.
void abortResponse(httplib::Response &response);

} // namespace Hibiscus
