#include "ClosingServer.h"

#include <Runtime/HttpClient.h>
#include <Runtime/HttpServer.h>

#include <gtest/gtest.h>
#include <optional>

namespace Hibiscus::Runtime {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Runs a server on a free port of the loopback address and a client of it on one event loop.
class HttpTest : public testing::Test
{
protected:
    void startServer(HttpHandler handler, const HttpServer::Settings &settings = {})
    {
        this->server.emplace(this->loop,
                             asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                             std::move(handler), settings);
        this->address = "127.0.0.1:" + std::to_string(this->server->port());
        this->client.emplace(this->loop, this->address, HttpClient::Settings{});
    }

    HttpResult call(HttpCall call, Duration timeout = seconds(20))
    {
        std::optional<HttpResult> result;
        this->client->call(std::move(call), timeout,
                           [&result](HttpResult answer) { result = std::move(answer); });
        while (!result)
            this->loop.run_one();
        return *result;
    }

    unsigned short freePort()
    {
        const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        return asio::ip::tcp::acceptor(this->loop, any).local_endpoint().port();
    }

    static HttpResponse okResponse(std::string body)
    {
        HttpResponse response(http::status::ok, 11);
        response.body() = std::move(body);
        return response;
    }

    asio::io_context loop;
    std::string address;
    std::optional<HttpServer> server;
    std::optional<HttpClient> client;
};

TEST_F(HttpTest, CallsReuseOneConnection)
{
    this->startServer([](const HttpRequest &request, const HttpResponder &respond) {
        respond(okResponse(request.body() + "!"));
    });
    for (int i = 0; i < 5; i++) {
        const HttpResult result
            = this->call({.verb = http::verb::post, .target = "/x", .body = "hello"});
        EXPECT_EQ(result.status, 200U);
        EXPECT_EQ(result.body, "hello!");
    }
    EXPECT_EQ(this->client->callsMade(), 5U);
    EXPECT_EQ(this->client->connectionsMade(), 1U);
}

TEST_F(HttpTest, CallIsRepeatedWhenTheServerClosedTheIdleConnection)
{
    this->startServer(
        [](const HttpRequest &, const HttpResponder &respond) { respond(okResponse("a")); });
    EXPECT_EQ(this->call({.target = "/"}).status, 200U);
    this->server->closeIdleConnections();
    EXPECT_EQ(this->call({.target = "/"}).status, 200U);
    EXPECT_EQ(this->client->connectionsMade(), 2U);
}

TEST_F(HttpTest, UnrepeatableCallUsesANewConnectionWhenTheServerClosedTheIdleOne)
{
    this->startServer(
        [](const HttpRequest &, const HttpResponder &respond) { respond(okResponse("a")); });
    EXPECT_EQ(this->call({.target = "/"}).status, 200U);
    this->server->closeIdleConnections();
    this->loop.poll();
    EXPECT_EQ(this->call({.target = "/", .repeatable = false}).status, 200U);
    EXPECT_EQ(this->client->connectionsMade(), 2U);
}

TEST_F(HttpTest, CallThatLosesItsReusedConnectionIsRepeatedOnlyIfThatIsAllowed)
{
    for (const bool repeatable : {true, false}) {
        ClosingServer peer(this->loop);
        this->client.emplace(this->loop, peer.address(), HttpClient::Settings{});
        EXPECT_EQ(this->call({.target = "/"}).status, 200U);
        EXPECT_EQ(this->call({.target = "/", .repeatable = repeatable}).status, 0U);
        EXPECT_EQ(peer.requests, repeatable ? 3 : 2);
    }
}

TEST_F(HttpTest, CallTimesOutWhenThePeerDoesNotRespond)
{
    std::vector<HttpResponder> heldResponders;
    this->startServer([&heldResponders](const HttpRequest &, const HttpResponder &respond) {
        heldResponders.push_back(respond);
    });
    EXPECT_EQ(this->call({.target = "/"}, milliseconds(50)).status, 0U);
    EXPECT_EQ(this->server->requestsInProgress(), 1U);
    heldResponders.clear();
    this->loop.poll();
    EXPECT_EQ(this->server->requestsInProgress(), 0U);
}

TEST_F(HttpTest, CallToAPortWithoutListenerFails)
{
    this->startServer([](const HttpRequest &, const HttpResponder &) {});
    this->client.emplace(this->loop, "127.0.0.1:" + std::to_string(this->freePort()),
                         HttpClient::Settings{});
    EXPECT_EQ(this->call({.target = "/"}).status, 0U);
}

TEST_F(HttpTest, BodyOverTheLimitIsRejectedWithoutCallingTheHandler)
{
    bool handled = false;
    HttpServer::Settings settings;
    settings.bodyLimitBytes = 100;
    this->startServer([&handled](const HttpRequest &, const HttpResponder &) { handled = true; },
                      settings);
    const HttpResult result
        = this->call({.verb = http::verb::post, .target = "/", .body = std::string(200, 'x')});
    EXPECT_EQ(result.status, 413U);
    EXPECT_FALSE(handled);
}

TEST_F(HttpTest, DrainingServerRespondsAndClosesTheConnection)
{
    this->startServer(
        [](const HttpRequest &, const HttpResponder &respond) { respond(okResponse("a")); });
    this->server->closeAfterResponses();
    EXPECT_EQ(this->call({.target = "/"}).status, 200U);
    EXPECT_EQ(this->call({.target = "/"}).status, 200U);
    EXPECT_EQ(this->client->connectionsMade(), 2U);
}

TEST_F(HttpTest, ConnectionsOverTheLimitAreClosed)
{
    std::vector<HttpResponder> heldResponders;
    HttpServer::Settings settings;
    settings.maxConnections = 1;
    this->startServer(
        [&heldResponders](const HttpRequest &, const HttpResponder &respond) {
            heldResponders.push_back(respond);
        },
        settings);
    this->client->call({.target = "/held"}, seconds(20), [](const HttpResult &) {});
    while (heldResponders.empty())
        this->loop.run_one();
    EXPECT_EQ(this->call({.target = "/second"}).status, 0U);
    EXPECT_EQ(this->server->connectionCount(), 1U);
}

} // namespace

} // namespace Hibiscus::Runtime
