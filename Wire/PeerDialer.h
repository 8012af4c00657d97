#pragma once

#include <Wire/PeerLink.h>

#include <optional>

namespace Hibiscus {

/// Starts a TCP connection without waiting for it, and returns its non-blocking socket, which the
/// caller owns; nothing if the address is no IP number or the try failed at once. The socket
/// becomes writable when it is connected and fails its next use when it cannot be.
std::optional<int> beginConnection(const PeerAddress &address);

} // namespace Hibiscus
