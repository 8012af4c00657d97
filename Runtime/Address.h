#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace Hibiscus::Runtime {

/// "IP:port". Nothing: the text is not of that form.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address);

} // namespace Hibiscus::Runtime
