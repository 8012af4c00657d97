#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace Hibiscus::Runtime {

/// Answers the first request and closes the connection of each later one after reading it.
class ClosingServer
{
public:
    explicit ClosingServer(boost::asio::io_context &loop)
        : acceptor(loop, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    int requests = 0;

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    void accept()
    {
        const Socket socket
            = std::make_shared<boost::asio::ip::tcp::socket>(this->acceptor.get_executor());
        this->acceptor.async_accept(*socket, [this, socket](boost::system::error_code error) {
            if (error)
                return;
            this->read(socket);
            this->accept();
        });
    }

    void read(const Socket &socket)
    {
        const auto text = std::make_shared<std::string>();
        boost::asio::async_read_until(
            *socket, boost::asio::dynamic_buffer(*text), "\r\n\r\n",
            [this, socket, text](boost::system::error_code error, std::size_t) {
                if (!error && ++this->requests == 1)
                    this->answer(socket);
            });
    }

    void answer(const Socket &socket)
    {
        static constexpr std::string_view response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        boost::asio::write(*socket, boost::asio::buffer(response));
        this->read(socket);
    }

    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace Hibiscus::Runtime
