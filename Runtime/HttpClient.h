#pragma once

#include <Core/Time.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus::Runtime {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpCall
{
    boost::beast::http::verb verb = boost::beast::http::verb::get;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body; ///< JSON; empty: no body.
    /// Whether the server may execute the call twice without the caller knowing. A call for which
    /// that is not allowed is sent once.
    bool repeatable = true;
};

struct HttpResult
{
    unsigned status = 0; ///< HTTP status; 0: no response.
    std::string body;
};

using HttpResultHandler = std::function<void(HttpResult)>;

/// Sends calls to one server over a pool of keep-alive connections. Each call invokes its handler
/// exactly once, at the latest after its timeout. If a reused connection turns out to be closed,
/// a repeatable call is sent once more over a new connection.
class HttpClient
{
public:
    struct Settings
    {
        std::size_t maxIdleConnections = 4; ///< Idle connections that are kept for reuse.
        Duration connectTimeout = milliseconds(600);
        std::uint64_t responseLimitBytes = std::uint64_t{16} * 1024 * 1024; ///< Of the body.
        std::uint32_t headerLimitBytes = 8 * 1024;
        /// For a chunk's extensions, and for all trailers together. A response over a limit counts
        /// as none.
        std::size_t framingLimitBytes = std::size_t{64} * 1024;
    };

    HttpClient(boost::asio::io_context &loop, const std::string &address, const Settings &settings);
    ~HttpClient();

    void call(HttpCall call, Duration timeout, HttpResultHandler handler);

    std::uint64_t callsMade() const;
    std::uint64_t connectionsMade() const;

private:
    struct Shared;
    class Exchange;

    std::shared_ptr<Shared> shared;
};

} // namespace Hibiscus::Runtime
