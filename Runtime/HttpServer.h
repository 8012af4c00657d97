#pragma once

#include <Core/Time.h>
#include <Runtime/ConnectionTable.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Hibiscus::Runtime {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Sends the response to one request. Must be called once, either from within the handler or
/// later. Has no effect if the client has closed the connection.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Accepts HTTP/1.1 connections on one address and passes their requests to a handler, one request
/// at a time for each connection. What it holds is bounded whatever clients send: a request that is
/// malformed or over a limit is answered with 400, 413 or 431, and the handler does not see it.
/// Under pressure connections are closed without a whole response, which promises nothing: the
/// handler may have seen the request.
class HttpServer
{
public:
    struct Settings
    {
        std::uint32_t headerLimitBytes = 16 * 1024;
        std::uint64_t bodyLimitBytes = std::uint64_t{256} * 1024;
        Duration idleTimeout = seconds(15); ///< Between two requests of a connection.
        Duration readTimeout = seconds(5); ///< From a request's first byte to its last.
        Duration writeTimeout = seconds(5); ///< For a response that the client does not read.
        /// Beyond it, the connection that is the least loss is closed for each new one.
        std::size_t maxConnections = 3000;
        /// Sum over all connections of the bytes of requests and responses that are not finished.
        std::uint64_t maxHeldBytes = std::uint64_t{16} * 1024 * 1024;
    };

    /// Throws boost::system::system_error if the address can't be bound.
    HttpServer(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &address,
               HttpHandler handler, const Settings &settings);
    ~HttpServer();

    void setLimits(const Settings &settings);
    /// Makes each response from now on close its connection.
    void closeAfterResponses();
    /// Closes connections that wait for a request. New connections are still accepted.
    void closeIdleConnections();
    void stopListening();

    /// Port that the server listens on, also if it was given port 0 to get a free one.
    unsigned short port() const;
    std::size_t connectionCount() const;
    std::size_t requestsInProgress() const;
    std::uint64_t heldBytes() const;
    /// Connections closed or refused so far, by CloseReason.
    using CloseCounts = std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::Count)>;
    const CloseCounts &closeCounts() const;

private:
    class Connection;
    struct Shared;

    void acceptNext();
    void acceptLater();

    std::shared_ptr<Shared> shared;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
};

} // namespace Hibiscus::Runtime
