#include <Wire/PeerDialer.h>

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Hibiscus {
namespace {

struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t size = 0;
};

std::optional<SocketAddress> parseAddress(const PeerAddress &address)
{
    SocketAddress result;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        result.size = sizeof(sockaddr_in);
        return result;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        result.size = sizeof(sockaddr_in6);
        return result;
    }
    return std::nullopt;
}

} // namespace

std::optional<int> beginConnection(const PeerAddress &address)
{
    const auto target = parseAddress(address);
    if (!target)
        return std::nullopt;
    const int type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    const int descriptor = ::socket(target->storage.ss_family, type, IPPROTO_TCP);
    if (descriptor < 0)
        return std::nullopt;
    const auto *raw = reinterpret_cast<const sockaddr *>(&target->storage);
    if (::connect(descriptor, raw, target->size) != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return std::nullopt;
    }
    return descriptor;
}

} // namespace Hibiscus
