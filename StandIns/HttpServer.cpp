#include <StandIns/HttpServer.h>

#include <limits>

namespace Hibiscus {

namespace {

constexpr const char *jsonType = "application/json";
constexpr milliseconds startPollInterval{1};

void setReuseAddress(socket_t socket)
{
    // Replaces the library's default of SO_REUSEPORT, with which binding to a port in use succeeds
    // instead of being reported as an error.
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

} // namespace

TimePoint steadyNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

HttpServer::HttpServer(std::size_t connections, seconds idleTimeout)
{
    this->server.new_task_queue = [connections] { return new httplib::ThreadPool(connections); };
    this->server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    this->server.set_keep_alive_timeout(idleTimeout.count());
    this->server.set_tcp_nodelay(true);
    this->server.set_socket_options(setReuseAddress);
}

HttpServer::~HttpServer()
{
    this->stop();
}

std::optional<std::uint16_t> HttpServer::listen(const std::string &host, std::uint16_t port)
{
    int bound = port;
    if (port == 0)
        bound = this->server.bind_to_any_port(host);
    else if (!this->server.bind_to_port(host, port))
        bound = -1;
    if (bound <= 0)
        return std::nullopt;
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    // httplib ignores a stop() that comes before its accept loop runs.
    while (!this->server.is_running())
        std::this_thread::sleep_for(startPollInterval);
    return static_cast<std::uint16_t>(bound);
}

void HttpServer::stop()
{
    if (!this->thread.joinable())
        return;
    this->server.stop();
    this->thread.join();
}

void sendJson(httplib::Response &response, const std::string &body, int httpStatus)
{
    response.status = httpStatus;
    response.set_content(body, jsonType);
}

void sendFindings(httplib::Response &response, const Findings &findings)
{
    response.status = 400;
    response.set_content(findings.toString(), "text/plain");
}

void abortResponse(httplib::Response &response)
{
    response.status = 200;
    response.set_content_provider(1, jsonType, [](auto, auto, auto &) { return false; });
}

} // namespace Hibiscus
