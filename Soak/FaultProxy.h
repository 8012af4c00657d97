#pragma once

#include <Core/Time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace Hibiscus::Soak {

/// What a proxy does to the bytes that pass it.
enum class PathFault : std::uint8_t {
    None,
    Delayed, ///< Each read is passed on a little later.
    Reset, ///< Open connections are reset, and so are new ones.
    CutToServer, ///< Bytes to the server are lost; those to the client pass.
    CutToClient,
    Silent, ///< Both directions carry nothing; new connections are taken and stay silent.
};

/// Stands in the way from clients to one server on loopback and injects faults.
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &loop, const boost::asio::ip::tcp::endpoint &server);
    ~FaultProxy();

    unsigned short port() const;
    /// Holds for open and new connections from now on.
    void setFault(PathFault fault);
    /// Open connections go silent for good; new ones work.
    void silenceOpenConnections();

private:
    class Connection;
    struct Shared;

    void acceptNext();

    std::shared_ptr<Shared> shared;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace Hibiscus::Soak
