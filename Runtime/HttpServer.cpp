#include <Runtime/HttpServer.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <optional>
#include <tuple>

namespace Hibiscus::Runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t firstReadBytes = 4096;
constexpr std::size_t nextReadBytes = std::size_t{16} * 1024;
/// Room in a connection's buffer beyond the header limit, for the framing of chunks and for bytes
/// that arrive together with the header.
constexpr std::size_t framingBytes = 4096;
/// Memory that the parser needs for a header field beside the field's own bytes.
constexpr std::uint64_t fieldOverheadBytes = 96;
/// A handler may hold a request's body twice: as it came, and decoded.
constexpr std::uint64_t handledCopies = 2;
/// Bytes that the kernel keeps for a connection while the process does not read. They count as the
/// process's memory on the platform.
constexpr int receiveBufferBytes = 16 * 1024;
constexpr Duration discardTimeout = milliseconds(500);
constexpr std::size_t discardLimitBytes = std::size_t{1024} * 1024;
/// Wait after a connection could not be accepted for want of descriptors or memory. Without it the
/// loop would try again at once and for ever.
constexpr Duration acceptPause = milliseconds(50);

} // namespace

struct HttpServer::Shared
{
    void applyLimits()
    {
        this->connections.setLimits({this->settings.maxConnections, this->settings.maxHeldBytes});
    }
    void count(CloseReason reason) { this->closed[static_cast<std::size_t>(reason)]++; }

    HttpHandler handler;
    Settings settings;
    bool closeAfterResponses = false;
    ConnectionTable connections;
    CloseCounts closed{};
};

class HttpServer::Connection : public ConnectionTable::Member,
                               public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
        : stream(std::move(socket))
        , shared(std::move(shared))
        , buffer(bufferLimit(this->shared->settings))
    {
        this->shared->connections.add(*this);
    }

    ~Connection() { this->shared->connections.remove(*this); }

    void readNext()
    {
        const Settings &settings = this->shared->settings;
        this->parser.emplace();
        this->parser->header_limit(settings.headerLimitBytes);
        this->parser->body_limit(settings.bodyLimitBytes);
        this->parser->eager(true);
        this->parsedBytes = 0;
        this->buffer.max_size(std::max(bufferLimit(settings), this->buffer.size()));
        if (this->buffer.size() > 0) {
            this->beginRequest();
            return;
        }
        // The memory of a large request is not kept while the connection waits for the next one.
        if (this->buffer.capacity() > firstReadBytes)
            this->buffer.shrink_to_fit();
        this->stream.expires_after(settings.idleTimeout);
        this->isReading = false;
        this->readMore();
    }

    void closeFor(CloseReason reason) override
    {
        this->shared->count(reason);
        this->closeConnection();
        // The pending read ends only once the loop has run further connections, whose memory must
        // not add to that of this one. The read refers to the buffer, not to the parser.
        this->parser.reset();
    }

private:
    static std::size_t bufferLimit(const Settings &settings)
    {
        return settings.headerLimitBytes + framingBytes;
    }

    /// The idle timeout applies until a request's first byte, the read timeout from then on.
    void beginRequest()
    {
        this->isReading = true;
        this->shared->connections.enter(*this, ConnectionState::Reading);
        this->stream.expires_after(this->shared->settings.readTimeout);
        this->parseInput();
    }

    void readMore()
    {
        const std::size_t room = this->buffer.max_size() - this->buffer.size();
        const std::size_t wanted = this->isReading ? nextReadBytes : firstReadBytes;
        this->stream.async_read_some(
            this->buffer.prepare(std::min(room, wanted)),
            [self = this->shared_from_this()](error_code error, std::size_t bytes) {
                if (!self->isClosed)
                    self->bytesReceived(error, bytes);
            });
    }

    void bytesReceived(error_code error, std::size_t bytes)
    {
        if (error) {
            this->readFailed(error);
            return;
        }
        this->buffer.commit(bytes);
        if (this->isReading)
            this->parseInput();
        else
            this->beginRequest();
    }

    /// The memory of each part is counted as soon as it is parsed, before the loop goes on to
    /// another connection. A composed read of the whole request would not allow that.
    void parseInput()
    {
        error_code error;
        std::size_t parsed = 1;
        while (!error && parsed > 0 && this->buffer.size() > 0 && !this->parser->is_done()) {
            parsed = this->parser->put(this->buffer.data(), error);
            this->buffer.consume(parsed);
            this->parsedBytes += parsed;
        }
        if (error && error != http::error::need_more) {
            this->requestFailed(error);
            return;
        }
        const bool isComplete = this->parser->is_done();
        if (!this->shared->connections.hold(*this, this->requestBytes(isComplete)))
            this->closeFor(CloseReason::MemoryLimit);
        else if (isComplete)
            this->passToHandler();
        else if (this->buffer.size() < this->buffer.max_size())
            this->readMore();
        else // The parser needs a chunk's header with its extensions, and all trailers, at once.
            this->rejectRequest(http::status::payload_too_large, CloseReason::FramingLimit);
    }

    /// Memory that the request takes while it is read or, if it is complete, in the handler.
    std::uint64_t requestBytes(bool isComplete) const
    {
        const std::uint64_t body = this->parser->get().body().capacity();
        if (isComplete)
            return this->buffer.capacity() + body * handledCopies;
        std::uint64_t header = 0;
        if (this->parser->is_header_done()) {
            const auto &fields = this->parser->get().base();
            const auto count
                = static_cast<std::uint64_t>(std::distance(fields.begin(), fields.end()));
            const std::uint64_t limit = this->shared->settings.headerLimitBytes;
            header = std::min(this->parsedBytes, limit) + count * fieldOverheadBytes;
        }
        return this->buffer.capacity() + header + body;
    }

    void requestFailed(error_code error)
    {
        if (error == http::error::body_limit) {
            this->rejectRequest(http::status::payload_too_large, CloseReason::BodyLimit);
            return;
        }
        if (error == http::error::header_limit) {
            this->rejectRequest(http::status::request_header_fields_too_large,
                                CloseReason::HeaderLimit);
            return;
        }
        this->rejectRequest(http::status::bad_request, CloseReason::Malformed);
    }

    void readFailed(error_code error)
    {
        if (error == beast::error::timeout) {
            this->shared->count(this->isReading ? CloseReason::ReadTimeout
                                                : CloseReason::IdleTimeout);
            return;
        }
        if (error != asio::error::eof)
            return;
        // The client may still read: it may have closed only its sending side.
        if (this->isReading)
            this->rejectRequest(http::status::bad_request, CloseReason::Malformed);
        else
            this->closeConnection();
    }

    void passToHandler()
    {
        this->stream.expires_never();
        this->shared->connections.enter(*this, ConnectionState::Handling);
        HttpRequest request = this->parser->release();
        const bool keepAlive = request.keep_alive();
        const unsigned version = request.version();
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

    void rejectRequest(http::status status, CloseReason reason)
    {
        this->shared->count(reason);
        this->parser.reset();
        this->sendResponse(HttpResponse(status, 11), false);
    }

    void sendResponse(HttpResponse response, bool keepAlive)
    {
        const bool keep = keepAlive && !this->shared->closeAfterResponses;
        response.keep_alive(keep);
        response.prepare_payload();
        this->response = std::move(response);
        this->shared->connections.enter(*this, ConnectionState::Writing);
        const std::uint64_t bytes = this->buffer.capacity() + this->response.body().capacity();
        if (!this->shared->connections.hold(*this, bytes)) {
            this->closeFor(CloseReason::MemoryLimit);
            return;
        }
        this->stream.expires_after(this->shared->settings.writeTimeout);
        http::async_write(this->stream, this->response,
                          [self = this->shared_from_this(), keep](error_code error, std::size_t) {
                              if (!self->isClosed)
                                  self->responseSent(error, keep);
                          });
    }

    void responseSent(error_code error, bool keep)
    {
        this->response = {};
        // The result tells whether this connection must be closed; one that holds nothing need not
        // be.
        std::ignore = this->shared->connections.hold(*this, 0);
        if (error) {
            if (error == beast::error::timeout)
                this->shared->count(CloseReason::WriteTimeout);
            return;
        }
        if (keep) {
            this->shared->connections.enter(*this, ConnectionState::Idle);
            this->readNext();
        } else {
            this->closeAfterDiscardingInput();
        }
    }

    /// Closes the sending side and discards input for a while before the connection is closed.
    /// Closing a connection that has unread bytes would reset it, which could lose the response.
    void closeAfterDiscardingInput()
    {
        this->shared->connections.enter(*this, ConnectionState::Closing);
        error_code ignored;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        this->stream.expires_after(discardTimeout);
        this->buffer.clear();
        this->buffer.shrink_to_fit();
        this->discardInput();
    }

    void discardInput()
    {
        this->stream.async_read_some(
            this->buffer.prepare(std::min(firstReadBytes, this->buffer.max_size())),
            [self = this->shared_from_this()](error_code error, std::size_t bytes) {
                self->discardedBytes += bytes;
                if (!error && self->discardedBytes < discardLimitBytes)
                    self->discardInput();
            });
    }

    void closeConnection()
    {
        this->isClosed = true;
        this->shared->connections.remove(*this);
        error_code ignored;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        this->stream.close();
    }

    beast::tcp_stream stream;
    std::shared_ptr<Shared> shared;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    HttpResponse response;
    bool isReading = false; ///< A request's first byte has arrived.
    std::uint64_t parsedBytes = 0;
    std::size_t discardedBytes = 0;
    bool isClosed = false; ///< By this side; handlers of pending operations do nothing any more.
};

HttpServer::HttpServer(asio::io_context &loop, const asio::ip::tcp::endpoint &address,
                       HttpHandler handler, const Settings &settings)
    : shared(std::make_shared<Shared>())
    , acceptor(loop, address.protocol())
    , acceptTimer(loop)
{
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    // Connections take over the size. It has to be set before the acceptor listens.
    this->acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    this->acceptor.bind(address);
    this->acceptor.listen();
    this->shared->handler = std::move(handler);
    this->setLimits(settings);
    this->acceptNext();
}

HttpServer::~HttpServer() = default;

void HttpServer::setLimits(const Settings &settings)
{
    this->shared->settings = settings;
    this->shared->applyLimits();
}

void HttpServer::closeAfterResponses()
{
    this->shared->closeAfterResponses = true;
}

void HttpServer::closeIdleConnections()
{
    this->shared->connections.closeAll(ConnectionState::Fresh, CloseReason::Drain);
    this->shared->connections.closeAll(ConnectionState::Idle, CloseReason::Drain);
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
    return this->shared->connections.count(ConnectionState::Handling)
        + this->shared->connections.count(ConnectionState::Writing);
}

std::uint64_t HttpServer::heldBytes() const
{
    return this->shared->connections.heldBytes();
}

const HttpServer::CloseCounts &HttpServer::closeCounts() const
{
    return this->shared->closed;
}

void HttpServer::acceptNext()
{
    this->acceptor.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error && error != asio::error::connection_aborted) {
            this->acceptLater();
            return;
        }
        if (!error && this->shared->connections.makeRoom()) {
            error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            std::make_shared<Connection>(std::move(socket), this->shared)->readNext();
        } else if (!error) {
            this->shared->count(CloseReason::NoRoom);
        }
        this->acceptNext();
    });
}

void HttpServer::acceptLater()
{
    this->shared->connections.closeOne(CloseReason::DescriptorLimit);
    this->acceptTimer.expires_after(acceptPause);
    this->acceptTimer.async_wait([this](error_code error) {
        if (!error)
            this->acceptNext();
    });
}

} // namespace Hibiscus::Runtime
