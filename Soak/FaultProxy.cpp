#include <Soak/FaultProxy.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace Hibiscus::Soak {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Duration forwardDelay = milliseconds(120);

} // namespace

struct FaultProxy::Shared
{
    asio::ip::tcp::endpoint server;
    ConnectionFault fault = ConnectionFault::None;
    std::set<Connection *> connections;
};

/// A client's connection and the connection to the server that belongs to it.
class FaultProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket client, std::shared_ptr<Shared> shared)
        : shared(std::move(shared))
        , loop(client.get_executor())
        , client(std::move(client))
        , server(this->loop)
    {
        this->shared->connections.insert(this);
    }

    ~Connection() { this->shared->connections.erase(this); }

    void connect()
    {
        this->server.async_connect(this->shared->server,
                                   [self = this->shared_from_this()](error_code error) {
                                       if (error) {
                                           self->reset();
                                           return;
                                       }
                                       self->readNext(self->toServer);
                                       self->readNext(self->toClient);
                                   });
    }

    void blackhole() { this->isBlackholed = true; }

    /// Closes both sockets with a TCP reset instead of an orderly shutdown.
    void reset()
    {
        error_code ignored;
        for (asio::ip::tcp::socket *socket : {&this->client, &this->server}) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

private:
    struct Direction
    {
        asio::ip::tcp::socket &from;
        asio::ip::tcp::socket &to;
        ConnectionFault dropFault; ///< The fault that drops the data of this direction.
        std::array<char, 16'384> bytes{};
    };

    bool drops(const Direction &direction) const
    {
        const ConnectionFault fault = this->shared->fault;
        return this->isBlackholed || fault == ConnectionFault::Blackhole
            || fault == direction.dropFault;
    }

    void readNext(Direction &direction)
    {
        direction.from.async_read_some(
            asio::buffer(direction.bytes),
            [self = this->shared_from_this(), &direction](error_code error, std::size_t count) {
                self->received(direction, error, count);
            });
    }

    void received(Direction &direction, error_code error, std::size_t count)
    {
        if (error && this->drops(direction))
            return;
        if (error) {
            this->close();
            return;
        }
        if (this->drops(direction)) {
            this->readNext(direction);
            return;
        }
        if (this->shared->fault == ConnectionFault::Delayed)
            this->forwardDelayed(direction, count);
        else
            this->forward(direction, count);
    }

    void forwardDelayed(Direction &direction, std::size_t count)
    {
        const auto timer = std::make_shared<asio::steady_timer>(this->loop, forwardDelay);
        timer->async_wait([self = this->shared_from_this(), timer, &direction, count](error_code) {
            self->forward(direction, count);
        });
    }

    void forward(Direction &direction, std::size_t count)
    {
        asio::async_write(
            direction.to, asio::buffer(direction.bytes, count),
            [self = this->shared_from_this(), &direction](error_code error, std::size_t) {
                if (error)
                    self->close();
                else
                    self->readNext(direction);
            });
    }

    void close()
    {
        error_code ignored;
        this->client.close(ignored);
        this->server.close(ignored);
    }

    std::shared_ptr<Shared> shared;
    asio::any_io_executor loop;
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    Direction toServer{this->client, this->server, ConnectionFault::DropToServer};
    Direction toClient{this->server, this->client, ConnectionFault::DropToClient};
    bool isBlackholed = false;
};

FaultProxy::FaultProxy(asio::io_context &loop, const asio::ip::tcp::endpoint &server)
    : shared(std::make_shared<Shared>())
    , acceptor(loop, {asio::ip::address_v4::loopback(), 0}, true)
{
    this->shared->server = server;
    this->acceptNext();
}

FaultProxy::~FaultProxy() = default;

unsigned short FaultProxy::port() const
{
    return this->acceptor.local_endpoint().port();
}

void FaultProxy::setFault(ConnectionFault fault)
{
    this->shared->fault = fault;
    if (fault != ConnectionFault::Reset)
        return;
    const std::set<Connection *> connections = this->shared->connections;
    for (Connection *connection : connections)
        connection->reset();
}

void FaultProxy::blackholeOpenConnections()
{
    for (Connection *connection : this->shared->connections)
        connection->blackhole();
}

void FaultProxy::acceptNext()
{
    this->acceptor.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto connection = std::make_shared<Connection>(std::move(socket), this->shared);
            if (this->shared->fault == ConnectionFault::Reset)
                connection->reset();
            else
                connection->connect();
        }
        this->acceptNext();
    });
}

} // namespace Hibiscus::Soak
