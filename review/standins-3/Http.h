#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Scene {

struct Request
{
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query; ///< Decoded.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct Response
{
    int status = 200; ///< 0: the connection is closed without a response.
    std::string body;
};

using Handler = std::function<Response(const Request &)>;

/// HTTP/1.1 server on a free port of 127.0.0.1, with one thread for each connection. It lives until
/// the process ends.
class Server
{
public:
    explicit Server(Handler handler);
    int port() const { return this->boundPort; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->boundPort); }

private:
    int boundPort = 0;
};

/// Returns a port of the loopback address that is free now: the wanted one, or any for 0. Returns 0
/// if there is none.
int freePort(const std::string &ip, int wanted);

/// Sends one request on a connection of its own. The status is 0 without a response in time.
Response call(const std::string &address, const std::string &method, const std::string &path,
              const std::map<std::string, std::string> &headers, const std::string &body,
              int timeoutMs);

} // namespace Scene
