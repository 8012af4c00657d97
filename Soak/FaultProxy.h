#pragma once

#include <Core/Time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace Hibiscus::Soak {

/// Fault that a proxy injects into its connections.
enum class ConnectionFault : std::uint8_t {
    None,
    Delayed, ///< Data is forwarded after a delay.
    Reset, ///< Open and new connections are reset.
    DropToServer, ///< Data to the server is dropped; data to the client passes.
    DropToClient,
    Blackhole, ///< All data is dropped; new connections are accepted.
};

/// TCP proxy on loopback between clients and one server, which injects faults.
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server);
    ~FaultProxy();

    unsigned short port() const;
    /// Sets the fault of open and new connections.
    void setFault(ConnectionFault fault);
    /// Drops all further data of the open connections; new connections are not affected.
    void blackholeOpenConnections();

private:
    class Connection;
    struct Shared;

    void acceptNext();

    std::shared_ptr<Shared> shared;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace Hibiscus::Soak
