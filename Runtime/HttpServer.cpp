#include <Runtime/HttpServer.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <set>

namespace Hibiscus::Runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

struct HttpServer::Shared
{
    HttpHandler handler;
    Settings settings;
    bool closeAfterResponses = false;
    std::set<Connection *> connections;
    std::size_t inProgress = 0;
};

class HttpServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
        : stream(std::move(socket))
        , shared(std::move(shared))
    {
        this->shared->connections.insert(this);
    }

    ~Connection()
    {
        this->shared->connections.erase(this);
        if (this->requestInProgress)
            this->shared->inProgress--;
    }

    void readNext()
    {
        this->parser.emplace();
        this->parser->header_limit(this->shared->settings.headerLimitBytes);
        this->parser->body_limit(this->shared->settings.bodyLimitBytes);
        if (this->buffer.size() > 0) {
            this->readRequest();
            return;
        }
        this->idle = true;
        this->stream.expires_after(this->shared->settings.idleTimeout);
        // Wait for the first byte separately, so that the idle timeout applies until then and the
        // read timeout afterwards.
        this->stream.async_read_some(
            this->buffer.prepare(firstReadBytes),
            [self = this->shared_from_this()](error_code error, std::size_t bytes) {
                self->idle = false;
                if (error)
                    return;
                self->buffer.commit(bytes);
                self->readRequest();
            });
    }

    void closeIfIdle()
    {
        if (this->idle && this->buffer.size() == 0)
            this->closeConnection();
    }

private:
    static constexpr std::size_t firstReadBytes = 4096;

    void readRequest()
    {
        this->stream.expires_after(this->shared->settings.readTimeout);
        http::async_read(this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](error_code error, std::size_t) {
                             self->requestReceived(error);
                         });
    }

    void requestReceived(error_code error)
    {
        if (error == http::error::body_limit) {
            this->rejectRequest(http::status::payload_too_large);
            return;
        }
        if (error == http::error::header_limit) {
            this->rejectRequest(http::status::request_header_fields_too_large);
            return;
        }
        if (error == http::error::end_of_stream) {
            this->closeConnection();
            return;
        }
        if (error) {
            if (error.category() == make_error_code(http::error::bad_method).category())
                this->rejectRequest(http::status::bad_request);
            return;
        }
        this->stream.expires_never();
        this->passToHandler();
    }

    void passToHandler()
    {
        this->requestInProgress = true;
        this->shared->inProgress++;
        HttpRequest request = this->parser->release();
        const bool keepAlive = request.keep_alive();
        const unsigned version = request.version();
        const std::weak_ptr<Connection> weak = this->weak_from_this();
        // The responder keeps the connection object alive until the responder is called or
        // destroyed.
        HttpResponder responder
            = [self = this->shared_from_this(), keepAlive, version](HttpResponse response) mutable {
                  if (!self)
                      return;
                  response.version(version);
                  self->sendResponse(std::move(response), keepAlive);
                  self.reset();
              };
        this->shared->handler(std::move(request), std::move(responder));
    }

    void rejectRequest(http::status status)
    {
        this->requestInProgress = true;
        this->shared->inProgress++;
        this->sendResponse(HttpResponse(status, 11), false);
    }

    void sendResponse(HttpResponse response, bool keepAlive)
    {
        const bool keep = keepAlive && !this->shared->closeAfterResponses;
        response.keep_alive(keep);
        response.prepare_payload();
        this->response = std::move(response);
        this->stream.expires_after(this->shared->settings.writeTimeout);
        http::async_write(this->stream, this->response,
                          [self = this->shared_from_this(), keep](error_code error, std::size_t) {
                              self->responseSent(error, keep);
                          });
    }

    void responseSent(error_code error, bool keep)
    {
        this->requestInProgress = false;
        this->shared->inProgress--;
        if (error)
            return;
        if (keep)
            this->readNext();
        else
            this->closeAfterDiscardingInput();
    }

    /// Closes the sending side and discards input for a while before the connection is closed.
    /// Closing a connection that has unread bytes would reset it, which could lose the response.
    void closeAfterDiscardingInput()
    {
        error_code ignored;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        this->stream.expires_after(discardTimeout);
        this->discardInput();
    }

    void discardInput()
    {
        this->buffer.clear();
        this->stream.async_read_some(
            this->buffer.prepare(firstReadBytes),
            [self = this->shared_from_this()](error_code error, std::size_t) {
                if (!error)
                    self->discardInput();
            });
    }

    void closeConnection()
    {
        error_code ignored;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        this->stream.close();
    }

    static constexpr Duration discardTimeout = milliseconds(500);

    beast::tcp_stream stream;
    std::shared_ptr<Shared> shared;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    HttpResponse response;
    bool idle = false;
    bool requestInProgress = false;
};

HttpServer::HttpServer(asio::io_context &loop, const asio::ip::tcp::endpoint &address,
                       HttpHandler handler, const Settings &settings)
    : shared(std::make_shared<Shared>())
    , acceptor(loop, address, true)
{
    this->shared->handler = std::move(handler);
    this->shared->settings = settings;
    this->acceptNext();
}

HttpServer::~HttpServer() = default;

void HttpServer::setLimits(const Settings &settings)
{
    this->shared->settings = settings;
}

void HttpServer::closeAfterResponses()
{
    this->shared->closeAfterResponses = true;
}

void HttpServer::closeIdleConnections()
{
    const std::set<Connection *> connections = this->shared->connections;
    for (Connection *connection : connections)
        connection->closeIfIdle();
}

void HttpServer::stopListening()
{
    error_code ignored;
    this->acceptor.close(ignored);
}

unsigned short HttpServer::port() const
{
    return this->acceptor.local_endpoint().port();
}

std::size_t HttpServer::connectionCount() const
{
    return this->shared->connections.size();
}

std::size_t HttpServer::requestsInProgress() const
{
    return this->shared->inProgress;
}

void HttpServer::acceptNext()
{
    this->acceptor.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error && this->shared->connections.size() < this->shared->settings.maxConnections) {
            error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            std::make_shared<Connection>(std::move(socket), this->shared)->readNext();
        }
        this->acceptNext();
    });
}

} // namespace Hibiscus::Runtime
