#include <Runtime/Address.h>

#include <charconv>
#include <string>

namespace Hibiscus::Runtime {

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const std::string host(address.substr(0, colon));
    const boost::asio::ip::address ip = boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace Hibiscus::Runtime
