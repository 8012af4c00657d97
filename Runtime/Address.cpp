#include <Runtime/Address.h>

#include <charconv>
#include <string>

namespace Hibiscus::Runtime {

namespace {

/// Whether the address can be that of a single machine.
bool isOneMachine(const boost::asio::ip::address &address)
{
    if (address.is_v6() && address.to_v6().is_v4_mapped())
        return isOneMachine(
            boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, address.to_v6()));
    const bool isBroadcast
        = address.is_v4() && address.to_v4() == boost::asio::ip::address_v4::broadcast();
    return !address.is_unspecified() && !address.is_multicast() && !isBroadcast;
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string host(address.substr(0, colon));
    // The conversion stops at a zero byte, and takes any text after the "%" of a link-local
    // address.
    if (host.find_first_not_of("0123456789abcdefABCDEF.:") != std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, port);
}

std::optional<boost::asio::ip::tcp::endpoint> parsePeerAddress(std::string_view address)
{
    std::optional<boost::asio::ip::tcp::endpoint> endpoint = parseAddress(address);
    if (!endpoint || endpoint->port() == 0 || !isOneMachine(endpoint->address()))
        return std::nullopt;
    return endpoint;
}

} // namespace Hibiscus::Runtime
