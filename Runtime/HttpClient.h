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
    std::string body; ///< JSON; empty: none.
};

struct HttpResult
{
    unsigned status = 0; ///< 0: no answer.
    std::string body;
};

using HttpResultHandler = std::function<void(HttpResult)>;

/// Calls to one server over a pool of kept connections. Each call answers exactly once, at the
/// latest after its timeout. A call whose kept connection turns out to be closed is sent once
/// more on a new one, so only calls that may be repeated belong here.
class HttpClient
{
public:
    struct Settings
    {
        std::size_t maxIdleConnections = 4; ///< Kept connections.
        Duration connectTimeout = milliseconds(600);
        std::uint64_t responseLimitBytes = std::uint64_t{16} * 1024 * 1024;
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
