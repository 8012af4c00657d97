#include <Runtime/Address.h>
#include <Runtime/HttpClient.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

namespace Hibiscus::Runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

struct HttpClient::Shared
{
    asio::io_context &loop;
    std::string address;
    asio::ip::tcp::endpoint endpoint;
    Settings settings;
    std::vector<std::unique_ptr<beast::tcp_stream>> idle;
    std::uint64_t calls = 0;
    std::uint64_t connections = 0;
};

/// One call and its response.
class HttpClient::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<Shared> shared, HttpCall call, Duration timeout,
             HttpResultHandler handler)
        : shared(std::move(shared))
        , handler(std::move(handler))
        , deadline(std::chrono::steady_clock::now() + timeout)
        , buffer(this->shared->settings.headerLimitBytes + this->shared->settings.framingLimitBytes)
        , repeatable(call.repeatable)
    {
        this->request.method(call.verb);
        this->request.target(call.target);
        this->request.version(11);
        this->request.set(http::field::host, this->shared->address);
        for (const HttpHeader &header : call.headers)
            this->request.set(header.name, header.value);
        if (!call.body.empty()) {
            this->request.set(http::field::content_type, "application/json");
            this->request.body() = std::move(call.body);
        }
        this->request.prepare_payload();
    }

    void begin()
    {
        while (!this->shared->idle.empty()) {
            this->stream = std::move(this->shared->idle.back());
            this->shared->idle.pop_back();
            if (!this->repeatable && !isOpen(*this->stream))
                continue;
            this->reused = true;
            this->send();
            return;
        }
        this->connect();
    }

private:
    /// Whether the peer has neither closed the idle connection nor sent anything on it. A call that
    /// must not be repeated can't use trial and error to find that out.
    static bool isOpen(beast::tcp_stream &stream)
    {
        error_code error;
        char byte = 0;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error == asio::error::would_block;
    }

    void connect()
    {
        this->reused = false;
        this->shared->connections++;
        this->stream = std::make_unique<beast::tcp_stream>(this->shared->loop);
        const auto connectBy
            = std::chrono::steady_clock::now() + this->shared->settings.connectTimeout;
        this->stream->expires_at(std::min(this->deadline, connectBy));
        this->stream->async_connect(
            this->shared->endpoint,
            [self = this->shared_from_this()](error_code error) { self->connected(error); });
    }

    void connected(error_code error)
    {
        if (error) {
            this->finish({});
            return;
        }
        error_code ignored;
        this->stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        this->send();
    }

    void send()
    {
        this->stream->expires_at(this->deadline);
        http::async_write(*this->stream, this->request,
                          [self = this->shared_from_this()](error_code error, std::size_t) {
                              if (error)
                                  self->failed(error);
                              else
                                  self->receive();
                          });
    }

    void receive()
    {
        this->parser.emplace();
        this->parser->header_limit(this->shared->settings.headerLimitBytes);
        this->parser->body_limit(this->shared->settings.responseLimitBytes);
        http::async_read(*this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](error_code error, std::size_t) {
                             if (error)
                                 self->failed(error);
                             else
                                 self->received();
                         });
    }

    void failed(error_code error)
    {
        // A peer that stopped answering on one connection may have done so on all idle ones.
        if (error == beast::error::timeout)
            this->shared->idle.clear();
        const bool retry = this->repeatable && this->reused && error != beast::error::timeout
            && this->buffer.size() == 0 && !this->hasResponseHeader();
        if (retry)
            this->connect();
        else
            this->finish({});
    }

    bool hasResponseHeader() const { return this->parser && this->parser->is_header_done(); }

    void received()
    {
        HttpResult result;
        result.status = this->parser->get().result_int();
        if (this->parser->get().keep_alive())
            this->keepConnection();
        result.body = std::move(this->parser->get().body());
        this->finish(std::move(result));
    }

    void keepConnection()
    {
        if (this->shared->idle.size() >= this->shared->settings.maxIdleConnections)
            return;
        this->stream->expires_never();
        this->shared->idle.push_back(std::move(this->stream));
    }

    void finish(HttpResult result)
    {
        const HttpResultHandler answer = std::move(this->handler);
        this->stream.reset();
        answer(std::move(result));
    }

    std::shared_ptr<Shared> shared;
    HttpResultHandler handler;
    std::chrono::steady_clock::time_point deadline;
    http::request<http::string_body> request;
    std::unique_ptr<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
    bool repeatable = true;
    bool reused = false;
};

HttpClient::HttpClient(asio::io_context &loop, const std::string &address, const Settings &settings)
    // With a malformed address calls fail like calls to a port without a listener.
    : shared(
        std::make_shared<Shared>(Shared{loop,
                                        address,
                                        parseAddress(address).value_or(asio::ip::tcp::endpoint()),
                                        settings,
                                        {},
                                        0,
                                        0}))
{}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpCall call, Duration timeout, HttpResultHandler handler)
{
    this->shared->calls++;
    std::make_shared<Exchange>(this->shared, std::move(call), timeout, std::move(handler))->begin();
}

std::uint64_t HttpClient::callsMade() const
{
    return this->shared->calls;
}

std::uint64_t HttpClient::connectionsMade() const
{
    return this->shared->connections;
}

} // namespace Hibiscus::Runtime
