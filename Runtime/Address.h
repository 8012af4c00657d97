#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace Hibiscus::Runtime {

/// Parses an address of the form "IP:port". Returns nothing if the text does not have that form.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address);

/// Parses the address of another process. Returns nothing also for port 0 and for addresses that
/// name no single machine.
std::optional<boost::asio::ip::tcp::endpoint> parsePeerAddress(std::string_view address);

} // namespace Hibiscus::Runtime
