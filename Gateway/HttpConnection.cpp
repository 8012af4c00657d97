#include <Gateway/HttpConnection.h>

#include <httplib.h>

namespace Hibiscus {

namespace {

/// Divisor of a call's timeout: connecting may take at most one quarter of the timeout, reading the
/// answer the rest.
constexpr int connectTimeoutDivisor = 4;

HttpOutcome outcomeOf(httplib::Error error)
{
    const bool unconnected
        = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    return unconnected ? HttpOutcome::NotConnected : HttpOutcome::Broken;
}

} // namespace

struct HttpConnection::Data
{
    explicit Data(const Settings &settings)
        : timeout(settings.timeout)
        , http(settings.host, settings.port)
    {
        this->http.set_keep_alive(true);
        this->http.set_tcp_nodelay(true);
        this->http.set_connection_timeout(this->timeout / connectTimeoutDivisor);
        this->http.set_write_timeout(this->timeout / connectTimeoutDivisor);
    }

    HttpAnswer call(httplib::Request &request, Duration extraTime);

    Duration timeout;
    httplib::Client http;
};

HttpAnswer HttpConnection::Data::call(httplib::Request &request, Duration extraTime)
{
    // The library's timeout limits each pause between bytes; the deadline limits the whole call.
    const auto deadline = std::chrono::steady_clock::now() + this->timeout + extraTime;
    HttpAnswer answer;
    request.content_receiver = [&](const char *bytes, std::size_t size, auto, auto) {
        answer.body.append(bytes, size);
        return std::chrono::steady_clock::now() < deadline;
    };
    this->http.set_read_timeout(this->timeout - this->timeout / connectTimeoutDivisor + extraTime);
    try {
        const httplib::Result result = this->http.send(request);
        if (result)
            return {HttpOutcome::Answered, result->status, std::move(answer.body), {}};
        return {outcomeOf(result.error()), 0, {}, httplib::to_string(result.error())};
    } catch (const std::exception &error) {
        return {HttpOutcome::Broken, 0, {}, error.what()};
    }
}

HttpConnection::HttpConnection(const Settings &settings)
    : data(std::make_unique<Data>(settings))
{}

HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection &&) noexcept = default;
HttpConnection &HttpConnection::operator=(HttpConnection &&) noexcept = default;

HttpAnswer HttpConnection::get(const std::string &path)
{
    httplib::Request request;
    request.method = "GET";
    request.path = path;
    return this->data->call(request, {});
}

HttpAnswer HttpConnection::postJson(const std::string &path, std::string body, Duration extraTime)
{
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = std::move(body);
    request.set_header("Content-Type", "application/json");
    return this->data->call(request, extraTime);
}

} // namespace Hibiscus
