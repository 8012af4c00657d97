#include <Runtime/HttpClient.h>
#include <Runtime/HttpServer.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <sys/resource.h>
#include <vector>

namespace Hibiscus::Runtime {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

const tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
const std::string chunkedHeader
    = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

/// Writes an opening and then one block over and over, until the peer closes the connection or
/// `maxBytes` are written. Keeps what the peer sends.
class RawPeer : public std::enable_shared_from_this<RawPeer>
{
public:
    explicit RawPeer(tcp::socket socket)
        : socket(std::move(socket))
    {}

    void send(std::string opening, std::string repeated = {}, std::size_t maxBytes = 0)
    {
        this->block = std::move(repeated);
        this->bytesLeft = maxBytes;
        this->text = std::move(opening);
        this->write();
        this->read();
    }

    std::string received;
    std::size_t written = 0;
    bool closed = false; ///< By the peer.
    tcp::socket socket;

private:
    void write()
    {
        asio::async_write(
            this->socket, asio::buffer(this->text),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                self->written += bytes;
                if (error || self->block.empty() || self->written >= self->bytesLeft)
                    return;
                self->text = self->block;
                self->write();
            });
    }

    void read()
    {
        this->socket.async_read_some(
            asio::buffer(this->input),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                self->received.append(self->input.data(), bytes);
                self->closed = bool(error);
                if (!error)
                    self->read();
            });
    }

    std::string text;
    std::string block;
    std::size_t bytesLeft = 0;
    std::array<char, 4096> input{};
};

class HttpLimitsTest : public testing::Test
{
protected:
    void startServer(const HttpServer::Settings &settings = {})
    {
        this->server.emplace(
            this->loop, anyPort,
            [this](const HttpRequest &request, const HttpResponder &responder) {
                this->bodies.push_back(request.body());
                if (this->holdsRequests) {
                    this->held.push_back(responder);
                    return;
                }
                HttpResponse response(http::status::ok, 11);
                response.body() = this->answer;
                responder(std::move(response));
            },
            settings);
    }

    std::shared_ptr<RawPeer> connect()
    {
        tcp::socket socket(this->loop);
        socket.connect({asio::ip::address_v4::loopback(), this->server->port()});
        return std::make_shared<RawPeer>(std::move(socket));
    }

    std::shared_ptr<RawPeer> send(std::string opening, std::string repeated = {},
                                  std::size_t maxBytes = 0)
    {
        std::shared_ptr<RawPeer> peer = this->connect();
        peer->send(std::move(opening), std::move(repeated), maxBytes);
        return peer;
    }

    void runUntil(const std::function<bool()> &done)
    {
        while (!done())
            this->loop.run_one();
    }

    static bool hasStatus(const RawPeer &peer, int status)
    {
        return peer.received.starts_with("HTTP/1.1 " + std::to_string(status));
    }

    asio::io_context loop;
    std::optional<HttpServer> server;
    std::vector<std::string> bodies;
    std::vector<HttpResponder> held;
    std::string answer = "done";
    bool holdsRequests = false;
};

TEST_F(HttpLimitsTest, TrailersAndChunkExtensionsWithoutEndAreRefusedWithoutCallingTheHandler)
{
    this->startServer();
    for (const auto &[opening, block] :
         {std::pair<std::string, std::string>{"0\r\n", "Field: value\r\n"},
          {"1", ";name=value"},
          {"0", ";name=value"}}) {
        const auto peer = this->send(chunkedHeader + opening, repeat(block, 16'384), 64 * mebibyte);
        this->runUntil([&peer] { return peer->closed; });
        EXPECT_LT(peer->written, 32 * mebibyte);
        EXPECT_TRUE(this->bodies.empty());
    }
}

TEST_F(HttpLimitsTest, RequestAtTheLimitsIsServed)
{
    HttpServer::Settings settings;
    settings.headerLimitBytes = 16 * kibibyte;
    settings.bodyLimitBytes = 64 * kibibyte;
    this->startServer(settings);
    const std::string body(settings.bodyLimitBytes, 'b');
    const std::string start = "POST / HTTP/1.1\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const std::size_t padding = settings.headerLimitBytes - start.size() - length.size() - 9;
    const auto plain
        = this->send(start + "Field: " + std::string(padding, 'f') + "\r\n" + length + body);
    this->runUntil([&plain] { return !plain->received.empty() || plain->closed; });
    EXPECT_TRUE(hasStatus(*plain, 200)) << plain->received;
    std::string chunks;
    for (const char c : body)
        chunks += std::string("1\r\n") + c + "\r\n";
    const auto chunked = this->send(chunkedHeader + chunks + "0\r\n"
                                    + repeat("Field: value\r\n", 15 * kibibyte) + "\r\n");
    this->runUntil([&chunked] { return !chunked->received.empty() || chunked->closed; });
    EXPECT_TRUE(hasStatus(*chunked, 200)) << chunked->received;
    EXPECT_EQ(this->bodies, (std::vector<std::string>{body, body}));
}

TEST_F(HttpLimitsTest, AcceptingPausesWhileDescriptorsAreUsedUp)
{
    this->startServer();
    const auto waiting = std::make_shared<RawPeer>(tcp::socket(this->loop, tcp::v4()));
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    // The lowest free descriptor number becomes the limit, so that no further one can be opened.
    const int lowestFree = dup(waiting->socket.native_handle());
    close(lowestFree);
    const rlimit usedUp{static_cast<rlim_t>(lowestFree), before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &usedUp);
    waiting->socket.connect({asio::ip::address_v4::loopback(), this->server->port()});
    waiting->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    constexpr std::size_t fewHandlers = 100;
    std::size_t handlers = 0;
    asio::steady_timer end(this->loop, milliseconds(200));
    bool ended = false;
    end.async_wait([&ended](boost::system::error_code) { ended = true; });
    while (!ended && handlers < fewHandlers)
        handlers += this->loop.run_one();
    setrlimit(RLIMIT_NOFILE, &before);
    EXPECT_LT(handlers, fewHandlers);
    this->runUntil([&waiting] { return !waiting->received.empty(); });
    EXPECT_TRUE(hasStatus(*waiting, 200));
}

TEST_F(HttpLimitsTest, ClientEndsACallWhoseResponseHasNoEnd)
{
    for (const auto &[opening, block] :
         {std::pair<std::string, std::string>{"HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", ";name=value"}}) {
        tcp::acceptor acceptor(this->loop, anyPort);
        std::shared_ptr<RawPeer> peer;
        acceptor.async_accept(
            [&, block = block, opening = opening](boost::system::error_code, tcp::socket socket) {
                peer = std::make_shared<RawPeer>(std::move(socket));
                peer->send(opening, repeat(block, 16'384), 64 * mebibyte);
            });
        HttpClient client(this->loop,
                          "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), {});
        std::optional<HttpResult> result;
        client.call({.target = "/"}, seconds(20),
                    [&result](HttpResult answer) { result = std::move(answer); });
        this->runUntil([&result] { return result.has_value(); });
        EXPECT_EQ(result->status, 0U);
        EXPECT_LT(peer->written, 32 * mebibyte);
    }
}

} // namespace

} // namespace Hibiscus::Runtime
