#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

namespace Hibiscus::Test {

/// What a hostile client sends. It holds its connection open afterwards.
struct HostileScript
{
    std::string opening;
    std::string repeated; ///< Sent over and over after the opening; empty: nothing more.
    std::size_t maxBytes = 0; ///< Bytes of `repeated` after which the client stops sending.
    bool reads = true; ///< Whether the client reads responses.
    bool untilClosed = false; ///< Done only when the peer has closed the connection.
};

/// One connection that follows a script.
class HostileClient : public std::enable_shared_from_this<HostileClient>
{
public:
    HostileClient(boost::asio::io_context &loop, HostileScript script)
        : socket(loop)
        , script(std::move(script))
    {}

    void start(const boost::asio::ip::tcp::endpoint &peer)
    {
        this->socket.async_connect(
            peer, [self = this->shared_from_this()](boost::system::error_code error) {
                if (error) {
                    self->end();
                    return;
                }
                self->send(self->script.opening);
                if (self->script.reads)
                    self->read();
            });
    }

    /// Whether the peer closed the connection or, if that is enough, the whole script was sent.
    bool isDone() const { return this->ended || (this->sentAll && !this->script.untilClosed); }

    std::size_t sentBytes = 0; ///< Of the script's repeated part.

private:
    void send(const std::string &text)
    {
        boost::asio::async_write(
            this->socket, boost::asio::buffer(text),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error)
                    self->end();
                else
                    self->sendMore();
            });
    }

    void sendMore()
    {
        this->sentAll = this->script.repeated.empty() || this->sentBytes >= this->script.maxBytes;
        if (this->sentAll)
            return;
        this->sentBytes += this->script.repeated.size();
        this->send(this->script.repeated);
    }

    void read()
    {
        this->socket.async_read_some(
            boost::asio::buffer(this->received),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error)
                    self->end();
                else
                    self->read();
            });
    }

    void end()
    {
        this->ended = true;
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    boost::asio::ip::tcp::socket socket;
    HostileScript script;
    std::array<char, 4096> received{};
    bool ended = false;
    bool sentAll = false;
};

} // namespace Hibiscus::Test
