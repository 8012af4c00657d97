// A small blocking HTTP/1.1 server (one thread a connection) and client for the stand-ins.
#pragma once

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using nlohmann::json;
using tcp = asio::ip::tcp;

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    int status = 0; ///< 0: no answer; the server keeps the connection open in silence.
    std::string body;
};

inline std::string unescape(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); i++) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    Server(const std::string &ip, unsigned short port, Handler handler)
        : handler(std::move(handler))
        , acceptor(loop, tcp::endpoint(asio::ip::make_address(ip), port))
    {
        std::thread([this] { this->accept(); }).detach();
    }

    unsigned short port() const { return this->acceptor.local_endpoint().port(); }

private:
    void accept()
    {
        for (;;) {
            auto socket = std::make_shared<tcp::socket>(this->loop);
            boost::system::error_code error;
            this->acceptor.accept(*socket, error);
            if (!error)
                std::thread([this, socket] { this->serve(*socket); }).detach();
        }
    }

    void serve(tcp::socket &socket)
    {
        boost::system::error_code error;
        socket.set_option(tcp::no_delay(true), error);
        beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(64 * 1024 * 1024);
            http::read(socket, buffer, parser, error);
            if (error)
                return;
            const auto &message = parser.get();
            Request request;
            request.method = std::string(message.method_string());
            const std::string target(message.target());
            const std::size_t mark = target.find('?');
            request.path = target.substr(0, mark);
            if (mark != std::string::npos)
                parseQuery(target.substr(mark + 1), request);
            for (const auto &field : message)
                request.headers[std::string(field.name_string())] = std::string(field.value());
            request.body = message.body();
            const Response answer = this->handler(request);
            if (answer.status == 0) {
                std::this_thread::sleep_for(std::chrono::seconds(20));
                return;
            }
            http::response<http::string_body> response;
            response.version(11);
            response.result(static_cast<unsigned>(answer.status));
            response.set(http::field::content_type, "application/json");
            response.body() = answer.body;
            response.prepare_payload();
            http::write(socket, response, error);
            if (error || !message.keep_alive())
                return;
        }
    }

    static void parseQuery(const std::string &text, Request &request)
    {
        std::size_t begin = 0;
        while (begin < text.size()) {
            std::size_t end = text.find('&', begin);
            if (end == std::string::npos)
                end = text.size();
            const std::string field = text.substr(begin, end - begin);
            const std::size_t equals = field.find('=');
            if (equals != std::string::npos)
                request.query[field.substr(0, equals)] = unescape(field.substr(equals + 1));
            begin = end + 1;
        }
    }

    Handler handler;
    asio::io_context loop;
    tcp::acceptor acceptor;
};

struct Answer
{
    int status = 0; ///< 0: no answer in time.
    json body;
};

/// One call on a connection of its own.
inline Answer call(const std::string &address, const std::string &method, const std::string &path,
                   const std::string &body, const std::map<std::string, std::string> &headers = {},
                   std::chrono::milliseconds timeout = std::chrono::milliseconds(3000))
{
    Answer result;
    try {
        asio::io_context loop;
        beast::tcp_stream stream(loop);
        const std::size_t colon = address.rfind(':');
        const tcp::endpoint peer(asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
        http::request<http::string_body> request;
        request.method_string(method);
        request.target(path);
        request.version(11);
        request.set(http::field::host, address);
        request.set(http::field::content_type, "application/json");
        request.keep_alive(false);
        for (const auto &[name, value] : headers)
            request.set(name, value);
        request.body() = body;
        request.prepare_payload();
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        bool done = false;
        stream.expires_after(timeout);
        stream.async_connect(peer, [&](boost::system::error_code error) {
            if (error)
                return;
            http::async_write(stream, request, [&](boost::system::error_code failed, std::size_t) {
                if (failed)
                    return;
                http::async_read(
                    stream, buffer, response,
                    [&](boost::system::error_code broken, std::size_t) { done = !broken; });
            });
        });
        loop.run();
        if (done) {
            result.status = static_cast<int>(response.result_int());
            result.body = json::parse(response.body(), nullptr, false);
        }
    } catch (const std::exception &) {}
    return result;
}

} // namespace review
