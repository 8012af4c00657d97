#pragma once

#include <Wire/PeerLink.h>

#include <optional>

namespace Hibiscus {

/// Starts a TCP connection without blocking and returns its non-blocking socket, which the caller
/// owns. Returns nothing if the host is not an IP address or the attempt fails at once. The socket
/// becomes writable once connected; if the connection fails, the next operation on the socket
/// fails.
std::optional<int> beginConnection(const PeerAddress &address);

} // namespace Hibiscus
