#pragma once

#include <Core/Findings.h>
#include <Core/Time.h>

#include <cstdint>
#include <httplib.h>
#include <optional>
#include <string>
#include <thread>

namespace Hibiscus {

/// Current time of the steady clock, which all processes of one machine share.
TimePoint steadyNow();

/// HTTP server that accepts in its own thread and serves each connection in a thread of a pool of
/// `connections` threads.
class HttpServer
{
public:
    /// Connections that are idle for `idleTimeout` are closed.
    explicit HttpServer(std::size_t connections, seconds idleTimeout);
    ~HttpServer();

    /// Server to which routes are added before listen() is called.
    httplib::Server &routes() { return this->server; }

    /// Listens on `port`, or on a free port if it is 0. Returns the port, or nothing if it cannot
    /// be bound.
    std::optional<std::uint16_t> listen(const std::string &host, std::uint16_t port);

    /// Refuses new requests and waits for those in progress. The caller has to end streamed
    /// responses. An idle connection that its client keeps open delays the return by up to the
    /// idle timeout.
    void stop();

private:
    httplib::Server server;
    std::thread thread;
};

void sendJson(httplib::Response &response, const std::string &body, int httpStatus = 200);

/// Responds with status 400 and the findings as plain text.
void sendFindings(httplib::Response &response, const Findings &findings);

/// Closes the connection after the headers of a response, so that the client receives no answer.
void abortResponse(httplib::Response &response);

} // namespace Hibiscus
